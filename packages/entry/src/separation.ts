/** Keeps struck requests apart: the next crash then tells which one is to blame. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { InstanceBid } from './candidateBids';
import type { ModelRun } from './modelTypes';
import { forbiddenServers, hasDecodeServer } from './serverSelection';

/** Longest wait for a server without another struck request. */
export const separationWaitMs = 3_000;
/** A request that crashes servers does so with its prompt or soon after: later it is a bystander. */
export const separatedTokens = 8;
const separationPauseMs = 25;

/** Notes where a struck run is placed; the returned function ends the note and is idempotent. */
export function separate(run: ModelRun, attemptId: string, instanceId: string): () => void {
  return run.struck
    ? run.context.strikes.place(run.request.document.service, attemptId, instanceId)
    : () => undefined;
}

/**
 * All requests that were in flight on a server that died are struck, often more than there are other
 * servers. The innocent ones among them would be refused if they did not wait for a server without
 * another struck request; one that has begun to answer does not count for long.
 */
export async function waitForSeparateServer(run: ModelRun, giveUpAtMs: number): Promise<void> {
  while (run.struck && !run.signal.aborted && !hasSeparateServer(run)) {
    if (monotonicNowMs() >= giveUpAtMs) {
      return;
    }
    await delay(separationPauseMs, run.signal);
  }
}

function hasSeparateServer(run: ModelRun): boolean {
  const query = { context: run.context, run, document: run.request.document };
  return hasDecodeServer(query, forbiddenServers(query));
}

/** Bids of servers that no other struck request has been placed on meanwhile. */
export function separateBids(run: ModelRun, bids: readonly InstanceBid[]): readonly InstanceBid[] {
  if (!run.struck) {
    return bids;
  }
  const avoided = run.context.strikes.avoidInstances(run.request.document.service);
  return bids.filter(({ instanceId }) => !avoided.has(instanceId));
}
