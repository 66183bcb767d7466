/**
 * Decides whether a prefill is worth starting, with one formula for all services:
 *
 *     value = goodput x P - wastedPrefill x cost x (1 - P) - displaced
 *
 * where P is the probability that both latency targets are met, `cost` is the prefill's size relative
 * to the service's average, `displaced` is the goodput that other requests lose, and the weights come
 * from the service document. A prefill starts if its value is positive.
 */

export interface LatencyTargets {
  firstTokenMs: number;
  betweenTokensMs: number;
}

export interface ValueWeights {
  goodput: number;
  wastedPrefill: number;
}

/** Predicted durations of one serving plan, counted from now. */
export interface PhasePrediction {
  /** Whether the prefill runs elsewhere during the wait for the decode slot; otherwise it needs the slot. */
  overlapsWait: boolean;
  /** When the decode slot is usable. */
  usableInMs: number;
  /** Wait in the prefill worker's queue. */
  prefillWaitMs: number;
  prefillMs: number;
  transferMs: number;
  /** Time between tokens at the decode worker. */
  stepMs: number;
}

export interface PrefillDecisionOptions {
  weights: ValueWeights;
  targets: LatencyTargets;
  prediction: PhasePrediction;
  /** Time since the request arrived. */
  elapsedMs: number;
  /** Tokens that the prefill would compute. */
  uncachedTokens: number;
  averagePrefillTokens: number;
  /** Relative error of earlier predictions; see `PhaseModel`. */
  firstTokenDeviation: number;
  betweenTokensDeviation: number;
  /** Goodput that waiting requests are expected to lose if this one uses the servers. */
  displacedGoodput?: number;
  /** Whether the servers are idle: then even a late response displaces no other request. */
  serversIdle?: boolean;
}

export interface ExpectedOutcome {
  /** Predicted time to the first token, counted from the request's arrival. */
  firstTokenMs: number;
  /** Probability that both targets are met. */
  probability: number;
  value: number;
}

export type PrefillDecision =
  /** Start after `startInMs`: if started earlier, the result would expire before the slot is usable. */
  | { kind: 'start'; startInMs: number; late: boolean; expected: ExpectedOutcome }
  /** Worth starting only if the slot becomes usable sooner than predicted; give up after `limitMs`. */
  | { kind: 'wait'; limitMs: number; expected: ExpectedOutcome }
  | { kind: 'refuse'; retryAfterMs: number; expected: ExpectedOutcome };

/** A prefill is scheduled to end this long before its slot is usable, in case it starts late. */
const startMarginMs = 20;
/** Below this share of the break-even probability, waiting would only delay the refusal. */
const waitProbabilityShare = 0.5;
const minimumRetryAfterMs = 100;

export function decidePrefill(options: PrefillDecisionOptions): PrefillDecision {
  const expected = estimateOutcome(options);
  const slackMs = latestUsableInMs(options);
  if (expected.value > 0) {
    return { kind: 'start', startInMs: startInMs(options.prediction), late: false, expected };
  }
  if (options.serversIdle) {
    return { kind: 'start', startInMs: startInMs(options.prediction), late: true, expected };
  }
  const isWorthWaiting =
    expected.probability >= waitProbabilityShare * breakEvenProbability(options);
  if (isWorthWaiting && slackMs > 0 && options.prediction.usableInMs > slackMs) {
    return { kind: 'wait', limitMs: slackMs, expected };
  }
  const excessMs = options.prediction.usableInMs - Math.max(0, slackMs);
  return { kind: 'refuse', retryAfterMs: Math.max(minimumRetryAfterMs, excessMs), expected };
}

export function estimateOutcome(options: PrefillDecisionOptions): ExpectedOutcome {
  const { weights, displacedGoodput = 0 } = options;
  const firstTokenMs = options.elapsedMs + predictFirstTokenMs(options.prediction);
  const probability = betweenTokensProbability(options) * firstTokenProbability(options);
  const loss = weights.wastedPrefill * prefillCost(options);
  const value = weights.goodput * probability - loss * (1 - probability) - displacedGoodput;
  return { firstTokenMs, probability, value };
}

