/**
 * Cancels attempts at their agents. A failed cancel is retried, because the heartbeats sent for other work would
 * otherwise keep the lease of the cancelled attempt alive at that agent.
 */
import { delay } from '@bluebellhitch/shared';
import type { AgentApi } from './agentApi';

export interface CancellationsOptions {
  agents: Pick<AgentApi, 'cancel'>;
  entryId: string;
  timeoutMs?: number;
  /** Delay before the first retry; doubles up to `maxRetryDelayMs`. */
  retryDelayMs?: number;
  maxRetryDelayMs?: number;
  maxTries?: number;
}

export interface Cancellations {
  /** Cancels the attempt at its agent in the background; idempotent at the agent. */
  cancel(address: string, attemptId: string): void;
  /** Number of cancels that the agents have not confirmed yet. */
  pendingCount(): number;
  /** Resolves once no cancel is pending. */
  settled(): Promise<void>;
}

export function createCancellations(options: CancellationsOptions): Cancellations {
  const { agents, entryId } = options;
  const { timeoutMs = 500, retryDelayMs = 50, maxRetryDelayMs = 500, maxTries = 12 } = options;
  const pending = new Set<Promise<void>>();

  async function cancelUntilConfirmed(address: string, attemptId: string): Promise<void> {
    let nextDelayMs = retryDelayMs;
    for (let attempt = 0; attempt < maxTries; attempt += 1) {
      const result = await agents.cancel(address, { entryId, attemptId }, { timeoutMs });
      if (result.isOk()) {
        return;
      }
      await delay(nextDelayMs);
      nextDelayMs = Math.min(nextDelayMs * 2, maxRetryDelayMs);
    }
    // The agent has been unresponsive for longer than the duration of its leases, so they have expired.
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
