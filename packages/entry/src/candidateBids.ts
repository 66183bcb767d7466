/** Asks the candidates of a request for bids, in parallel and for a short time only. */
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
import { doubtfulServers, forbiddenServers, selectServers } from './serverSelection';

/** A bid and the instance that made it. */
export interface InstanceBid extends CandidateBid {
  instance: PlatformInstance;
}

export interface CollectedBids {
  /** Grows while bids still come in. */
  bids: InstanceBid[];
  /** Candidates asked; more than `bids` where some did not answer. */
  asked: Candidate[];
  /** Whether any bid comes at all; settles with the first one, or when none can come any more. */
  late: Promise<boolean>;
}

/** What a need gets that nobody is asked for. */
export const noBids: CollectedBids = { bids: [], asked: [], late: Promise.resolve(false) };

/** Selects candidates that serve the need and collects what they answer in time. */
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
  const collected = await askInTime(run, instances);
  if (collected.bids.length === 0) {
    const { unready } = context.runtimes.of(document.service);
    asked.forEach(({ instanceId }) => unready.mark(instanceId, monotonicNowMs()));
  }
  return { asked, ...collected };
}

/** Instances that a choice without bids leaves out. */
export function excludedInstances(run: ModelRun): Set<string> {
  const query = { context: run.context, run, document: run.request.document };
  return new Set([...forbiddenServers(query), ...doubtfulServers(query)]);
}

/**
 * Waits for all, but not much longer than the first takes: a paused agent must not slow others. The calls
 * go on after that, since under load the first answers themselves may be late.
 */
function askInTime(
  run: ModelRun,
  instances: readonly PlatformInstance[],
): Promise<Pick<CollectedBids, 'bids' | 'late'>> {
  const { bidMs, bidGraceMs } = run.context.timeouts;
  const bids: InstanceBid[] = [];
  if (instances.length === 0) {
    return Promise.resolve(noBids);
  }
  return new Promise((resolve) => {
    const startedAtMs = monotonicNowMs();
    let pendingCount = instances.length;
    let settleLate: (hasBid: boolean) => void = () => undefined;
    const late = new Promise<boolean>((settle) => {
      settleLate = settle;
    });
    let timer = setTimeout(finish, bidMs);
    function finish(): void {
      clearTimeout(timer);
      resolve({ bids, late });
    }
    function onAnswer(bid: InstanceBid | undefined): void {
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
        settleLate(bids.length > 0);
      }
    }
    instances.forEach((instance) => {
      void ask(run, instance).then(onAnswer);
    });
  });
}

async function ask(run: ModelRun, instance: PlatformInstance): Promise<InstanceBid | undefined> {
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
