/**
 * Measures the pauses between the events of one stream as its caller sees them, so that a late stream can be explained.
 * A stream that is resumed elsewhere is measured across its runs.
 */

/** The longest pause between two events of a stream. */
export interface LongestPause<Context> {
  durationMs: number;
  /** Number of the event that ended the pause; the first event of the stream is 1. */
  eventNumber: number;
  /** State of the engine during the pause. */
  context: Context;
}

export interface EventPauses<Context> {
  /**
   * Records events that arrive together. If they end the longest pause so far, `contextOf` is called with the time at
   * which it began.
   */
  note(eventCount: number, nowMs: number, contextOf: (sinceMs: number) => Context): void;
  /** Undefined before the second event. */
  longest(): LongestPause<Context> | undefined;
  /** Median time between two events; undefined before the second event. */
  medianMs(): number | undefined;
}

/** Newest pauses kept for the median. */
const sampleCount = 64;

export function createEventPauses<Context>(): EventPauses<Context> {
  const recentMs: number[] = [];
  let eventTotal = 0;
  let lastEventAtMs = 0;
  let longest: LongestPause<Context> | undefined;

  function notePause(durationMs: number, contextOf: (sinceMs: number) => Context): void {
    recentMs.push(durationMs);
    if (recentMs.length > sampleCount) {
      recentMs.shift();
    }
    if (longest === undefined || durationMs > longest.durationMs) {
      longest = { durationMs, eventNumber: eventTotal + 1, context: contextOf(lastEventAtMs) };
    }
  }

  return {
    note(eventCount, nowMs, contextOf) {
      if (eventCount === 0) {
        return;
      }
      if (eventTotal > 0) {
        notePause(nowMs - lastEventAtMs, contextOf);
      }
      eventTotal += eventCount;
      lastEventAtMs = nowMs;
    },
    longest: () => longest,
    medianMs() {
      const sorted = [...recentMs].sort((left, right) => left - right);
      return sorted[Math.floor(sorted.length / 2)];
    },
  };
}

/** Why a stream that was delivered came later than its route's targets allow. */
export const lateCauses = { firstEvent: 'first-event', pause: 'pause', both: 'both' } as const;
export type LateCause = (typeof lateCauses)[keyof typeof lateCauses];

export interface StreamTimes {
  firstEventMs: number;
  longestPauseMs: number;
}

export interface StreamTargets {
  targetLatencyMs: number;
  /** 0 if the route has no target for pauses. */
  targetGapMs: number;
}

/** Undefined if the stream met its targets. */
export function lateCause(
  { firstEventMs, longestPauseMs }: StreamTimes,
  { targetLatencyMs, targetGapMs }: StreamTargets,
): LateCause | undefined {
  const isFirstLate = firstEventMs > targetLatencyMs;
  const isPaused = targetGapMs > 0 && longestPauseMs > targetGapMs;
  if (isFirstLate && isPaused) {
    return lateCauses.both;
  }
  if (isFirstLate) {
    return lateCauses.firstEvent;
  }
  return isPaused ? lateCauses.pause : undefined;
}
