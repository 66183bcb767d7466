/** Exponential backoff with full jitter, limited by the request's deadline. */
import type { Random } from '@bluebellhitch/shared';

export interface BackoffOptions {
  /** 0 for the first retry. */
  retryIndex: number;
  /** Upper bound of the first delay; it doubles with each retry. */
  baseMs: number;
  maxMs?: number;
  /** Time until the request's deadline. */
  remainingMs: number;
  /** Minimum time that the retry itself needs. */
  reserveMs?: number;
  random: Random;
}

/** Returns the delay before the next attempt; undefined if the deadline leaves no time for one. */
export function backoffDelayMs(options: BackoffOptions): number | undefined {
  const { retryIndex, baseMs, maxMs = 2_000, remainingMs, reserveMs = 0, random } = options;
  const roomMs = remainingMs - reserveMs;
  if (roomMs <= 0) {
    return undefined;
  }
  const ceilingMs = Math.min(maxMs, baseMs * 2 ** retryIndex, roomMs);
  return random() * ceilingMs;
}
