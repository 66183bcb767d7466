/**
 * Estimates how many tokens one stream event holds. Engines may put several tokens into an event, and events do not
 * tell how many. Load reports that list the runs do; without them the estimate uses the output lengths that callers
 * announce, whose median is about right.
 */
import { createRecentQuantile } from './recentQuantile';

/** One run as an engine reported it. */
export interface ReportedRun {
  requestId: string;
  /** Tokens of the prompt and of the output so far. */
  memoryTokens: number;
  events: number;
}

export interface EventSize {
  /** Compares the runs of an engine's load report with those of its previous one. */
  report(serverId: string, runs: readonly ReportedRun[]): void;
  /** Records a finished response for which the caller had announced an output length. */
  observe(hintTokens: number, events: number): void;
  /** Undefined until something has been measured. */
  tokensPerEvent(): number | undefined;
  forget(serverId: string): void;
}

const sampleCount = 128;
const refreshEvery = 8;
/** With fewer new events, the change in memory is mostly rounding to blocks. */
const minAdvanceEvents = 4;

export function createEventSize(): EventSize {
  const lastRuns = new Map<string, Map<string, ReportedRun>>();
  const createMedian = () => createRecentQuantile({ quantile: 0.5, sampleCount, refreshEvery });
  const fromReports = createMedian();
  const fromHints = createMedian();

  return {
    report(serverId, runs) {
      const previousRuns = lastRuns.get(serverId);
      runs.forEach((run) => {
        const previousRun = previousRuns?.get(run.requestId);
        const events = run.events - (previousRun?.events ?? Infinity);
        const tokens = run.memoryTokens - (previousRun?.memoryTokens ?? 0);
        if (events >= minAdvanceEvents && tokens > 0) {
          fromReports.observe(tokens / events);
        }
      });
      lastRuns.set(serverId, new Map(runs.map((run) => [run.requestId, run])));
    },
    observe(hintTokens, events) {
      if (events > 0 && hintTokens > 0) {
        fromHints.observe(hintTokens / events);
      }
    },
    tokensPerEvent: () => fromReports.value() || fromHints.value() || undefined,
    forget: (serverId) => lastRuns.delete(serverId),
  };
}
