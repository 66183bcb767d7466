/**
 * Judges which requests, and which parts of prompts, crash the servers that run them. A crash ends all that its server
 * ran, so most of what carried the strike of a crash has not caused it.
 */
import {
  activeStrikes,
  lastStrikeAtMs,
  type CountedStrike,
  type QuarantineRecord,
} from './quarantineRecords';

/** The `quarantine` part of a service's document. */
export interface QuarantinePolicy {
  strikes: number;
  /**
   * In how many rounds the strikes must have happened; default 1. Attempts that overlap are of one round:
   * servers that end together have a cause of their own.
   */
  rounds?: number;
  durationMs: number;
  /**
   * How long a strike counts. If longer than `durationMs`, the request may run again after a quarantine,
   * and a single further crash renews it. Default: `durationMs`.
   */
  memoryMs?: number;
  /** For parts of prompts; default: as for whole requests. */
  parts?: PartPolicies;
  release: readonly string[];
  block: readonly string[];
}

export interface PartPolicies {
  /** For parts that most prompts have, so that their quarantine refuses many requests. */
  widespread: PartPolicy;
  other: PartPolicy;
}

export interface PartPolicy {
  strikes: number;
  rounds: number;
  /** Time from the last strike to the first trial; each further strike multiplies it by `trialFactor`. */
  firstTrialMs: number;
  trialFactor: number;
}

export type QuarantineVerdict =
  | { kind: 'clear' }
  /** May run, but not beside another request with strikes; see `avoidInstances`. */
  | { kind: 'struck'; strikeCount: number }
  | {
      kind: 'quarantined';
      strikeCount: number;
      retryAfterMs: number;
      /** One request may be sent nevertheless, to find out whether the part still crashes servers. */
      isTrialDue?: boolean;
    }
  /** Listed in the document: refused until an operator edits it. */
  | { kind: 'blocked' };

export interface JudgeOptions {
  policy: QuarantinePolicy;
  nowMs: number;
  /** Whether many requests have the part, so that its quarantine needs more evidence. */
  isWidespread: (record: QuarantineRecord) => boolean;
  /** Whether servers have written on the part without harm until now. Default: it is not known. */
  isProven?: (record: QuarantineRecord) => boolean;
}

/**
 * Judges a record by its strikes that are recent and not cleared. If others explain all of them, it is no suspect; of a
 * widespread part only those count that nothing else explains.
 */
export function judgeRecord(
  record: QuarantineRecord | undefined,
  options: JudgeOptions,
  explainedIds: ReadonlySet<string> = new Set(),
): QuarantineVerdict {
  const { policy, nowMs } = options;
  const recent = recentStrikes(record, options);
  if (record === undefined || recent.length === 0) {
    return { kind: 'clear' };
  }
  const strikeCount = recent.length;
  const partPolicy = partPolicyOf(record, options);
  const unexplained = recent.filter(({ attemptId }) => !explainedIds.has(attemptId));
  const counted = options.isWidespread(record) ? unexplained : recent;
  const endsAtMs = lastStrikeAtMs(recent) + policy.durationMs;
  const isReleased = endsAtMs <= nowMs || policy.release.includes(record.fingerprint);
  const isExplained = unexplained.length === 0;
  if (isExplained || !isSuspect(counted, partPolicy ?? policy) || isReleased) {
    return { kind: 'struck', strikeCount };
  }
  const held = { kind: 'quarantined' as const, strikeCount, retryAfterMs: endsAtMs - nowMs };
  if (partPolicy === undefined) {
    return held;
  }
  const trial = planTrial(counted, partPolicy, nowMs);
  return { ...held, ...trial, retryAfterMs: Math.min(held.retryAfterMs, trial.retryAfterMs) };
}

function partPolicyOf(
  record: QuarantineRecord,
  { policy: { parts }, isWidespread }: JudgeOptions,
): PartPolicy | undefined {
  if (record.depth === undefined || parts === undefined) {
    return undefined;
  }
  return isWidespread(record) ? parts.widespread : parts.other;
}

/** When the next request may find out whether the part still crashes servers. */
function planTrial(
  strikes: readonly CountedStrike[],
  policy: PartPolicy,
  nowMs: number,
): { retryAfterMs: number; isTrialDue: boolean } {
  const further = Math.max(0, strikes.length - policy.strikes);
  const pauseMs = policy.firstTrialMs * policy.trialFactor ** further;
  const leftMs = lastStrikeAtMs(strikes) + pauseMs - nowMs;
  return { retryAfterMs: leftMs > 0 ? leftMs : pauseMs, isTrialDue: leftMs <= 0 };
}

