/**
 * Background releases of claims whose write was never confirmed. The request was refused as not run,
 * so a claim left behind would refuse the caller's next tries for the whole retention window.
 */
import { delay } from '@bluebellhitch/shared';

export interface AbandonedClaimsOptions {
  /** Tries for each claim; the pause before each doubles. */
  tries?: number;
  firstPauseMs?: number;
  /** Claims looked after at once; more are left to expire. */
  limit?: number;
}

/**
 * `released`: done, or another's by now. `absent`: not there, though a write in flight may still put
 * it there. `failed`: the platform gave no answer.
 */
export type ReleaseAttempt = 'released' | 'absent' | 'failed';

export interface AbandonedClaims {
  add(release: () => Promise<ReleaseAttempt>): void;
  settle(): Promise<void>;
}

const defaults = { tries: 6, firstPauseMs: 250, limit: 1000 } as const;

export function createAbandonedClaims(options: AbandonedClaimsOptions = {}): AbandonedClaims {
  const { tries, firstPauseMs, limit } = { ...defaults, ...options };
  const running = new Set<Promise<void>>();

  async function releaseWithRetries(release: () => Promise<ReleaseAttempt>): Promise<void> {
    for (let tryCount = 0; tryCount < tries; tryCount += 1) {
      await delay(firstPauseMs * 2 ** tryCount);
      if ((await release()) === 'released') {
        return;
      }
    }
  }

  return {
    add(release) {
      if (running.size >= limit) {
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
