/**
 * Readings of the monotonic clock and the wall clock taken together. The monotonic clock does not count time during
 * which the machine was suspended, and the wall clock may be stepped; if they disagree on the age of a reading, the
 * age is unknown.
 */
import { monotonicNowMs } from './clock';

export interface ClockReading {
  monotonicMs: number;
  /** Unix time. */
  wallMs: number;
}

/** Well above what clock synchronisation adjusts within seconds, and below any suspension or step that matters. */
const toleranceMs = 100;

export function readClocks(): ClockReading {
  return { monotonicMs: monotonicNowMs(), wallMs: Date.now() };
}

export function earlierBy(reading: ClockReading, durationMs: number): ClockReading {
  return { monotonicMs: reading.monotonicMs - durationMs, wallMs: reading.wallMs - durationMs };
}

/** Returns infinity if the clocks disagree. */
export function ageMsOf(reading: ClockReading, now: ClockReading = readClocks()): number {
  const monotonicMs = now.monotonicMs - reading.monotonicMs;
  const wallMs = now.wallMs - reading.wallMs;
  return Math.abs(monotonicMs - wallMs) > toleranceMs ? Infinity : Math.max(monotonicMs, wallMs);
}
