/**
 * Quarantines requests that crash servers. Each request in flight on a server that died gets a strike
 * on its fingerprint. After one strike it runs only beside requests without any, so that the next crash
 * shows which one caused it; after the document's number of strikes it is quarantined for a time.
 * A request that completes is cleared: it did not cause the crash.
 *
 * Records merge like a two-phase set: a merge is the union of strikes and of clearances, so that peers
 * and the platform may exchange them in any order and any number of times.
 *
 * Times are milliseconds of one clock: the wall clock where records outlive the process or move between
 * machines unconverted, and otherwise any. A clock that is ahead cannot prolong a quarantine, because
 * strikes in the future count as of now.
 */
import type { Strike } from '@bluebellhitch/protocol';
import { createBoundedMap } from './boundedMap';

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
  release: readonly string[];
  block: readonly string[];
}

export interface CountedStrike {
  attemptId: string;
  instanceId: string;
  struckAtMs: number;
  /** When the attempt began. */
  startedAtMs?: number;
}

/** What peers and the platform exchange: the value of a `quarantine` object. */
export interface QuarantineRecord {
  service: string;
  fingerprint: string;
  strikes: CountedStrike[];
  /** Attempts whose strikes do not count, because the request completed later. */
  clearedAttemptIds: string[];
}

export type QuarantineVerdict =
  | { kind: 'clear' }
  /** May run, but not beside another request with strikes; see `avoidInstances`. */
  | { kind: 'struck'; strikeCount: number }
  | { kind: 'quarantined'; strikeCount: number; retryAfterMs: number }
  /** Listed in the document: refused until an operator edits it. */
  | { kind: 'blocked' };

export interface QuarantineQuery {
  service: string;
  fingerprint: string;
  policy: QuarantinePolicy;
  nowMs: number;
}

export interface QuarantineOptions {
  maxFingerprints?: number;
  /** Records without a strike for this long are dropped; longer than any quarantine. */
  lifetimeMs?: number;
}

export interface Quarantine {
  /** Adds a strike; false if this attempt's strike is already known. */
  strike(strike: Strike & Pick<CountedStrike, 'startedAtMs'>, nowMs: number): boolean;
  verdict(query: QuarantineQuery): QuarantineVerdict;
  /** Clears the strikes so far after the request completed; false if there were none. */
  clear(service: string, fingerprint: string): boolean;
  /** Merges a record from a peer or the platform; false if it contained nothing new. */
  merge(record: QuarantineRecord, nowMs: number): boolean;
  record(service: string, fingerprint: string): QuarantineRecord | undefined;
  /** All records, also those without strikes that count. */
  records(): QuarantineRecord[];
  /** Records that a request with strikes runs on a server. */
  addPlacement(service: string, attemptId: string, instanceId: string): void;
  removePlacement(attemptId: string): void;
  /** Servers that run a request of the service with strikes: no other such request may join it. */
  avoidInstances(service: string): ReadonlySet<string>;
  /** Removes expired records. */
  sweep(nowMs: number): void;
  size(): number;
}

interface Placement {
  service: string;
  instanceId: string;
}

const maxStrikesPerRecord = 16;
const maxClearancesPerRecord = 64;
const maxPlacements = 4096;

export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const { maxFingerprints = 4096, lifetimeMs = 3_600_000 } = options;
  const records = createBoundedMap<string, QuarantineRecord>({ maxEntries: maxFingerprints });
  const placements = createBoundedMap<string, Placement>({ maxEntries: maxPlacements });

  function recordOf(service: string, fingerprint: string): QuarantineRecord | undefined {
    return records.get(recordKey(service, fingerprint));
  }

  function merge(record: QuarantineRecord, nowMs: number): boolean {
    const { service, fingerprint } = record;
    const known = recordOf(service, fingerprint) ?? emptyRecord(service, fingerprint);
    const merged = mergeQuarantineRecords(known, clampToNow(record, nowMs));
    if (isSameRecord(known, merged)) {
      return false;
    }
    records.set(recordKey(service, fingerprint), merged);
    return true;
  }

  function strike(reported: Strike & Pick<CountedStrike, 'startedAtMs'>, nowMs: number): boolean {
    const { service, fingerprint, attemptId, instanceId, startedAtMs } = reported;
    const counted = { attemptId, instanceId, struckAtMs: nowMs, startedAtMs };
    const record = { ...emptyRecord(service, fingerprint), strikes: [counted] };
    return merge(record, nowMs);
  }

  function clear(service: string, fingerprint: string): boolean {
    const record = recordOf(service, fingerprint);
    if (record === undefined || activeStrikes(record).length === 0) {
      return false;
    }
    const clearedAttemptIds = record.strikes.map(({ attemptId }) => attemptId);
    const cleared = mergeQuarantineRecords(record, { ...record, clearedAttemptIds });
    records.set(recordKey(service, fingerprint), cleared);
    return true;
  }

  function verdict(query: QuarantineQuery): QuarantineVerdict {
    const { service, fingerprint, policy, nowMs } = query;
    if (policy.block.includes(fingerprint)) {
      return { kind: 'blocked' };
    }
    return judge(recordOf(service, fingerprint), policy, nowMs);
  }

  function sweep(nowMs: number): void {
    [...records.entries()]
      .filter(([, record]) => lastStrikeAtMs(record.strikes) + lifetimeMs <= nowMs)
      .forEach(([key]) => records.delete(key));
  }

  function avoidInstances(service: string): ReadonlySet<string> {
    const occupied = [...placements.entries()]
      .filter(([, placement]) => placement.service === service)
      .map(([, placement]) => placement.instanceId);
    return new Set(occupied);
  }

  return {
    strike,
    verdict,
    clear,
    merge,
    record: recordOf,
    records: () => [...records.entries()].map(([, record]) => record),
    addPlacement: (service, attemptId, instanceId) =>
      placements.set(attemptId, { service, instanceId }),
    removePlacement: (attemptId) => {
      placements.delete(attemptId);
    },
    avoidInstances,
    sweep,
    size: () => records.size(),
  };
}

