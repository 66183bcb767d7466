/** Faults of the stand-in platform: outage, slowness and lost answers. */
import type { ObjectKind } from '@bluebellhitch/objects';

export const platformVerbs = {
  get: 'get',
  list: 'list',
  create: 'create',
  update: 'update',
  remove: 'remove',
  watch: 'watch',
  instances: 'instances',
} as const;
export type PlatformVerb = (typeof platformVerbs)[keyof typeof platformVerbs];

/** One call, as faults and statistics see it. */
export interface PlatformCall {
  verb: PlatformVerb;
  kind?: ObjectKind;
  key?: string;
}

/** Which calls lose their answer, and what becomes of their effect. */
export interface LostAnswers {
  /** How many matching calls. */
  count: number;
  verb?: PlatformVerb;
  kind?: ObjectKind;
  key?: string;
  /** `applied` before the answer is lost, `dropped` altogether, or applied `late`. */
  effect: 'applied' | 'dropped' | 'late';
  /** Delay of a `late` effect. */
  lateMs?: number;
}

export type LostEffect = Pick<LostAnswers, 'effect' | 'lateMs'>;

export type PlatformFaults = ReturnType<typeof createPlatformFaults>;

export function createPlatformFaults() {
  let outage = false;
  let slowMs = 0;
  let lost: LostAnswers[] = [];

  /** The fault that this call meets, used up by one. */
  function takeLostAnswer(call: PlatformCall): LostEffect | undefined {
    const found = lost.find((fault) => fault.count > 0 && matches(fault, call));
    if (found === undefined) {
      return undefined;
    }
    found.count -= 1;
    lost = lost.filter((fault) => fault.count > 0);
    return { effect: found.effect, lateMs: found.lateMs };
  }

  return {
    /** While on, each call is refused without effect. */
    setOutage(on: boolean): void {
      outage = on;
    },
    /** Added to each call, half before its effect and half behind. */
    setSlow(durationMs: number): void {
      slowMs = durationMs;
    },
    loseAnswers(fault: LostAnswers): void {
      lost.push({ ...fault });
    },
    clear(): void {
      outage = false;
      slowMs = 0;
      lost = [];
    },
    isOutage: () => outage,
    slowMs: () => slowMs,
    takeLostAnswer,
  };
}

function matches(fault: LostAnswers, call: PlatformCall): boolean {
  return (
    (fault.verb === undefined || fault.verb === call.verb) &&
    (fault.kind === undefined || fault.kind === call.kind) &&
    (fault.key === undefined || fault.key === call.key)
  );
}
