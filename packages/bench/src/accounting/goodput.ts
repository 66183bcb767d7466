/**
 * Evaluates the responses of a run. Goodput is the share of offered model requests whose response was complete,
 * had the expected text and met both latency targets. Requests that their caller cancelled do not count as offered.
 */
import { expectedOutput } from '@bluebellhitch/standins';
import type { ServiceDocument } from '@bluebellhitch/document';
import {
  isModelResponse,
  type CallerResponse,
  type ModelResponse,
  type PlainResponse,
} from '../load/responses';
import { computeQuantiles, type Quantiles } from './quantiles';

export type Verdict =
  /** Complete, with the expected text and within both targets. */
  | 'good'
  /** Complete and with the expected text, but late. */
  | 'late-first-token'
  | 'late-between-tokens'
  /** Ended with its end marker, but with a text other than the expected one. */
  | 'wrong'
  | 'refused'
  | 'incomplete'
  | 'connection-failed'
  | 'cancelled';

const maxRefusalDetails = 20;

export interface EvaluateOptions {
  targets: ServiceDocument['targets'];
  /** Name of the model that the engines run. */
  engineModel: string;
}

export interface GoodputSummary {
  /** Model requests of the window that were not cancelled. */
  offered: number;
  good: number;
  /** `good` divided by `offered`. */
  goodput: number;
  /** Goodput with the mean time between tokens in place of its 95th percentile. */
  goodputByMeanGap: number;
  verdicts: Partial<Record<Verdict, number>>;
  refusals: Record<string, number>;
  /** Up to 20 distinct `detail` texts of refusals, each prefixed with its reason. */
  refusalDetails: string[];
  /** Refusals that state that the request did not run. */
  refusedNotRun: number;
  firstTokenMs: Quantiles;
  /** All gaps between tokens of complete responses. */
  betweenTokensMs: Quantiles;
  /** The 95th percentile of the gaps of each complete response. */
  betweenTokensP95Ms: Quantiles;
  /** From the arrival of a request to the end of its complete response. */
  completionMs: Quantiles;
  /** Complete responses to model requests, per second of the window. */
  completedPerSecond: number;
  outputTokensPerSecond: number;
  plain: PlainSummary;
}

export interface PlainSummary {
  offered: number;
  complete: number;
  wrong: number;
  refusals: Record<string, number>;
  completionMs: Quantiles;
}

export interface WindowOptions extends EvaluateOptions {
  /** Start of the window in milliseconds from the start of the trace; only requests that arrive in it count. */
  fromMs: number;
  toMs: number;
}