/**
 * Union of strikes (one for each attempt) and of clearances. Commutative, associative and idempotent
 * while the size limits are not exceeded.
 */
export function mergeQuarantineRecords(
  left: QuarantineRecord,
  right: QuarantineRecord,
): QuarantineRecord {
  const strikes = new Map<string, CountedStrike>();
  [...left.strikes, ...right.strikes].forEach((strike) => {
    const known = strikes.get(strike.attemptId);
    if (known === undefined || isEarlier(strike, known)) {
      strikes.set(strike.attemptId, strike);
    }
  });
  return {
    service: left.service,
    fingerprint: left.fingerprint,
    strikes: [...strikes.values()].sort(newestFirst).slice(0, maxStrikesPerRecord),
    clearedAttemptIds: [...new Set([...left.clearedAttemptIds, ...right.clearedAttemptIds])]
      .sort()
      .slice(-maxClearancesPerRecord),
  };
}

function judge(
  record: QuarantineRecord | undefined,
  policy: QuarantinePolicy,
  nowMs: number,
): QuarantineVerdict {
  const { durationMs, memoryMs = durationMs } = policy;
  const recent = activeStrikes(record).filter(({ struckAtMs }) => struckAtMs + memoryMs > nowMs);
  if (record === undefined || recent.length === 0) {
    return { kind: 'clear' };
  }
  const strikeCount = recent.length;
  const endsAtMs = lastStrikeAtMs(recent) + durationMs;
  const isReleased = endsAtMs <= nowMs || policy.release.includes(record.fingerprint);
  const isSuspect = strikeCount >= policy.strikes && countRounds(recent) >= (policy.rounds ?? 1);
  if (!isSuspect || isReleased) {
    return { kind: 'struck', strikeCount };
  }
  return { kind: 'quarantined', strikeCount, retryAfterMs: endsAtMs - nowMs };
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

function activeStrikes(record: QuarantineRecord | undefined): CountedStrike[] {
  return (record?.strikes ?? []).filter(
    ({ attemptId }) => !record?.clearedAttemptIds.includes(attemptId),
  );
}

function clampToNow(record: QuarantineRecord, nowMs: number): QuarantineRecord {
  const strikes = record.strikes.map((strike) => ({
    ...strike,
    struckAtMs: Math.min(strike.struckAtMs, nowMs),
  }));
  return { ...record, strikes };
}

function lastStrikeAtMs(strikes: readonly CountedStrike[]): number {
  return strikes.reduce((latest, { struckAtMs }) => Math.max(latest, struckAtMs), -Infinity);
}

function isEarlier(left: CountedStrike, right: CountedStrike): boolean {
  return (
    left.struckAtMs < right.struckAtMs ||
    (left.struckAtMs === right.struckAtMs && left.instanceId < right.instanceId)
  );
}

function newestFirst(left: CountedStrike, right: CountedStrike): number {
  return right.struckAtMs - left.struckAtMs || (left.attemptId < right.attemptId ? -1 : 1);
}

function isSameRecord(left: QuarantineRecord, right: QuarantineRecord): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function emptyRecord(service: string, fingerprint: string): QuarantineRecord {
  return { service, fingerprint, strikes: [], clearedAttemptIds: [] };
}

function recordKey(service: string, fingerprint: string): string {
  return `${service}\u0000${fingerprint}`;
}
