/**
 * Chooses among the bids that a model request's candidates have sent: which decode worker reserves
 * memory, and whether the prompt is prefilled there or on a prefill worker, followed by a KV cache
 * transfer. Short prompts and prompts mostly cached at the decode worker are prefilled there. The
 * plan with the highest expected value is chosen, see `expectedValue`.
 */
import type { Bid } from '@bluebellhitch/protocol';
import {
  decidePrefill,
  latestUsableInMs,
  type ExpectedOutcome,
  type LatencyTargets,
  type PhasePrediction,
  type PrefillDecision,
  type ValueWeights,
} from './expectedValue';
import type { LinkRates } from './linkRate';
import type { PhaseModel } from './phaseModel';

/** A candidate's bid. */
export interface CandidateBid {
  instanceId: string;
  bid: Bid;
  /** Measured round trip from this entry process; added to every prediction. */
  roundTripMs?: number;
}

export interface BidChoiceOptions {
  decodeBids: readonly CandidateBid[];
  /** Empty where the service has no prefill workers: the decode workers then prefill all prompts. */
  prefillBids?: readonly CandidateBid[];
  promptTokens: number;
  targets: LatencyTargets;
  weights: ValueWeights;
  model: PhaseModel;
  linkRates: LinkRates;
  elapsedMs?: number;
  /** Prompts with at most this many uncached tokens are prefilled at the decode worker. */
  localPrefillTokens?: number;
  /** Prompts of which at least this share is cached at the decode worker are prefilled there too. */
  localPrefillCachedShare?: number;
}

export interface ReserveExpectation extends ExpectedOutcome {
  /** When the slot is predicted to be usable. */
  usableInMs: number;
  /** When the slot is needed: `neededInMs` of the reservation. */
  neededInMs: number;
  /** Longest useful wait for the slot: `waitLimitMs` of the reservation. */
  waitLimitMs: number;
  /** Tokens that the prefill would compute. */
  uncachedTokens: number;
  /** Expected to miss its targets; served nevertheless because the servers are idle. */
  late: boolean;
  prediction: PhasePrediction;
}

export const bidRefusalReasons = {
  noInstances: 'no-instances',
  noCapacity: 'no-capacity',
  deadlineHopeless: 'deadline-hopeless',
} as const;
export type BidRefusalReason = (typeof bidRefusalReasons)[keyof typeof bidRefusalReasons];

export type BidChoice =
  | { kind: 'reserve'; instanceId: string; prefill: 'local'; expected: ReserveExpectation }
  | {
      kind: 'reserve';
      instanceId: string;
      prefill: 'transfer';
      prefillInstanceId: string;
      expected: ReserveExpectation;
    }
  | { kind: 'refuse'; reason: BidRefusalReason; retryAfterMs: number };

/** One plan to serve the request. */
interface ServingPlan {
  decode: CandidateBid;
  /** Absent where the decode worker prefills. */
  prefill?: CandidateBid;
  uncachedTokens: number;
  prediction: PhasePrediction;
  /** Goodput that the decode worker's running streams lose when it prefills a long prompt. */
  interferenceCost?: number;
}

interface EvaluatedPlan {
  plan: ServingPlan;
  decision: PrefillDecision;
  waitLimitMs: number;
}

/** Share of the first-token target from which a wait for the slot counts as full contention. */
const fullContentionShare = 0.2;
/** Assumed probability that a typical request meets its targets. */
const typicalProbability = 0.8;
/** Without it, idle fleets would prefill long prompts on decode workers that run streams instead of transferring. */
const longPromptInterferenceCost = 0.02;
/** Upper bound of a prompt's size relative to the average prefill. */
const maxRelativeSize = 3;
/**
 * Share of the time-between-tokens target up to which a worker's slow steps leave room for a long prompt.
 * The bid reports one figure for all streams, measured at the agent. Compared with the full target it would
 * let many responses miss it: the path to the caller adds latency, and some streams are delayed by more
 * prefills than others.
 */
const slowStepShare = 0.85;
const noInstancesRetryMs = 1_000;
const noCapacityRetryMs = 500;
/** Free share of memory from which a server without a queue counts as idle. */
const idleFreeShare = 0.5;

