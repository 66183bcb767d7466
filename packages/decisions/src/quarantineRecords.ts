/**
 * Records of the quarantine: which servers crashed while they ran a request, or a request with a part of a prompt. They
 * merge like a two-phase set: a merge is the union of strikes and of clearances, so that peers and the platform may
 * exchange them in any order and any number of times.
 */

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
  /**
   * Position of the part of a prompt that the record is of, from 0; absent for a whole request. Requests with a part at
   * a greater position are fewer, as they share the parts before it as well.
   */
  depth?: number;
  strikes: CountedStrike[];
  /** Attempts whose strikes do not count, because the request completed later. */
  clearedAttemptIds: string[];
}

const maxStrikesPerRecord = 16;
const maxClearancesPerRecord = 64;

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
  const kept = [...strikes.values()].sort(newestFirst).slice(0, maxStrikesPerRecord);
  const keptIds = new Set(kept.map(({ attemptId }) => attemptId));
  const clearedIds = new Set([...left.clearedAttemptIds, ...right.clearedAttemptIds]);
  return {
    service: left.service,
    fingerprint: left.fingerprint,
    ...mergeDepths(left.depth, right.depth),
    strikes: kept,
    clearedAttemptIds: keepClearances([...clearedIds], keptIds),
  };
}

/** The clearance of a strike that is still in the record must not be lost: the strike would count again. */
function keepClearances(ids: readonly string[], strikeIds: ReadonlySet<string>): string[] {
  const sorted = [...ids].sort();
  const needed = sorted.filter((id) => strikeIds.has(id));
  const others = sorted.filter((id) => !strikeIds.has(id));
  const room = Math.max(0, maxClearancesPerRecord - needed.length);
  return [...needed, ...others.slice(Math.max(0, others.length - room))].sort();
}

/** A part may stand at several positions; the first one counts. */
function mergeDepths(left: number | undefined, right: number | undefined): { depth?: number } {
  const depths = [left, right].filter((depth) => depth !== undefined);
  return depths.length === 0 ? {} : { depth: Math.min(...depths) };
}

export function activeStrikes(record: QuarantineRecord | undefined): CountedStrike[] {
  return (record?.strikes ?? []).filter(
    ({ attemptId }) => !record?.clearedAttemptIds.includes(attemptId),
  );
}

export function lastStrikeAtMs(strikes: readonly CountedStrike[]): number {
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