/**
 * Judges records together, and returns the verdicts of those in quarantine by fingerprint. Those with most strikes are
 * judged first, and of equal ones the part at the greatest position, which fewer requests have. What is in quarantine
 * explains its crashes to those after it. A request does not explain the crashes of another request. Widespread parts
 * come last; whatever else is suspect by itself explains its crashes to them. To a part that is proven, all explains its
 * crashes that is not: of several causes each has few crashes, and together they have what all requests share in common.
 */
export function judgeTogether(
  records: readonly QuarantineRecord[],
  options: JudgeOptions,
): Map<string, QuarantineVerdict> {
  const candidates = records
    .map((record) => ({ record, count: recentStrikes(record, options).length }))
    .filter(({ count }) => count >= options.policy.strikes)
    .sort(byRank);
  const [widespread, others] = [true, false].map((isWidespread) =>
    candidates.filter(({ record }) => options.isWidespread(record) === isWidespread),
  ) as [Candidate[], Candidate[]];
  const suspects = others.filter(({ record }) => isHeld(judgeRecord(record, options)));
  const explainedToAll = strikeIdsOf(suspects);
  const { isProven = () => false } = options;
  const explainedToProven = strikeIdsOf(
    records.filter((record) => !isProven(record)).map((record) => ({ record })),
  );
  const causes: Candidate[] = [];
  const verdicts = new Map<string, QuarantineVerdict>();

  function judge(candidate: Candidate, explainedIds: ReadonlySet<string>): void {
    const verdict = judgeRecord(candidate.record, options, explainedIds);
    if (isHeld(verdict)) {
      causes.push(candidate);
      verdicts.set(candidate.record.fingerprint, verdict);
    }
  }

  suspects.forEach((candidate) =>
    judge(candidate, strikeIdsOf(causes.filter((cause) => doesExplain(cause, candidate)))),
  );
  widespread.forEach((candidate) =>
    judge(candidate, isProven(candidate.record) ? explainedToProven : explainedToAll),
  );
  return verdicts;
}

function isHeld({ kind }: QuarantineVerdict): boolean {
  return kind === 'quarantined';
}

function strikeIdsOf(candidates: readonly Pick<Candidate, 'record'>[]): ReadonlySet<string> {
  const strikes = candidates.flatMap(({ record }) => activeStrikes(record));
  return new Set(strikes.map(({ attemptId }) => attemptId));
}

interface Candidate {
  record: QuarantineRecord;
  /** Strikes that count. */
  count: number;
}

function byRank(left: Candidate, right: Candidate): number {
  return right.count - left.count || positionOf(right) - positionOf(left);
}

function positionOf({ record }: Candidate): number {
  return record.depth ?? Number.MAX_SAFE_INTEGER;
}

function doesExplain(cause: Candidate, other: Candidate): boolean {
  const areRequests = cause.record.depth === undefined && other.record.depth === undefined;
  return !areRequests && byRank(cause, other) < 0;
}

function recentStrikes(
  record: QuarantineRecord | undefined,
  { policy, nowMs }: JudgeOptions,
): CountedStrike[] {
  const { durationMs, memoryMs = durationMs } = policy;
  return activeStrikes(record).filter(({ struckAtMs }) => struckAtMs + memoryMs > nowMs);
}

function isSuspect(
  unexplained: readonly CountedStrike[],
  { strikes, rounds = 1 }: { strikes: number; rounds?: number },
): boolean {
  return unexplained.length >= strikes && countRounds(unexplained) >= rounds;
}

/** A strike whose attempt began after the first strike of a round belongs to the next one. */
function countRounds(strikes: readonly CountedStrike[]): number {
  const { count } = [...strikes]
    .sort((left, right) => left.struckAtMs - right.struckAtMs)
    .reduce(
      (rounds, { struckAtMs, startedAtMs = struckAtMs }) =>
        startedAtMs >= rounds.firstStrikeAtMs || rounds.count === 0
          ? { count: rounds.count + 1, firstStrikeAtMs: struckAtMs }
          : rounds,
      { count: 0, firstStrikeAtMs: -Infinity },
    );
  return count;
}
