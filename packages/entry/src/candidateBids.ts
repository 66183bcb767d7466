/** Requests bids from the candidates of a request, in parallel and with a short timeout. */
import {
  prefixKey,
  type Candidate,
  type CandidateBid,
  type WorkerNeed,
} from '@bluebellhitch/decisions';
import type { PlatformInstance } from '@bluebellhitch/objects';
import { samplePrefixBlocks } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentCallError } from './agentApi';
import type { ModelRun } from './modelTypes';
import { noteCallError } from './serverHealth';
import { unhealthyServers, forbiddenServers, selectServers } from './serverSelection';

/** A bid and the instance that made it. */
export interface InstanceBid extends CandidateBid {
  instance: PlatformInstance;
}

export interface CollectedBids {
  /** Bids received so far; late ones are added. */
  bids: InstanceBid[];
  /** Candidates that were asked; more than `bids` if some did not reply. */
  asked: Candidate[];
  /** Resolves to true on the first bid, or to false when all calls have ended without one. */
  bidReceived: Promise<boolean>;
}

/** Result for a need for which no candidate is asked. */
export const noBids: CollectedBids = { bids: [], asked: [], bidReceived: Promise.resolve(false) };

/** Selects candidates that serve the need and collects their bids that arrive in time. */
export async function collectBids(run: ModelRun, need: WorkerNeed): Promise<CollectedBids> {
  const { context, request } = run;
  const { document } = request;
  const asked = selectServers({
    context,
    run,
    document,
    selector: context.runtimes.of(document.service).selector,
    need,
    key: prefixKey(document.service, request.prefixBlocks),
  });
  const { byId } = context.runtimes.members(document);
  const instances = asked.flatMap(({ instanceId }) => byId.get(instanceId) ?? []);
  const collected = await collectWithinTimeout(run, instances);
  if (collected.bids.length === 0) {
    const { unready } = context.runtimes.of(document.service);
    asked.forEach(({ instanceId }) => unready.mark(instanceId, monotonicNowMs()));
  }
  return { asked, ...collected };
}

/** Instances that a choice without bids excludes. */
export function excludedInstances(run: ModelRun): Set<string> {
  const query = { context: run.context, run, document: run.request.document };
  return new Set([...forbiddenServers(query), ...unhealthyServers(query)]);
}

/**
 * Waits for all bids, but not much longer than the first one takes: a paused agent must not delay the
 * request. The calls continue after that, since under load even the first bids may be late.
 */
function collectWithinTimeout(
  run: ModelRun,
  instances: readonly PlatformInstance[],
): Promise<Pick<CollectedBids, 'bids' | 'bidReceived'>> {
  const { bidMs, bidGraceMs } = run.context.timeouts;
  const bids: InstanceBid[] = [];
  if (instances.length === 0) {
    return Promise.resolve(noBids);
  }
  return new Promise((resolve) => {
    const startedAtMs = monotonicNowMs();
    let pendingCount = instances.length;
    let resolveBidReceived: (hasBid: boolean) => void = () => undefined;
    const bidReceived = new Promise<boolean>((settle) => {
      resolveBidReceived = settle;
    });
    let timer = setTimeout(finish, bidMs);
    function finish(): void {
      clearTimeout(timer);
      resolve({ bids, bidReceived });
    }
    function onReply(bid: InstanceBid | undefined): void {
      pendingCount -= 1;
      if (bid !== undefined) {
        bids.push(bid);
      }
      if (pendingCount === 0) {
        finish();
      } else if (bids.length === 1) {
        clearTimeout(timer);
        const graceMs = Math.max(bidGraceMs, 2 * (monotonicNowMs() - startedAtMs));
        timer = setTimeout(finish, Math.min(graceMs, bidMs));
      }
      if (pendingCount === 0 || bids.length > 0) {
        resolveBidReceived(bids.length > 0);
      }
    }
    instances.forEach((instance) => {
      void requestBid(run, instance).then(onReply);
    });
  });
}

async function requestBid(
  run: ModelRun,
  instance: PlatformInstance,
): Promise<InstanceBid | undefined> {
  const { context, request } = run;
  const sentAtMs = monotonicNowMs();
  const reply = await context.agents.bid(
    instance.innerAddress,
    {
      service: request.document.service,
      promptTokens: request.promptTokens + run.emitted.tokenCount,
      maxOutputTokens: request.maxOutputTokens - run.emitted.tokenCount,
      prefixBlocks: samplePrefixBlocks(request.prefixBlocks),
      className: request.trafficClass.name,
    },
    { timeoutMs: context.timeouts.bidLimitMs, signal: run.signal },
  );
  const nowMs = monotonicNowMs();
  return reply.match(
    (bid) => {
      context.runtimes.hints.record(instance.id, bid.load, nowMs);
      if (bid.load.leaving) {
        context.instances.markLeaving(instance.id);
      }
      if (bid.usableInMs === undefined) {
        context.runtimes.of(request.document.service).unready.mark(instance.id, nowMs);
      }
      return { instance, instanceId: instance.id, bid, roundTripMs: nowMs - sentAtMs };
    },
    (error: AgentCallError) => {
      if (error.kind !== 'cancelled') {
        context.runtimes.of(request.document.service).unready.mark(instance.id, nowMs);
      }
      noteCallError(context, request.document.service, instance.id, error);
      return undefined;
    },
  );
}
