/** Asks whether another server could go on with a response, without ending or reserving anything. */
import { workerNeeds } from '@bluebellhitch/decisions';
import { collectBids } from './candidateBids';
import type { ModelRun } from './modelTypes';
import { hasUntriedServer } from './untriedServers';

/** Resolves with true once a server other than `exceptId` can take the rest of the response; false if none has replied. */
export async function hasBidElsewhere(run: ModelRun, exceptId: string): Promise<boolean> {
  if (!hasUntriedServer(run, exceptId)) {
    return false;
  }
  const elsewhere = { ...run, tried: new Set([...run.tried, exceptId]) };
  const collected = await collectBids(elsewhere, workerNeeds.decode);
  if (collected.bids.length === 0) {
    await collected.bidReceived;
  }
  return collected.bids.some(
    ({ instanceId, bid }) => instanceId !== exceptId && bid.usableInMs !== undefined,
  );
}