/** The KV cache is imported once the prefill is done and the slot is usable; the first token takes one more step. */
export function predictFirstTokenMs(prediction: PhasePrediction): number {
  const { overlapsWait, usableInMs, transferMs, stepMs } = prediction;
  const prefilledInMs = prefillEndMs(prediction);
  const readyInMs = overlapsWait ? Math.max(usableInMs, prefilledInMs) : usableInMs + prefilledInMs;
  return readyInMs + transferMs + stepMs;
}

/**
 * Latest `usableInMs` at which the prefill would still be worth starting; negative if there is none.
 * Sent to the agent as the longest useful wait for the slot.
 */
export function latestUsableInMs(options: PrefillDecisionOptions): number {
  const { prediction, targets, elapsedMs, firstTokenDeviation } = options;
  const requiredProbability = breakEvenProbability(options) / betweenTokensProbability(options);
  if (requiredProbability >= 1) {
    return -1;
  }
  const limitMs = targets.firstTokenMs - elapsedMs;
  const meanMs = maxMeanMs(
    limitMs,
    firstTokenDeviation,
    Math.max(requiredProbability, minProbability),
  );
  const fixedMs = prediction.transferMs + prediction.stepMs;
  const prefilledInMs = prefillEndMs(prediction);
  if (meanMs < prefilledInMs + fixedMs) {
    return -1;
  }
  return meanMs - fixedMs - (prediction.overlapsWait ? 0 : prefilledInMs);
}

/**
 * Probability that a duration predicted as `meanMs` stays within `limitMs`. Logistic rather than
 * normal, because errors of latency predictions have heavy tails and it has a closed-form inverse.
 */
export function probabilityWithin(limitMs: number, meanMs: number, deviation: number): number {
  if (limitMs <= 0) {
    return 0;
  }
  const scaleMs = Math.max(deviation * meanMs, minDeviationMs) * scalePerDeviation;
  return 1 / (1 + Math.exp((meanMs - limitMs) / scaleMs));
}

/** The standard deviation of a logistic distribution is pi / sqrt(3) times its scale. */
const scalePerDeviation = Math.sqrt(3) / Math.PI;
const minDeviationMs = 1;
/** Keeps the logit finite if wasted prefill has no weight, and the divisor in `maxMeanMs` positive. */
const minProbability = 0.01;

/** Inverse of `probabilityWithin`: the largest mean that stays within the limit with this probability. */
function maxMeanMs(limitMs: number, deviation: number, probability: number): number {
  const logit = Math.log(probability / (1 - probability)) * scalePerDeviation * deviation;
  return limitMs / Math.max(1 + logit, minProbability);
}

/** Probability of success at which the expected value is 0. */
function breakEvenProbability(options: PrefillDecisionOptions): number {
  const { weights, displacedGoodput = 0 } = options;
  const loss = weights.wastedPrefill * prefillCost(options);
  const total = weights.goodput + loss;
  return total === 0 ? 1 : Math.min(1, (loss + displacedGoodput) / total);
}

function prefillCost(options: PrefillDecisionOptions): number {
  return options.uncachedTokens / Math.max(1, options.averagePrefillTokens);
}

function firstTokenProbability(options: PrefillDecisionOptions): number {
  const meanMs = predictFirstTokenMs(options.prediction);
  const limitMs = options.targets.firstTokenMs - options.elapsedMs;
  return probabilityWithin(limitMs, meanMs, options.firstTokenDeviation);
}

function betweenTokensProbability(options: PrefillDecisionOptions): number {
  const { prediction, targets, betweenTokensDeviation } = options;
  return probabilityWithin(targets.betweenTokensMs, prediction.stepMs, betweenTokensDeviation);
}

function startInMs(prediction: PhasePrediction): number {
  const spareMs = prediction.usableInMs - prefillEndMs(prediction) - startMarginMs;
  return prediction.overlapsWait ? Math.max(0, spareMs) : prediction.usableInMs;
}

function prefillEndMs({ prefillWaitMs, prefillMs }: PhasePrediction): number {
  return prefillWaitMs + prefillMs;
}
