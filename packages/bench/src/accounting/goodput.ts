/**
 * Judges the answers of a run. Goodput is the share of offered model requests whose answer was whole,
 * the request's own and within both latency targets; requests whose caller left are not offered.
 */
import { expectedOutput } from '@bluebellhitch/standins';
import type { ServiceDocument } from '@bluebellhitch/document';
import { isModelAnswer, type Answer, type ModelAnswer, type PlainAnswer } from '../load/answers';
import { quantilesOf, type Quantiles } from './quantiles';

export type Verdict =
  /** Whole, own and within both targets. */
  | 'good'
  /** Whole and own, but late. */
  | 'late-first-token'
  | 'late-between-tokens'
  /** Ended as if whole, with another text than the request's own. */
  | 'wrong'
  | 'refused'
  | 'incomplete'
  | 'connection-failed'
  | 'cancelled';

const keptDetails = 20;

export interface JudgeOptions {
  targets: ServiceDocument['targets'];
  /** Model that the engines run. */
  engineModel: string;
}

export interface GoodputAccount {
  /** Model requests of the window whose caller stayed. */
  offered: number;
  good: number;
  /** `good` over `offered`. */
  goodput: number;
  /** The same with the mean time between tokens in place of its 95th percentile. */
  goodputByMeanGap: number;
  verdicts: Partial<Record<Verdict, number>>;
  refusals: Record<string, number>;
  /** A few different sentences of the refusals, each behind its reason. */
  refusalDetails: string[];
  /** Refusals that promise that the request did not run. */
  refusedNotRun: number;
  firstTokenMs: Quantiles;
  /** All gaps of complete answers. */
  betweenTokensMs: Quantiles;
  /** Each complete answer's own 95th percentile. */
  betweenTokensP95Ms: Quantiles;
  /** Arrival to end of complete answers. */
  completionMs: Quantiles;
  /** Model requests answered completely, by second of the window. */
  completedPerSecond: number;
  outputTokensPerSecond: number;
  plain: PlainAccount;
}

export interface PlainAccount {
  offered: number;
  complete: number;
  wrong: number;
  refusals: Record<string, number>;
  completionMs: Quantiles;
}

export interface WindowOptions extends JudgeOptions {
  /** Requests that arrived in this window count; milliseconds of the trace. */
  fromMs: number;
  toMs: number;
}

export function accountGoodput(answers: readonly Answer[], options: WindowOptions): GoodputAccount {
  const { fromMs, toMs } = options;
  const inWindow = answers.filter(({ arrival: { atMs } }) => atMs >= fromMs && atMs < toMs);
  const models = inWindow.filter(isModelAnswer);
  const plains = inWindow.filter((answer): answer is PlainAnswer => !isModelAnswer(answer));
  const judged = models.map((answer) => ({ answer, verdict: judge(answer, options) }));
  const offered = judged.filter(({ verdict }) => verdict !== 'cancelled').length;
  const good = judged.filter(({ verdict }) => verdict === 'good').length;
  const goodByMeanGap = models.filter((answer) => isGoodByMeanGap(answer, options)).length;
  const complete = models.filter(({ end }) => end.kind === 'complete');
  const seconds = (toMs - fromMs) / 1000;
  return {
    offered,
    good,
    goodput: ratio(good, offered),
    goodputByMeanGap: ratio(goodByMeanGap, offered),
    verdicts: countBy(judged, ({ verdict }) => verdict),
    refusals: countBy(models, refusalReasonOf),
    refusalDetails: detailsOf(models),
    refusedNotRun: models.filter(({ end }) => end.kind === 'refused' && end.notRun === true).length,
    firstTokenMs: quantilesOf(complete.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    betweenTokensMs: quantilesOf(complete.flatMap(({ gapsMs }) => gapsMs)),
    betweenTokensP95Ms: quantilesOf(complete.map(({ gapsMs }) => p95Of(gapsMs))),
    completionMs: quantilesOf(complete.map(({ endMs }) => endMs)),
    completedPerSecond: complete.length / seconds,
    outputTokensPerSecond: totalTokens(complete) / seconds,
    plain: accountPlain(plains),
  };
}

/** What became of one model request. */
export function judge(answer: ModelAnswer, options: JudgeOptions): Verdict {
  if (answer.end.kind !== 'complete') {
    return answer.end.kind;
  }
  if (!isOwnAnswer(answer, options.engineModel)) {
    return 'wrong';
  }
  const { targets } = options;
  if ((answer.firstTokenMs ?? Infinity) > targets.firstTokenMs) {
    return 'late-first-token';
  }
  return p95Of(answer.gapsMs) > targets.betweenTokensMs ? 'late-between-tokens' : 'good';
}

function isGoodByMeanGap(answer: ModelAnswer, options: JudgeOptions): boolean {
  const { targets } = options;
  const { gapsMs } = answer;
  const meanGapMs = gapsMs.reduce((sum, gapMs) => sum + gapMs, 0) / Math.max(1, gapsMs.length);
  const verdict = judge(answer, options);
  return (
    verdict === 'good' ||
    (verdict === 'late-between-tokens' && meanGapMs <= targets.betweenTokensMs)
  );
}

/** The stand-ins' answer is a pure function of prompt and model. */
function isOwnAnswer({ arrival, text }: ModelAnswer, engineModel: string): boolean {
  return text === expectedOutput(arrival.prompt, engineModel, arrival.maxOutputTokens).text();
}

function accountPlain(answers: readonly PlainAnswer[]): PlainAccount {
  const complete = answers.filter(({ end }) => end.kind === 'complete');
  return {
    offered: answers.length,
    complete: complete.length,
    wrong: complete.filter(({ arrival, text }) => !text.includes(arrival.marker)).length,
    refusals: countBy(answers, refusalReasonOf),
    completionMs: quantilesOf(complete.map(({ endMs }) => endMs)),
  };
}

function refusalReasonOf({ end }: Answer): string | undefined {
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

function detailsOf(answers: readonly ModelAnswer[]): string[] {
  const details = answers.flatMap(({ end }) =>
    end.kind === 'refused' ? [`${end.reason}: ${end.detail ?? ''}`] : [],
  );
  // Figures within the sentences would make each one different.
  const distinct = new Map(details.map((detail) => [detail.replaceAll(/\d+/g, 'n'), detail]));
  return [...distinct.values()].slice(0, keptDetails);
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

/** Nearest rank; 0 for an answer of one token. */
export function p95Of(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.ceil(sorted.length * 0.95) - 1] ?? 0;
}

function totalTokens(answers: readonly ModelAnswer[]): number {
  return answers.reduce((sum, { gapsMs }) => sum + gapsMs.length + 1, 0);
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
