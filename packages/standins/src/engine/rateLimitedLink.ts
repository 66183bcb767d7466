/** A link of limited rate that transmits the pieces of all its users in the order of their calls. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';

export interface RateLimitedLink {
  /** Resolves when `bytes` have been transmitted, or, without that, as soon as `signal` aborts. */
  transmit(bytes: number, signal?: AbortSignal): Promise<void>;
  /** A stalled link transmits nothing. */
  setStalled(stalled: boolean): void;
}

const msPerSecond = 1000;

export function createRateLimitedLink(rateBytesPerSecond: number): RateLimitedLink {
  let freeAtMs = 0;
  let stalled = false;
  const waiters = new Set<() => void>();

  async function waitWhileStalled(signal?: AbortSignal): Promise<void> {
    while (stalled && signal?.aborted !== true) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          waiters.delete(finish);
          signal?.removeEventListener('abort', finish);
          resolve();
        };
        waiters.add(finish);
        signal?.addEventListener('abort', finish);
      });
    }
  }

  return {
    transmit: async (bytes, signal) => {
      await waitWhileStalled(signal);
      const nowMs = monotonicNowMs();
      freeAtMs = Math.max(freeAtMs, nowMs) + (bytes / rateBytesPerSecond) * msPerSecond;
      await delay(freeAtMs - nowMs, signal);
      await waitWhileStalled(signal);
    },
    setStalled: (value) => {
      stalled = value;
      [...waiters].forEach((wake) => wake());
    },
  };
}
