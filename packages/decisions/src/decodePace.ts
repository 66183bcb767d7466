/**
 * Chooses among decode engines of uneven speed. An engine that emits events slowly pauses its streams longer whenever
 * something delays it for a moment, such as a prompt that it prefills beside them: a pause that a fast engine's callers
 * don't notice exceeds the target of a slow engine's. Pure functions and small state machines; times in ms.
 */
import { createRecentQuantile } from './recentQuantile';

/** Measures the time between events of one run. */
export interface PaceMeter {
  /** Records events that arrive together. `isDisturbed`: the engine also prefilled a prompt since the last event. */
  note(eventCount: number, nowMs: number, isDisturbed: boolean): void;
}

export interface PaceMeterOptions {
  /** Receives the mean time between the events of each window without a prompt. */
  onSample(msPerEvent: number): void;
}

/** A window ends with whichever comes first, so that a slow engine is noticed while its first streams still run. */
const windowEvents = 8;
const windowMs = 500;

/** The first event of a run starts the first window: the time before it is not decoding. */
export function createPaceMeter({ onSample }: PaceMeterOptions): PaceMeter {
  let startedAtMs: number | undefined;
  let eventCount = 0;
  let isWindowDisturbed = false;

  function restart(nowMs: number): void {
    startedAtMs = nowMs;
    eventCount = 0;
    isWindowDisturbed = false;
  }

  return {
    note(count, nowMs, isDisturbed) {
      if (count === 0) {
        return;
      }
      if (startedAtMs === undefined) {
        restart(nowMs);
        return;
      }
      eventCount += count;
      isWindowDisturbed ||= isDisturbed;
      const durationMs = nowMs - startedAtMs;
      if (eventCount < windowEvents && durationMs < windowMs) {
        return;
      }
      // The engine's own speed is wanted: prompts that it prefills depend on what routers send it.
      if (!isWindowDisturbed) {
        onSample(durationMs / eventCount);
      }
      restart(nowMs);
    },
  };
}

/**
 * Learns how much longer than its engine's usual time between events a pause is, such as the longest of a stream. What
 * delays an engine delays a slow one longer, so one factor serves for all.
 */
export interface PauseFactor {
  observe(pause: { pauseMs: number; paceMs: number | undefined }): void;
  /** 1 until there are enough samples: no pause is shorter. */
  value(): number;
}

/** One pause in ten is longer than expected. */
const pauseQuantile = 0.9;
const pauseSampleCount = 64;
const pauseRefreshInterval = 4;
const minPauseSamples = 5;

export function createPauseFactor(): PauseFactor {
  const quantile = createRecentQuantile({
    quantile: pauseQuantile,
    sampleCount: pauseSampleCount,
    refreshEvery: pauseRefreshInterval,
  });
  let sampleCount = 0;
  return {
    observe({ pauseMs, paceMs }) {
      if (paceMs !== undefined && paceMs > 0) {
        quantile.observe(pauseMs / paceMs);
        sampleCount += 1;
      }
    },
    value: () => (sampleCount < minPauseSamples ? 1 : Math.max(1, quantile.value())),
  };
}

export interface PaceTarget {
  /** See `PauseFactor`; if infinite, only engines about as fast as the fastest are kept. */
  pauseFactor: number;
  /** 0 if the route has no target for pauses. */
  targetGapMs: number;
  /** Pace at which the stream ends in time; see `paceToEndInTime`. */
  maxPaceMs?: number;
}

/** Engines whose paces differ by less than this factor count as equally fast: momentary load alone causes as much. */
const evenPaceFactor = 1.5;

/**
 * The candidates on which a stream is expected to keep its pauses within the target and to end in time. All of them if
 * there is none, or if they are about equally fast: then it doesn't depend on the choice. An engine whose pace is unknown
 * is kept, so that new ones, and those not used for long, are tried.
 */
export function withinPace<Candidate>(
  candidates: readonly Candidate[],
  paceMsOf: (candidate: Candidate) => number | undefined,
  { pauseFactor, targetGapMs, maxPaceMs = Infinity }: PaceTarget,
): readonly Candidate[] {
  const gapPaceMs = targetGapMs === 0 ? Infinity : targetGapMs / pauseFactor;
  const paces = candidates.map((candidate) => paceMsOf(candidate));
  const fastestMs = Math.min(...paces.filter((paceMs) => paceMs !== undefined));
  const slowFromMs = Math.max(Math.min(gapPaceMs, maxPaceMs), fastestMs * evenPaceFactor);
  const kept = candidates.filter((_candidate, index) => (paces[index] ?? 0) <= slowFromMs);
  return kept.length === 0 ? candidates : kept;
}

export interface ExpectedStream {
  medianEvents: number;
  /** Shape of the log-logistic distribution of lengths. */
  lengthShape: number;
  remainingMs: number;
}

/** Share of streams that may be too long for the pace; those are cut at their deadline. */
const tooLongShare = 0.1;

/** The slowest pace, in ms per event, at which all but a few streams like this one end within the remaining time. */
export function paceToEndInTime({
  medianEvents,
  lengthShape,
  remainingMs,
}: ExpectedStream): number {
  if (medianEvents <= 0) {
    return Infinity;
  }
  const longEvents = medianEvents * (1 / tooLongShare - 1) ** (1 / lengthShape);
  return Math.max(0, remainingMs) / longEvents;
}