export function chooseBid(options: BidChoiceOptions): BidChoice {
  const available = options.decodeBids.filter(({ bid }) => !bid.load.leaving);
  if (available.length === 0) {
    return { kind: 'refuse', reason: 'no-instances', retryAfterMs: noInstancesRetryMs };
  }
  const usable = available.filter(({ bid }) => bid.usableInMs !== undefined);
  const evaluated = usable
    .flatMap((decode) => plansFor(decode, options))
    .map((plan) => evaluate(plan, options));
  const [best] = evaluated.filter(({ decision }) => decision.kind !== 'refuse').sort(comparePlans);
  return best === undefined ? refuse(evaluated) : reserve(best);
}

function plansFor(decode: CandidateBid, options: BidChoiceOptions): ServingPlan[] {
  const { promptTokens, prefillBids = [] } = options;
  const prefillCandidates = prefillBids.filter(
    ({ bid, instanceId }) =>
      !bid.load.leaving && bid.usableInMs !== undefined && instanceId !== decode.instanceId,
  );
  const uncachedTokens = countUncachedTokens(promptTokens, decode.bid);
  if (prefillCandidates.length === 0 || prefersLocal(uncachedTokens, options)) {
    return [localPlan(decode, uncachedTokens, options)];
  }
  const localPlans = acceptsLongPrompts(decode, options)
    ? [
        {
          ...localPlan(decode, uncachedTokens, options),
          interferenceCost: longPromptInterferenceCost,
        },
      ]
    : [];
  return [
    ...localPlans,
    ...prefillCandidates.map((prefill) => transferPlan(decode, prefill, options)),
  ];
}

function prefersLocal(uncachedTokens: number, options: BidChoiceOptions): boolean {
  const { promptTokens, localPrefillTokens = 256, localPrefillCachedShare = 0.9 } = options;
  const cachedShare = promptTokens === 0 ? 1 : 1 - uncachedTokens / promptTokens;
  return uncachedTokens <= localPrefillTokens || cachedShare >= localPrefillCachedShare;
}

/**
 * Whether the decode worker may prefill a long prompt: only if it reports how long prompts wait there, and
 * its streams still meet their time between tokens with the prompts that it computes now.
 */
function acceptsLongPrompts({ bid }: CandidateBid, { targets }: BidChoiceOptions): boolean {
  const slowStepLimitMs = slowStepShare * targets.betweenTokensMs;
  return bid.prefillWaitMs !== undefined && (bid.slowStepMs ?? 0) <= slowStepLimitMs;
}

function localPlan(
  decode: CandidateBid,
  uncachedTokens: number,
  options: BidChoiceOptions,
): ServingPlan {
  const { prefillWaitMs = 0, prefillMsPerToken, load } = decode.bid;
  const msPerToken = prefillMsPerToken ?? options.model.prefillMsPerToken['decode-worker'];
  return {
    decode,
    uncachedTokens,
    prediction: {
      overlapsWait: false,
      usableInMs: usableInMs(decode),
      prefillWaitMs,
      prefillMs: uncachedTokens * msPerToken,
      transferMs: 0,
      stepMs: load.stepMs,
    },
  };
}

function transferPlan(
  decode: CandidateBid,
  prefill: CandidateBid,
  options: BidChoiceOptions,
): ServingPlan {
  const { model, linkRates, promptTokens } = options;
  const uncachedTokens = countUncachedTokens(promptTokens, prefill.bid);
  const { load, prefillMsPerToken, prefillWaitMs = 0, exportMs } = prefill.bid;
  const msPerToken =
    (prefillMsPerToken ?? load.stepMs) || model.prefillMsPerToken['prefill-worker'];
  const kvBytes = promptTokens * model.kvBytesPerToken;
  return {
    decode,
    prefill,
    uncachedTokens,
    prediction: {
      overlapsWait: true,
      usableInMs: usableInMs(decode),
      prefillWaitMs: Math.max(usableInMs(prefill), prefillWaitMs),
      prefillMs: uncachedTokens * msPerToken,
      transferMs: exportMs ?? linkRates.transferMs(prefill.instanceId, decode.instanceId, kvBytes),
      stepMs: decode.bid.load.stepMs,
    },
  };
}

