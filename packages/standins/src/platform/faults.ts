/** Injected faults of the stand-in platform: outages, added latency and lost responses. */
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

/** The properties of a call by which faults select it and statistics count it. */
export interface PlatformCall {
  verb: PlatformVerb;
  kind?: ObjectKind;
  key?: string;
}

/** Selects calls whose responses are lost, and says what happens to their effect. */
export interface LostResponses {
  /** Number of matching calls. */
  count: number;
  verb?: PlatformVerb;
  kind?: ObjectKind;
  key?: string;
  /** `applied` before the response is lost, `dropped` (never applied), or applied `late`. */
  effect: 'applied' | 'dropped' | 'late';
  /** Delay of a `late` effect; 0 if absent. */
  lateMs?: number;
}

export type LostEffect = Pick<LostResponses, 'effect' | 'lateMs'>;

export type PlatformFaults = ReturnType<typeof createPlatformFaults>;

export function createPlatformFaults() {
  let outage = false;
  let slowMs = 0;
  let lost: LostResponses[] = [];

  /** Returns the effect of the first fault that matches the call, and reduces that fault's count by one. */
  function takeLostResponse(call: PlatformCall): LostEffect | undefined {
    const found = lost.find((fault) => fault.count > 0 && matchesCall(fault, call));
    if (found === undefined) {
      return undefined;
    }
    found.count -= 1;
    lost = lost.filter((fault) => fault.count > 0);
    return { effect: found.effect, lateMs: found.lateMs };
  }

  return {
    /** During an outage each call is refused without effect. */
    setOutage(on: boolean): void {
      outage = on;
    },
    /** Sets the latency added to each call: half before its effect, half after it. */
    setSlow(durationMs: number): void {
      slowMs = durationMs;
    },
    loseResponses(fault: LostResponses): void {
      lost.push({ ...fault });
    },
    clear(): void {
      outage = false;
      slowMs = 0;
      lost = [];
    },
    isOutage: () => outage,
    slowMs: () => slowMs,
    takeLostResponse,
  };
}

function matchesCall(fault: LostResponses, call: PlatformCall): boolean {
  return (
    (fault.verb === undefined || fault.verb === call.verb) &&
    (fault.kind === undefined || fault.kind === call.kind) &&
    (fault.key === undefined || fault.key === call.key)
  );
}
