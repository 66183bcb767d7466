/**
 * Cancels attempts at their agents. A cancel that fails is repeated: the heartbeat of other work would
 * otherwise keep the lease of a cancelled attempt alive at that agent.
 */
import { delay } from '@bluebellhitch/shared';
import type { AgentApi } from './agentApi';

export interface CancellationsOptions {
  agents: Pick<AgentApi, 'cancel'>;
  entryId: string;
  timeoutMs?: number;
  /** First pause between tries; doubles up to `maxPauseMs`. */
  pauseMs?: number;
  maxPauseMs?: number;
  maxTries?: number;
}

export interface Cancellations {
  /** Tells the agent that the attempt is over, in the background; idempotent at the agent. */
  cancel(address: string, attemptId: string): void;
  /** Cancels that the agents have not confirmed yet. */
  pendingCount(): number;
  /** Resolves when nothing is pending. */
  settled(): Promise<void>;
}

/** Creates the cancellations of one entry. */
export function createCancellations(options: CancellationsOptions): Cancellations {
  const { agents, entryId } = options;
  const { timeoutMs = 500, pauseMs = 50, maxPauseMs = 500, maxTries = 12 } = options;
  const pending = new Set<Promise<void>>();

  async function cancelUntilConfirmed(address: string, attemptId: string): Promise<void> {
    let nextPauseMs = pauseMs;
    for (let attempt = 0; attempt < maxTries; attempt += 1) {
      const result = await agents.cancel(address, { entryId, attemptId }, { timeoutMs });
      if (result.isOk()) {
        return;
      }
      await delay(nextPauseMs);
      nextPauseMs = Math.min(nextPauseMs * 2, maxPauseMs);
    }
    // The agent has been silent for longer than its leases last, so they have ended there.
  }

  return {
    cancel(address, attemptId) {
      const running = cancelUntilConfirmed(address, attemptId).finally(() =>
        pending.delete(running),
      );
      pending.add(running);
    },
    pendingCount: () => pending.size,
    async settled() {
      while (pending.size > 0) {
        await Promise.all(pending);
      }
    },
  };
}
