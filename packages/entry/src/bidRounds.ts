/** Rounds of bids for one attempt: usually one, and a second if no candidate of the first can serve. */
import { workerNeeds } from '@bluebellhitch/decisions';
import {
  collectBids,
  excludedInstances,
  noBids,
  type CollectedBids,
  type InstanceBid,
} from './candidateBids';
import type { ModelRun } from './modelTypes';
import { hasDecodeServer } from './serverSelection';

/** Decode bids, then prefill bids. */
type BidsByNeed = [InstanceBid[], InstanceBid[]];

interface BidRound {
  decode: CollectedBids;
  prefill: CollectedBids;
}

/** Prompts up to this size are prefilled by the decode worker, so prefill workers need not be asked. */
export const localPrefillTokens = 256;
/**
 * Collects bids, and asks further candidates if none of the first replies or can serve. That is not a
 * retry, since nothing was dispatched, and the first paused server would exhaust a retry budget. Late
 * bids still count: if all of them are late, the machines are busy rather than unavailable.
 */
export async function collectUsableBids(run: ModelRun): Promise<BidsByNeed> {
  const first = await collectRound(run);
  const query = { context: run.context, run, document: run.request.document };
  if (hasUsable(first) || run.signal.aborted) {
    return bidsOf(first);
  }
  const others = hasDecodeServer(query, excludedInstances(run))
    ? await collectRound(run)
    : emptyRound;
  const rounds = [others, first];
  if (rounds.every(({ decode }) => decode.bids.length === 0)) {
    await waitForAnyBid(rounds);
  }
  const [best] = [...rounds.filter(hasUsable), ...rounds.filter(hasBids), first] as [BidRound];
  return bidsOf(best);
}

/** Collects one round of bids, including late ones; waits for a late bid if no decode worker replied in time. */
export async function collectAllBids(run: ModelRun): Promise<BidsByNeed> {
  const round = await collectRound(run);
  if (!hasBids(round)) {
    await round.decode.bidReceived;
  }
  return bidsOf(round);
}

const emptyRound: BidRound = { decode: noBids, prefill: noBids };
const hasBids = ({ decode }: BidRound) => decode.bids.length > 0;
const hasUsable = ({ decode }: BidRound) =>
  decode.bids.some(({ bid }) => bid.usableInMs !== undefined);

/** Resolves on the first bid of any round, or when all rounds have ended without one. */
async function waitForAnyBid(rounds: readonly BidRound[]): Promise<void> {
  await new Promise<void>((resolve) => {
    const promises = rounds.map(({ decode }) => decode.bidReceived);
    promises.forEach((promise) => {
      void promise.then((hasBid) => hasBid && resolve());
    });
    void Promise.all(promises).then(() => resolve());
  });
}

function bidsOf({ decode, prefill }: BidRound): BidsByNeed {
  return [[...decode.bids], [...prefill.bids]];
}

async function collectRound(run: ModelRun): Promise<BidRound> {
  // Engines continue a response from its text, not from an imported KV cache.
  const isContinuation = run.emitted.tokenCount > 0;
  const wantsPrefill = !isContinuation && run.request.promptTokens > localPrefillTokens;
  const [decode, prefill] = await Promise.all([
    collectBids(run, workerNeeds.decode),
    wantsPrefill ? collectBids(run, workerNeeds.prefill) : noBids,
  ]);
  run.trace.step('bids', {
    asked: [...decode.asked, ...prefill.asked],
    decode: decode.bids.map(summarizeBid),
    prefill: prefill.bids.map(summarizeBid),
  });
  return { decode, prefill };
}

function summarizeBid({ instanceId, bid, roundTripMs }: InstanceBid): Record<string, unknown> {
  const { usableInMs, cachedPrefixTokens, load } = bid;
  const { freeKvBytes, queuedCount } = load;
  return { instanceId, roundTripMs, usableInMs, cachedPrefixTokens, freeKvBytes, queuedCount };
}
