/** Token bucket of the stand-in platform's call rates. */
import { monotonicNowMs } from '@bluebellhitch/shared';

const msPerSecond = 1000;

export interface RateLimit {
  /** Takes one call; answers how long to wait instead where there is none left. */
  take(): { allowed: true } | { allowed: false; retryAfterMs: number };
}

/** Allows `ratePerSecond` calls with a burst of one second; no limit where it is infinite. */
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
