/** Statistics that tests read: what ran, how often, and how much work was wasted. */
import { hash64Hex } from '@bluebellhitch/shared';

/** One start of a prefill or decode. */
export interface EngineRun {
  attemptId: string;
  kind: 'prefill' | 'decode';
  /** `hash64Hex` of the prompt. */
  promptDigest: string;
}

export interface EngineStats {
  heldKvBytes: number;
  peakHeldKvBytes: number;
  capacityKvBytes: number;
  /** Decodes started, by attempt id. */
  startedDecodes: Record<string, number>;
  completedDecodes: number;
  cancelledDecodes: number;
  /** Prefill results dropped because they were not fetched in time. */
  expiredExports: number;
  prefillTokens: number;
  /** Prefilled tokens whose result was not used. */
  wastedPrefillTokens: number;
  /** How often a stream lost its memory to a more urgent one and was queued again. */
  preemptions: number;
  runs: EngineRun[];
}

type Counter =
  | 'completedDecodes'
  | 'cancelledDecodes'
  | 'expiredExports'
  | 'prefillTokens'
  | 'wastedPrefillTokens'
  | 'preemptions';

type Counters = Record<Counter, number>;

export interface StatsRecorder {
  add(counter: Counter, amount?: number): void;
  recordRun(kind: EngineRun['kind'], attemptId: string, prompt: string): void;
  read(): Omit<EngineStats, 'heldKvBytes' | 'peakHeldKvBytes' | 'capacityKvBytes'>;
}

const maxHistoryEntries = 2000;

export function createStatsRecorder(): StatsRecorder {
  const counters: Counters = {
    completedDecodes: 0,
    cancelledDecodes: 0,
    expiredExports: 0,
    prefillTokens: 0,
    wastedPrefillTokens: 0,
    preemptions: 0,
  };
  const startedDecodes = new Map<string, number>();
  const runs: EngineRun[] = [];

  function countDecode(attemptId: string): void {
    startedDecodes.set(attemptId, (startedDecodes.get(attemptId) ?? 0) + 1);
    const [oldest] = startedDecodes.keys();
    if (startedDecodes.size > maxHistoryEntries && oldest !== undefined) {
      startedDecodes.delete(oldest);
    }
  }

  return {
    add: (counter, amount = 1) => {
      counters[counter] += amount;
    },
    recordRun: (kind, attemptId, prompt) => {
      runs.push({ kind, attemptId, promptDigest: hash64Hex(prompt) });
      if (runs.length > maxHistoryEntries) {
        runs.shift();
      }
      if (kind === 'decode') {
        countDecode(attemptId);
      }
    },
    read: () => ({
      ...counters,
      startedDecodes: Object.fromEntries(startedDecodes),
      runs: [...runs],
    }),
  };
}
