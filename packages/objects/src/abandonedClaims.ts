/**
 * Background releases of claims whose write was never confirmed. The request was refused as not run,
 * so a claim left behind would block the caller's retries for the whole retention window.
 */
import { delay } from '@bluebellhitch/shared';

export interface AbandonedClaimsOptions {
  /** Release attempts for each claim; the delay before each doubles, from `firstDelayMs`. */
  maxTries?: number;
  firstDelayMs?: number;
  /** Maximum number of claims that wait for their release; further ones are left to expire. */
  maxPending?: number;
}

/**
 * `released`: removed, or taken by another attempt meanwhile. `absent`: not stored, though a write in
 * flight may still store it. `failed`: the claim could not be read or removed.
 */
export type ReleaseAttempt = 'released' | 'absent' | 'failed';

export interface AbandonedClaims {
  add(release: () => Promise<ReleaseAttempt>): void;
  settle(): Promise<void>;
}

const defaults = { maxTries: 6, firstDelayMs: 250, maxPending: 1000 } as const;

export function createAbandonedClaims(options: AbandonedClaimsOptions = {}): AbandonedClaims {
  const { maxTries, firstDelayMs, maxPending } = { ...defaults, ...options };
  const running = new Set<Promise<void>>();

  async function releaseWithRetries(release: () => Promise<ReleaseAttempt>): Promise<void> {
    for (let tryCount = 0; tryCount < maxTries; tryCount += 1) {
      await delay(firstDelayMs * 2 ** tryCount);
      if ((await release()) === 'released') {
        return;
      }
    }
  }

  return {
    add(release) {
      if (running.size >= maxPending) {
        return;
      }
      const task = releaseWithRetries(release).finally(() => running.delete(task));
      running.add(task);
    },
    async settle() {
      await Promise.all(running);
    },
  };
}
