/**
 * Finds work that has stopped rather than work that takes long: it asks for progress in each interval
 * instead of an end within a total time. Serves transfers (bytes) and streams (tokens).
 */

export interface StallDetectorOptions {
  startedAtMs: number;
  intervalMs?: number;
  /** Least progress in one interval. */
  minimumProgress?: number;
  /** The first progress may take this long: a transfer may wait for the sender's pacing. */
  firstProgressMs?: number;
}

export type StallVerdict =
  { kind: 'moving' } | { kind: 'stalled'; progress: number; withoutProgressMs: number };

export interface StallDetector {
  /** Total progress so far. */
  progress(total: number, nowMs: number): void;
  check(nowMs: number): StallVerdict;
}

/** A check that comes this many intervals late means that this process itself was paused. */
const pausedIntervals = 3;

export function createStallDetector(options: StallDetectorOptions): StallDetector {
  const { startedAtMs, intervalMs = 250, minimumProgress = 1 } = options;
  const { firstProgressMs = 2 * intervalMs } = options;
  let reached = 0;
  let reachedAtMs = startedAtMs;
  let checkedAtMs = startedAtMs;
  let latest = 0;

  function progress(total: number, nowMs: number): void {
    latest = Math.max(latest, total);
    if (latest - reached >= minimumProgress) {
      reached = latest;
      reachedAtMs = nowMs;
    }
  }

  function check(nowMs: number): StallVerdict {
    const allowedMs = reached === 0 ? firstProgressMs : intervalMs;
    // After a pause the data may be waiting in the socket: cutting at once would blame the sender for
    // our own pause. One more interval is enough to read it.
    const pausedMs = nowMs - checkedAtMs;
    if (pausedMs > pausedIntervals * Math.max(allowedMs, intervalMs)) {
      reachedAtMs = nowMs;
    }
    checkedAtMs = nowMs;
    const withoutProgressMs = nowMs - reachedAtMs;
    return withoutProgressMs > allowedMs
      ? { kind: 'stalled', progress: latest, withoutProgressMs }
      : { kind: 'moving' };
  }

  return { progress, check };
}
