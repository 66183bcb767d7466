/** Rounds of bids for one attempt: usually one, and a second where nobody of the first can serve. */
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

/** Prompts up to this size are prefilled where they decode; asking prefill workers would be in vain. */
export const localPrefillTokens = 256;
/**
 * Where nobody that was asked answers or can work, others are asked as well: it is no retry, since
 * nothing was dispatched, and a budget for retries would end with the first paused server. Late answers
 * still count: when all of them are late, the machines are busy rather than gone.
 */
export async function collectUsableBids(run: ModelRun): Promise<BidsByNeed> {
  const first = await collectRound(run);
  const query = { context: run.context, run, document: run.request.document };
  if (hasUsable(first) || run.signal.aborted) {
    return bidsOf(first);
  }
  const others = hasDecodeServer(query, excludedInstances(run)) ? await collectRound(run) : noRound;
  const rounds = [others, first];
  if (rounds.every(({ decode }) => decode.bids.length === 0)) {
    await anyBid(rounds);
  }
  const [best] = [...rounds.filter(hasUsable), ...rounds.filter(hasBids), first] as [BidRound];
  return bidsOf(best);
}

/** Bids of decode and prefill workers, of the first round in which any decode worker answers. */
export async function collectAllBids(run: ModelRun): Promise<BidsByNeed> {
  const round = await collectRound(run);
  if (!hasBids(round)) {
    await round.decode.late;
  }
  return bidsOf(round);
}

const noRound: BidRound = { decode: noBids, prefill: noBids };
const hasBids = ({ decode }: BidRound) => decode.bids.length > 0;
const hasUsable = ({ decode }: BidRound) =>
  decode.bids.some(({ bid }) => bid.usableInMs !== undefined);

/** Resolves with the first bid of any round, or when all rounds have settled without one. */
async function anyBid(rounds: readonly BidRound[]): Promise<void> {
  await new Promise<void>((resolve) => {
    const lates = rounds.map(({ decode }) => decode.late);
    lates.forEach((late) => {
      void late.then((hasBid) => hasBid && resolve());
    });
    void Promise.all(lates).then(() => resolve());
  });
}

function bidsOf({ decode, prefill }: BidRound): BidsByNeed {
  return [[...decode.bids], [...prefill.bids]];
}

async function collectRound(run: ModelRun): Promise<BidRound> {
  // Engines resume from text, not from an imported KV cache.
  const resumes = run.emitted.tokenCount > 0;
  const wantsPrefill = !resumes && run.request.promptTokens > localPrefillTokens;
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
