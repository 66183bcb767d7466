/** Exponential backoff with full jitter, kept inside the request's deadline. */
import type { Random } from '@bluebellhitch/shared';

export interface BackoffOptions {
  /** 0 before the first retry. */
  retryIndex: number;
  /** Upper bound of the first delay; it doubles with each retry. */
  baseMs: number;
  maxMs?: number;
  /** Time that the request has left. */
  remainingMs: number;
  /** Time that the retry itself needs at least. */
  reserveMs?: number;
  random: Random;
}

/** The delay before the next attempt; undefined where the deadline leaves no room for one. */
export function backoffDelayMs(options: BackoffOptions): number | undefined {
  const { retryIndex, baseMs, maxMs = 2_000, remainingMs, reserveMs = 0, random } = options;
  const roomMs = remainingMs - reserveMs;
  if (roomMs <= 0) {
    return undefined;
  }
  const ceilingMs = Math.min(maxMs, baseMs * 2 ** retryIndex, roomMs);
  return random() * ceilingMs;
}
