/** Keeps requests with strikes on separate servers, so that the next crash shows which one causes it. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { InstanceBid } from './candidateBids';
import type { ModelRun } from './modelTypes';
import { forbiddenServers, hasDecodeServer } from './serverSelection';

/** Longest wait for a server without another request with strikes, in ms. */
export const separationWaitMs = 3_000;
/** A request that crashes servers does so on its prompt or soon after: past this many tokens it is not suspected. */
export const separationEndTokens = 8;
const separationPollMs = 25;

/** Records on which server a run with strikes is placed; the returned function removes the record and is idempotent. */
export function trackPlacement(run: ModelRun, attemptId: string, instanceId: string): () => void {
  return run.struck
    ? run.context.strikes.addPlacement(run.request.document.service, attemptId, instanceId)
    : () => undefined;
}

/**
 * Every request in flight on a server that died gets a strike, and there are often more such requests than
 * other servers. Those that did not cause the crash would be refused if they did not wait for a server
 * without another request with strikes. A request stops blocking its server soon after its first tokens.
 */
export async function waitForSeparateServer(run: ModelRun, giveUpAtMs: number): Promise<void> {
  while (run.struck && !run.signal.aborted && !hasSeparateServer(run)) {
    if (monotonicNowMs() >= giveUpAtMs) {
      return;
    }
    await delay(separationPollMs, run.signal);
  }
}

function hasSeparateServer(run: ModelRun): boolean {
  const query = { context: run.context, run, document: run.request.document };
  return hasDecodeServer(query, forbiddenServers(query));
}

/** Bids of the servers on which no other request with strikes has been placed meanwhile. */
export function filterSeparateBids(
  run: ModelRun,
  bids: readonly InstanceBid[],
): readonly InstanceBid[] {
  if (!run.struck) {
    return bids;
  }
  const avoided = run.context.strikes.avoidInstances(run.request.document.service);
  return bids.filter(({ instanceId }) => !avoided.has(instanceId));
}
