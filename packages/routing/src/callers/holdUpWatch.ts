/**
 * Measures hold-ups of the process: times in which it read nothing, because it was stopped, got no processor time, or was
 * busy with one task. What arrives meanwhile lies unread, so a request may be older than its time of arrival.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface HoldUpWatch {
  /** Duration of the longest hold-up that lasts or has ended within the last second, in ms; 0 without one. */
  recentMs(): number;
  /** How long what is read now may have waited for that, in ms: all that arrived before was read earlier. */
  unreadMs(): number;
  /**
   * How long a signal that is handled now may have waited, in ms. The system gives it to any thread, and one that gets no processor time
   * passes it on later than all else is read: it may be as old as a hold-up that has just ended.
   */
  signalAgeMs(): number;
  stop(): void;
}

export interface HoldUpWatchOptions {
  /** Called once for each hold-up, when it is over. */
  onHoldUp?: (durationMs: number) => void;
}

/** Often enough to notice hold-ups that callers notice, and rarely enough to cost an idle process nothing. */
const tickIntervalMs = 100;
/** Timers are late by a few milliseconds on any machine. */
const minHoldUpMs = 50;
/** Requests that arrived in a hold-up are read within about this time after it. */
const memoryMs = 1_000;
/** Longest time from the end of a hold-up to the handling of a signal that came in it. */
const maxSignalDelayMs = 500;

export function startHoldUpWatch({ onHoldUp }: HoldUpWatchOptions = {}): HoldUpWatch {
  let tickedAtMs = monotonicNowMs();
  let readThroughMs = tickedAtMs;
  let holdUps: { endedAtMs: number; durationMs: number }[] = [];

  function currentMs(nowMs: number): number {
    const durationMs = nowMs - tickedAtMs - tickIntervalMs;
    return durationMs < minHoldUpMs ? 0 : durationMs;
  }

  const unreadMs = () => monotonicNowMs() - readThroughMs;

  const timer = setInterval(() => {
    const nowMs = monotonicNowMs();
    const durationMs = currentMs(nowMs);
    tickedAtMs = nowMs;
    // Between a timer and this, the event loop reads.
    setImmediate(() => {
      readThroughMs = nowMs;
    });
    holdUps = holdUps.filter(({ endedAtMs }) => nowMs - endedAtMs <= memoryMs);
    if (durationMs > 0) {
      holdUps.push({ endedAtMs: nowMs, durationMs });
      onHoldUp?.(durationMs);
    }
  }, tickIntervalMs);
  timer.unref();

  return {
    recentMs() {
      const nowMs = monotonicNowMs();
      const recent = holdUps.filter(({ endedAtMs }) => nowMs - endedAtMs <= memoryMs);
      return Math.max(currentMs(nowMs), ...recent.map(({ durationMs }) => durationMs));
    },
    unreadMs,
    signalAgeMs() {
      const nowMs = monotonicNowMs();
      const ages = holdUps
        .filter(({ endedAtMs }) => nowMs - endedAtMs <= maxSignalDelayMs)
        .map(({ endedAtMs, durationMs }) => nowMs - endedAtMs + durationMs + tickIntervalMs);
      return Math.max(unreadMs(), ...ages);
    },
    stop: () => clearInterval(timer),
  };
}