/**
 * Goodput that other requests lose if this one is served. If the slot is not free yet, other requests wait
 * for it too: this one displaces as many typical requests as it is larger than they are.
 */
function estimateDisplacedGoodput(
  { decode, interferenceCost = 0 }: ServingPlan,
  options: BidChoiceOptions,
): number {
  const { promptTokens, targets, model } = options;
  const fullContentionMs = fullContentionShare * targets.firstTokenMs;
  const contention = Math.min(1, (decode.bid.usableInMs ?? 0) / fullContentionMs);
  const size = promptTokens / Math.max(1, model.averagePrefillTokens);
  return interferenceCost + typicalProbability * contention * Math.min(size, maxRelativeSize);
}

function evaluate(plan: ServingPlan, options: BidChoiceOptions): EvaluatedPlan {
  const decisionOptions = {
    weights: options.weights,
    targets: options.targets,
    prediction: plan.prediction,
    elapsedMs: options.elapsedMs ?? 0,
    uncachedTokens: plan.uncachedTokens,
    averagePrefillTokens: options.model.averagePrefillTokens,
    firstTokenDeviation: options.model.firstTokenDeviation,
    betweenTokensDeviation: options.model.betweenTokensDeviation,
    displacedGoodput: estimateDisplacedGoodput(plan, options),
    serversIdle: isIdle(plan.decode) && (plan.prefill === undefined || isIdle(plan.prefill)),
  };
  return {
    plan,
    decision: decidePrefill(decisionOptions),
    waitLimitMs: Math.max(plan.prediction.usableInMs, latestUsableInMs(decisionOptions)),
  };
}

/** Highest value first, then the earlier first token, then the decode worker with more free memory. */
function comparePlans(left: EvaluatedPlan, right: EvaluatedPlan): number {
  const leftExpected = left.decision.expected;
  const rightExpected = right.decision.expected;
  return (
    rightExpected.value - leftExpected.value ||
    leftExpected.firstTokenMs - rightExpected.firstTokenMs ||
    right.plan.decode.bid.load.freeKvBytes - left.plan.decode.bid.load.freeKvBytes
  );
}

function reserve({ plan, decision, waitLimitMs }: EvaluatedPlan): BidChoice {
  const { prediction, uncachedTokens } = plan;
  const expected: ReserveExpectation = {
    ...decision.expected,
    usableInMs: prediction.usableInMs,
    neededInMs: plan.prefill ? prediction.prefillWaitMs + prediction.prefillMs : 0,
    waitLimitMs: decision.kind === 'wait' ? decision.limitMs : waitLimitMs,
    uncachedTokens,
    late: decision.kind === 'start' && decision.late,
    prediction,
  };
  const { instanceId } = plan.decode;
  if (plan.prefill === undefined) {
    return { kind: 'reserve', instanceId, prefill: 'local', expected };
  }
  const prefillInstanceId = plan.prefill.instanceId;
  return { kind: 'reserve', instanceId, prefill: 'transfer', prefillInstanceId, expected };
}

function refuse(evaluated: readonly EvaluatedPlan[]): BidChoice {
  if (evaluated.length === 0) {
    return { kind: 'refuse', reason: 'no-capacity', retryAfterMs: noCapacityRetryMs };
  }
  const retryDelaysMs = evaluated.map(({ decision }) =>
    decision.kind === 'refuse' ? decision.retryAfterMs : noCapacityRetryMs,
  );
  return { kind: 'refuse', reason: 'deadline-hopeless', retryAfterMs: Math.min(...retryDelaysMs) };
}

function countUncachedTokens(promptTokens: number, bid: Bid): number {
  return Math.max(0, promptTokens - bid.cachedPrefixTokens);
}

function usableInMs(candidate: CandidateBid): number {
  return (candidate.bid.usableInMs ?? 0) + (candidate.roundTripMs ?? 0);
}

function isIdle({ bid }: CandidateBid): boolean {
  const { load } = bid;
  const freeShare = load.capacityKvBytes === 0 ? 1 : load.freeKvBytes / load.capacityKvBytes;
  const hasWaitingWork =
    load.queuedCount > 0 || bid.usableInMs !== 0 || (bid.prefillWaitMs ?? 0) > 0;
  return !hasWaitingWork && freeShare >= idleFreeShare;
}
