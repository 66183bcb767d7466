/** Token bucket that limits the stand-in platform's call rates. */
import { monotonicNowMs } from '@bluebellhitch/shared';

const msPerSecond = 1000;

export interface RateLimit {
  /** Takes a token for one call, or returns how long to wait for the next token. */
  take(): { allowed: true } | { allowed: false; retryAfterMs: number };
}

/** Allows `ratePerSecond` calls with bursts of up to one second's worth; `Infinity` means no limit. */
export function createRateLimit(ratePerSecond: number): RateLimit {
  let tokens = ratePerSecond;
  let filledAtMs = monotonicNowMs();

  function refill(): void {
    const nowMs = monotonicNowMs();
    tokens = Math.min(ratePerSecond, tokens + ((nowMs - filledAtMs) * ratePerSecond) / msPerSecond);
    filledAtMs = nowMs;
  }

  function take(): ReturnType<RateLimit['take']> {
    if (!Number.isFinite(ratePerSecond)) {
      return { allowed: true };
    }
    refill();
    if (tokens >= 1) {
      tokens -= 1;
      return { allowed: true };
    }
    return { allowed: false, retryAfterMs: ((1 - tokens) * msPerSecond) / ratePerSecond };
  }

  return { take };
}
