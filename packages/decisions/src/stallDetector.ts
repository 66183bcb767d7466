/**
 * Detects work that has stopped, as opposed to work that takes long: it requires progress in each
 * interval instead of completion within a total time. Used for transfers (bytes) and streams (tokens).
 */

export interface StallDetectorOptions {
  startedAtMs: number;
  intervalMs?: number;
  /** Minimum progress in one interval. */
  minimumProgress?: number;
  /** Time allowed for the first progress: a transfer may wait for the sender's pacing. */
  firstProgressMs?: number;
}

export type StallVerdict =
  { kind: 'moving' } | { kind: 'stalled'; progress: number; withoutProgressMs: number };

export interface StallDetector {
  /** Reports the total progress so far. */
  progress(total: number, nowMs: number): void;
  check(nowMs: number): StallVerdict;
}

/** A gap of more than this many intervals between checks means that this process itself was paused. */
const pausedIntervals = 3;

export function createStallDetector(options: StallDetectorOptions): StallDetector {
  const { startedAtMs, intervalMs = 250, minimumProgress = 1 } = options;
  const { firstProgressMs = 2 * intervalMs } = options;
  let lastProgress = 0;
  let lastProgressAtMs = startedAtMs;
  let checkedAtMs = startedAtMs;
  let latest = 0;

  function progress(total: number, nowMs: number): void {
    latest = Math.max(latest, total);
    if (latest - lastProgress >= minimumProgress) {
      lastProgress = latest;
      lastProgressAtMs = nowMs;
    }
  }

  function check(nowMs: number): StallVerdict {
    const allowedMs = lastProgress === 0 ? firstProgressMs : intervalMs;
    // After a pause of this process, unread data may be waiting in the socket: a stall reported now would
    // blame the sender. One more interval is enough to read the data.
    const pausedMs = nowMs - checkedAtMs;
    if (pausedMs > pausedIntervals * Math.max(allowedMs, intervalMs)) {
      lastProgressAtMs = nowMs;
    }
    checkedAtMs = nowMs;
    const withoutProgressMs = nowMs - lastProgressAtMs;
    return withoutProgressMs > allowedMs
      ? { kind: 'stalled', progress: latest, withoutProgressMs }
      : { kind: 'moving' };
  }

  return { progress, check };
}
