/**
 * Both clocks at one moment. The monotonic clock does not count the time for which a machine was suspended, and the
 * time of day may be stepped: where they disagree on how long ago a moment was, its age is not known.
 */
import { monotonicNowMs } from './clock';

export interface ClockReading {
  monotonicMs: number;
  /** Unix time. */
  wallMs: number;
}

/** Far above what a clock is corrected by in some seconds, below any suspension or step that would matter. */
const toleranceMs = 100;

export function readClocks(): ClockReading {
  return { monotonicMs: monotonicNowMs(), wallMs: Date.now() };
}

export function earlierBy(reading: ClockReading, durationMs: number): ClockReading {
  return { monotonicMs: reading.monotonicMs - durationMs, wallMs: reading.wallMs - durationMs };
}

/** Infinite where the clocks disagree. */
export function ageMsOf(reading: ClockReading, now: ClockReading = readClocks()): number {
  const monotonicMs = now.monotonicMs - reading.monotonicMs;
  const wallMs = now.wallMs - reading.wallMs;
  return Math.abs(monotonicMs - wallMs) > toleranceMs ? Infinity : Math.max(monotonicMs, wallMs);
}
