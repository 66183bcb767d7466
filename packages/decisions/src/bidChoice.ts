/**
 * Chooses among the bids of a model request's candidates: which decode worker reserves memory, and
 * whether the prompt is prefilled there or on a prefill worker with a transfer. Short prompts and
 * prompts mostly cached at the decode worker are prefilled there. The way with the highest expected
 * value wins, see `expectedValue`.
 */
import type { Bid } from '@bluebellhitch/protocol';
import {
  decidePrefill,
  usableSlackMs,
  type ExpectedOutcome,
  type LatencyTargets,
  type PhasePrediction,
  type PrefillDecision,
  type ValueWeights,
} from './expectedValue';
import type { LinkRates } from './linkRate';
import type { PhaseModel } from './phaseModel';

/** A candidate's answer. */
export interface CandidateBid {
  instanceId: string;
  bid: Bid;
  /** Measured round trip from this entry; it comes on top of every prediction. */
  roundTripMs?: number;
}

export interface BidChoiceOptions {
  decodeBids: readonly CandidateBid[];
  /** Empty where the service has no prefill workers: prompts are then prefilled where they decode. */
  prefillBids?: readonly CandidateBid[];
  promptTokens: number;
  targets: LatencyTargets;
  weights: ValueWeights;
  model: PhaseModel;
  linkRates: LinkRates;
  elapsedMs?: number;
  /** Prompts with at most this many uncached tokens are prefilled at the decode worker. */
  localPrefillTokens?: number;
  /** So are prompts of which at least this share is cached there. */
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
  /** Below the target by expectation; served because the servers are idle. */
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

interface ServingWay {
  decode: CandidateBid;
  /** Absent: prefill at the decode worker. */
  prefill?: CandidateBid;
  uncachedTokens: number;
  prediction: PhasePrediction;
  /** Goodput that streams of the decode worker lose by a long prompt beside them. */
  strain?: number;
}

interface JudgedWay {
  way: ServingWay;
  decision: PrefillDecision;
  waitLimitMs: number;
}

/** Part of the first-token target from which a wait for the slot counts as full contention. */
const contendedShare = 0.2;
const usualProbability = 0.8;
/** Without it, idle fleets would compute long prompts beside streams rather than transfer them. */
const longPromptStrain = 0.02;
const largestSize = 3;
/**
 * Share of the target between tokens up to which a worker's slow steps leave room for a long prompt. The bid
 * tells of all its streams together and as the agent sees them: held against the whole target, it lets many
 * answers miss it, by what the way to the caller adds and by prompts that fall on few of them.
 */
const slowStepShare = 0.85;
const emptyPoolRetryMs = 1_000;
const noCapacityRetryMs = 500;
/** Free share of the memory from which a server without a queue counts as idle. */
const idleFreeShare = 0.5;

export function chooseBid(options: BidChoiceOptions): BidChoice {
  const present = options.decodeBids.filter(({ bid }) => !bid.load.leaving);
  if (present.length === 0) {
    return { kind: 'refuse', reason: 'no-instances', retryAfterMs: emptyPoolRetryMs };
  }
  const usable = present.filter(({ bid }) => bid.usableInMs !== undefined);
  const judged = usable
    .flatMap((decode) => waysOf(decode, options))
    .map((way) => judge(way, options));
  const [best] = judged.filter(({ decision }) => decision.kind !== 'refuse').sort(byPreference);
  return best === undefined ? refuse(judged) : reserve(best);
}

function waysOf(decode: CandidateBid, options: BidChoiceOptions): ServingWay[] {
  const { promptTokens, prefillBids = [] } = options;
  const sources = prefillBids.filter(
    ({ bid, instanceId }) =>
      !bid.load.leaving && bid.usableInMs !== undefined && instanceId !== decode.instanceId,
  );
  const uncachedTokens = uncached(promptTokens, decode.bid);
  if (sources.length === 0 || prefersLocal(uncachedTokens, options)) {
    return [localWay(decode, uncachedTokens, options)];
  }
  const local = takesLongPrompts(decode, options)
    ? [{ ...localWay(decode, uncachedTokens, options), strain: longPromptStrain }]
    : [];
  return [...local, ...sources.map((prefill) => transferWay(decode, prefill, options))];
}

function prefersLocal(uncachedTokens: number, options: BidChoiceOptions): boolean {
  const { promptTokens, localPrefillTokens = 256, localPrefillCachedShare = 0.9 } = options;
  const cachedShare = promptTokens === 0 ? 1 : 1 - uncachedTokens / promptTokens;
  return uncachedTokens <= localPrefillTokens || cachedShare >= localPrefillCachedShare;
}

/**
 * Whether a long prompt may be prefilled where it decodes: only a worker that tells how long its prompts
 * wait, and whose streams still meet their time between tokens beside those that it computes.
 */
function takesLongPrompts({ bid }: CandidateBid, { targets }: BidChoiceOptions): boolean {
  const slowStepLimitMs = slowStepShare * targets.betweenTokensMs;
  return bid.prefillWaitMs !== undefined && (bid.slowStepMs ?? 0) <= slowStepLimitMs;
}

function localWay(
  decode: CandidateBid,
  uncachedTokens: number,
  options: BidChoiceOptions,
): ServingWay {
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

function transferWay(
  decode: CandidateBid,
  prefill: CandidateBid,
  options: BidChoiceOptions,
): ServingWay {
  const { model, linkRates, promptTokens } = options;
  const uncachedTokens = uncached(promptTokens, prefill.bid);
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
 * Goodput that others lose by this request. Where a slot has to be awaited, somebody else waits for it
 * too: the request takes the place of as many usual ones as it is larger than they are.
 */
function displacedBy({ decode, strain = 0 }: ServingWay, options: BidChoiceOptions): number {
  const { promptTokens, targets, model } = options;
  const contendedMs = contendedShare * targets.firstTokenMs;
  const contention = Math.min(1, (decode.bid.usableInMs ?? 0) / contendedMs);
  const size = promptTokens / Math.max(1, model.averagePrefillTokens);
  return strain + usualProbability * contention * Math.min(size, largestSize);
}

function judge(way: ServingWay, options: BidChoiceOptions): JudgedWay {
  const decisionOptions = {
    weights: options.weights,
    targets: options.targets,
    prediction: way.prediction,
    elapsedMs: options.elapsedMs ?? 0,
    uncachedTokens: way.uncachedTokens,
    averagePrefillTokens: options.model.averagePrefillTokens,
    firstTokenDeviation: options.model.firstTokenDeviation,
    betweenTokensDeviation: options.model.betweenTokensDeviation,
    displacedGoodput: displacedBy(way, options),
    serversIdle: isIdle(way.decode) && (way.prefill === undefined || isIdle(way.prefill)),
  };
  return {
    way,
    decision: decidePrefill(decisionOptions),
    waitLimitMs: Math.max(way.prediction.usableInMs, usableSlackMs(decisionOptions)),
  };
}

/** Highest value first; among equals the earlier first token, then the emptier decode worker. */
function byPreference(left: JudgedWay, right: JudgedWay): number {
  const leftExpected = left.decision.expected;
  const rightExpected = right.decision.expected;
  return (
    rightExpected.value - leftExpected.value ||
    leftExpected.firstTokenMs - rightExpected.firstTokenMs ||
    right.way.decode.bid.load.freeKvBytes - left.way.decode.bid.load.freeKvBytes
  );
}

function reserve({ way, decision, waitLimitMs }: JudgedWay): BidChoice {
  const { prediction, uncachedTokens } = way;
  const expected: ReserveExpectation = {
    ...decision.expected,
    usableInMs: prediction.usableInMs,
    neededInMs: way.prefill ? prediction.prefillWaitMs + prediction.prefillMs : 0,
    waitLimitMs: decision.kind === 'wait' ? decision.limitMs : waitLimitMs,
    uncachedTokens,
    late: decision.kind === 'start' && decision.late,
    prediction,
  };
  const { instanceId } = way.decode;
  if (way.prefill === undefined) {
    return { kind: 'reserve', instanceId, prefill: 'local', expected };
  }
  const prefillInstanceId = way.prefill.instanceId;
  return { kind: 'reserve', instanceId, prefill: 'transfer', prefillInstanceId, expected };
}

function refuse(judged: readonly JudgedWay[]): BidChoice {
  if (judged.length === 0) {
    return { kind: 'refuse', reason: 'no-capacity', retryAfterMs: noCapacityRetryMs };
  }
  const waits = judged.map(({ decision }) =>
    decision.kind === 'refuse' ? decision.retryAfterMs : noCapacityRetryMs,
  );
  return { kind: 'refuse', reason: 'deadline-hopeless', retryAfterMs: Math.min(...waits) };
}

function uncached(promptTokens: number, bid: Bid): number {
  return Math.max(0, promptTokens - bid.cachedPrefixTokens);
}

function usableInMs(candidate: CandidateBid): number {
  return (candidate.bid.usableInMs ?? 0) + (candidate.roundTripMs ?? 0);
}

function isIdle({ bid }: CandidateBid): boolean {
  const { load } = bid;
  const freeShare = load.capacityKvBytes === 0 ? 1 : load.freeKvBytes / load.capacityKvBytes;
  const waits = load.queuedCount > 0 || bid.usableInMs !== 0 || (bid.prefillWaitMs ?? 0) > 0;
  return !waits && freeShare >= idleFreeShare;
}
