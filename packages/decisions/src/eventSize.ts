/**
 * Tokens in one event of a stream. Engines may put many tokens into one, and nothing in an event tells how many. Load
 * reports do, where they list the runs; else the callers' hints, which are right in the middle.
 */
import { createRecentQuantile } from './recentQuantile';

/** One run as an engine reported it. */
export interface ReportedRun {
  requestId: string;
  /** Of the prompt and of what was emitted. */
  memoryTokens: number;
  events: number;
}

export interface EventSize {
  /** Takes the runs of one engine's next report. */
  report(serverId: string, runs: readonly ReportedRun[]): void;
  /** An answer with a hint has ended. */
  observe(hintTokens: number, events: number): void;
  /** Undefined until something has been measured. */
  tokens(): number | undefined;
  forget(serverId: string): void;
}

const sampleCount = 128;
const refreshEvery = 8;
/** Shorter advances are mostly the rounding of memory to blocks. */
const leastAdvance = 4;

export function createEventSize(): EventSize {
  const lastRuns = new Map<string, Map<string, ReportedRun>>();
  const median = () => createRecentQuantile({ quantile: 0.5, sampleCount, refreshEvery });
  const measured = median();
  const hinted = median();

  return {
    report(serverId, runs) {
      const before = lastRuns.get(serverId);
      runs.forEach((run) => {
        const last = before?.get(run.requestId);
        const events = run.events - (last?.events ?? Infinity);
        const tokens = run.memoryTokens - (last?.memoryTokens ?? 0);
        if (events >= leastAdvance && tokens > 0) {
          measured.observe(tokens / events);
        }
      });
      lastRuns.set(serverId, new Map(runs.map((run) => [run.requestId, run])));
    },
    observe(hintTokens, events) {
      if (events > 0 && hintTokens > 0) {
        hinted.observe(hintTokens / events);
      }
    },
    tokens: () => measured.value() || hinted.value() || undefined,
    forget: (serverId) => lastRuns.delete(serverId),
  };
}