export function summarizeGoodput(
  responses: readonly CallerResponse[],
  options: WindowOptions,
): GoodputSummary {
  const { fromMs, toMs } = options;
  const inWindow = responses.filter(({ arrival: { atMs } }) => atMs >= fromMs && atMs < toMs);
  const modelResponses = inWindow.filter(isModelResponse);
  const plainResponses = inWindow.filter(
    (response): response is PlainResponse => !isModelResponse(response),
  );
  const evaluated = modelResponses.map((response) => ({
    response,
    verdict: evaluateResponse(response, options),
  }));
  const offered = evaluated.filter(({ verdict }) => verdict !== 'cancelled').length;
  const good = evaluated.filter(({ verdict }) => verdict === 'good').length;
  const goodByMeanGap = modelResponses.filter((response) =>
    isGoodByMeanGap(response, options),
  ).length;
  const complete = modelResponses.filter(({ end }) => end.kind === 'complete');
  const seconds = (toMs - fromMs) / 1000;
  return {
    offered,
    good,
    goodput: ratio(good, offered),
    goodputByMeanGap: ratio(goodByMeanGap, offered),
    verdicts: countBy(evaluated, ({ verdict }) => verdict),
    refusals: countBy(modelResponses, resolveFailureReason),
    refusalDetails: collectRefusalDetails(modelResponses),
    refusedNotRun: modelResponses.filter(({ end }) => end.kind === 'refused' && end.notRun === true)
      .length,
    firstTokenMs: computeQuantiles(complete.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    betweenTokensMs: computeQuantiles(complete.flatMap(({ gapsMs }) => gapsMs)),
    betweenTokensP95Ms: computeQuantiles(complete.map(({ gapsMs }) => computeP95(gapsMs))),
    completionMs: computeQuantiles(complete.map(({ endMs }) => endMs)),
    completedPerSecond: complete.length / seconds,
    outputTokensPerSecond: countTokens(complete) / seconds,
    plain: summarizePlain(plainResponses),
  };
}

export function evaluateResponse(response: ModelResponse, options: EvaluateOptions): Verdict {
  if (response.end.kind !== 'complete') {
    return response.end.kind;
  }
  if (!hasExpectedText(response, options.engineModel)) {
    return 'wrong';
  }
  const { targets } = options;
  if ((response.firstTokenMs ?? Infinity) > targets.firstTokenMs) {
    return 'late-first-token';
  }
  return computeP95(response.gapsMs) > targets.betweenTokensMs ? 'late-between-tokens' : 'good';
}

function isGoodByMeanGap(response: ModelResponse, options: EvaluateOptions): boolean {
  const { targets } = options;
  const { gapsMs } = response;
  const meanGapMs = gapsMs.reduce((sum, gapMs) => sum + gapMs, 0) / Math.max(1, gapsMs.length);
  const verdict = evaluateResponse(response, options);
  return (
    verdict === 'good' ||
    (verdict === 'late-between-tokens' && meanGapMs <= targets.betweenTokensMs)
  );
}

/** The output of the stand-in engines is a pure function of prompt and model. */
function hasExpectedText({ arrival, text }: ModelResponse, engineModel: string): boolean {
  return text === expectedOutput(arrival.prompt, engineModel, arrival.maxOutputTokens).text();
}

function summarizePlain(responses: readonly PlainResponse[]): PlainSummary {
  const complete = responses.filter(({ end }) => end.kind === 'complete');
  return {
    offered: responses.length,
    complete: complete.length,
    wrong: complete.filter(({ arrival, text }) => !text.includes(arrival.marker)).length,
    refusals: countBy(responses, resolveFailureReason),
    completionMs: computeQuantiles(complete.map(({ endMs }) => endMs)),
  };
}

function resolveFailureReason({ end }: CallerResponse): string | undefined {
  switch (end.kind) {
    case 'refused':
      return end.reason;
    case 'incomplete':
    case 'connection-failed':
      return `${end.kind}: ${end.reason}`;
    default:
      return undefined;
  }
}

function collectRefusalDetails(responses: readonly ModelResponse[]): string[] {
  const details = responses.flatMap(({ end }) =>
    end.kind === 'refused' ? [`${end.reason}: ${end.detail ?? ''}`] : [],
  );
  // Numbers in the texts would make almost every one distinct.
  const distinct = new Map(details.map((detail) => [detail.replaceAll(/\d+/g, 'n'), detail]));
  return [...distinct.values()].slice(0, maxRefusalDetails);
}

function countBy<Item, Key extends string>(
  items: readonly Item[],
  keyOf: (item: Item) => Key | undefined,
): Record<Key, number> {
  const counts = new Map<Key, number>();
  items.forEach((item) => {
    const key = keyOf(item);
    if (key !== undefined) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  });
  return Object.fromEntries(counts) as Record<Key, number>;
}

/** 95th percentile by the nearest-rank method; 0 for no values, as in a response of one token. */
export function computeP95(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.ceil(sorted.length * 0.95) - 1] ?? 0;
}

function countTokens(responses: readonly ModelResponse[]): number {
  return responses.reduce((sum, { gapsMs }) => sum + gapsMs.length + 1, 0);
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
