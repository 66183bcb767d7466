/**
 * Quarantines requests, and parts of prompts, that crash servers. Each request in flight on a server that died gets a
 * strike on its fingerprint, and so may the parts of its prompt. After one strike a request runs only beside requests
 * without any, so that the next crash shows which one caused it; after the policy's number of strikes it is quarantined
 * for a time. A request that completes is cleared, and so is a part on which a server has written without harm: they did
 * not cause the crash.
 *
 * Times are milliseconds of one clock: the wall clock where records outlive the process or move between
 * machines unconverted, and otherwise any. A clock that is ahead cannot prolong a quarantine, because
 * strikes in the future count as of now.
 */
import type { Strike } from '@bluebellhitch/protocol';
import { createBoundedMap } from './boundedMap';
import {
  activeStrikes,
  lastStrikeAtMs,
  mergeQuarantineRecords,
  type CountedStrike,
  type QuarantineRecord,
} from './quarantineRecords';
import {
  judgeRecord,
  judgeTogether,
  type JudgeOptions,
  type QuarantinePolicy,
  type QuarantineVerdict,
} from './quarantineVerdicts';

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

export type ReportedStrike = Strike & Pick<CountedStrike, 'startedAtMs'> & { depth?: number };

export interface Quarantine {
  /** Adds a strike; false if this attempt's strike is already known. */
  strike(strike: ReportedStrike, nowMs: number): boolean;
  verdict(query: QuarantineQuery): QuarantineVerdict;
  /** Clears the strikes so far after the request completed; false if there were none. */
  clear(service: string, fingerprint: string): boolean;
  /** A server has written on the part without harm: like `clear`, and the part counts as widespread for some time. */
  noteSoundPart(service: string, fingerprint: string, nowMs: number): boolean;
  /** Another process has seen a server write on the part without harm, at this time. Strikes stay as they are. */
  noteProvenPart(service: string, fingerprint: string, soundAtMs: number): void;
  /** When a server last wrote on the part without harm, as far as known here. */
  soundAtMs(service: string, fingerprint: string): number | undefined;
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

/** Verdicts of one service that are valid until its records change, or for a moment. */
interface JudgedTogether {
  service: string;
  policy: QuarantinePolicy;
  changeCount: number;
  atMs: number;
  verdicts: Map<string, QuarantineVerdict>;
}

const maxPlacements = 4096;
const maxSoundParts = 8192;
/** How long a part counts as widespread after a server has written on it without harm. */
const soundMemoryMs = 3_600_000;
/** The same for a part that is proven; shorter, since a part may become harmful with a change of the servers. */
const proofMemoryMs = 120_000;
const judgedTogetherMs = 100;

export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const { maxFingerprints = 4096, lifetimeMs = 3_600_000 } = options;
  const records = createBoundedMap<string, QuarantineRecord>({ maxEntries: maxFingerprints });
  const placements = createBoundedMap<string, Placement>({ maxEntries: maxPlacements });
  /** When a server last wrote on the part without harm. */
  const soundAtMs = createBoundedMap<string, number>({ maxEntries: maxSoundParts });
  let changeCount = 0;
  let judged: JudgedTogether | undefined;

  function recordOf(service: string, fingerprint: string): QuarantineRecord | undefined {
    return records.get(recordKey(service, fingerprint));
  }

  function setRecord(record: QuarantineRecord): void {
    records.set(recordKey(record.service, record.fingerprint), record);
    changeCount += 1;
  }

  function merge(record: QuarantineRecord, nowMs: number): boolean {
    const { service, fingerprint } = record;
    const known = recordOf(service, fingerprint) ?? emptyRecord(service, fingerprint);
    const merged = mergeQuarantineRecords(known, clampToNow(record, nowMs));
    if (isSameRecord(known, merged)) {
      return false;
    }
    setRecord(merged);
    return true;
  }

  function strike(reported: ReportedStrike, nowMs: number): boolean {
    const { service, fingerprint, attemptId, instanceId, startedAtMs, depth } = reported;
    const counted = { attemptId, instanceId, struckAtMs: nowMs, startedAtMs };
    const record = { ...emptyRecord(service, fingerprint), depth, strikes: [counted] };
    return merge(record, nowMs);
  }

  function clear(service: string, fingerprint: string): boolean {
    const record = recordOf(service, fingerprint);
    if (record === undefined || activeStrikes(record).length === 0) {
      return false;
    }
    const clearedAttemptIds = record.strikes.map(({ attemptId }) => attemptId);
    setRecord(mergeQuarantineRecords(record, { ...record, clearedAttemptIds }));
    return true;
  }

  function hasRunWell({ service, fingerprint, depth }: QuarantineRecord, nowMs: number): boolean {
    const soundAt = soundAtMs.get(recordKey(service, fingerprint)) ?? -Infinity;
    return depth !== undefined && soundAt + soundMemoryMs > nowMs;
  }

  /** The first part of prompts, unless parts of the same requests have run well and it has not. */
  function isFirstPart(record: QuarantineRecord, nowMs: number): boolean {
    const isSetApart = () =>
      !isProven(record, nowMs) &&
      [...records.entries()].some(
        ([, other]) =>
          other.service === record.service &&
          isProven(other, nowMs) &&
          hasAllStrikesOf(other, record),
      );
    return record.depth === 0 && !isSetApart();
  }

  function isProven({ service, fingerprint, depth }: QuarantineRecord, nowMs: number): boolean {
    const soundAt = soundAtMs.get(recordKey(service, fingerprint)) ?? -Infinity;
    return depth !== undefined && soundAt + proofMemoryMs > nowMs;
  }

  function verdict(query: QuarantineQuery): QuarantineVerdict {
    const { service, fingerprint, policy, nowMs } = query;
    if (policy.block.includes(fingerprint)) {
      return { kind: 'blocked' };
    }
    const judgeOptions = {
      policy,
      nowMs,
      isWidespread: (record: QuarantineRecord) =>
        hasRunWell(record, nowMs) || isFirstPart(record, nowMs),
      isProven: (record: QuarantineRecord) => isProven(record, nowMs),
    };
    const record = recordOf(service, fingerprint);
    const alone = judgeRecord(record, judgeOptions);
    if (alone.kind !== 'quarantined') {
      return alone;
    }
    const { strikeCount } = alone;
    return judgeService(service, judgeOptions).get(fingerprint) ?? { kind: 'struck', strikeCount };
  }

  function judgeService(service: string, judgeOptions: JudgeOptions): JudgedTogether['verdicts'] {
    const { policy, nowMs } = judgeOptions;
    const isValid =
      judged?.service === service &&
      judged.policy === policy &&
      judged.changeCount === changeCount &&
      judged.atMs + judgedTogetherMs > nowMs;
    if (judged === undefined || !isValid) {
      const ofService = [...records.entries()]
        .map(([, record]) => record)
        .filter((record) => record.service === service);
      const verdicts = judgeTogether(ofService, judgeOptions);
      judged = { service, policy, changeCount, atMs: nowMs, verdicts };
    }
    return judged.verdicts;
  }

  function sweep(nowMs: number): void {
    [...records.entries()]
      .filter(([, record]) => lastStrikeAtMs(record.strikes) + lifetimeMs <= nowMs)
      .forEach(([key]) => records.delete(key));
    changeCount += 1;
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
    noteSoundPart(service, fingerprint, nowMs) {
      soundAtMs.set(recordKey(service, fingerprint), nowMs);
      return clear(service, fingerprint);
    },
    noteProvenPart(service, fingerprint, atMs) {
      const key = recordKey(service, fingerprint);
      soundAtMs.set(key, Math.max(atMs, soundAtMs.get(key) ?? -Infinity));
      changeCount += 1;
    },
    soundAtMs: (service, fingerprint) => soundAtMs.get(recordKey(service, fingerprint)),
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

/** Whether each crash that counts against a record has also struck the other one, cleared since or not. */
function hasAllStrikesOf(other: QuarantineRecord, record: QuarantineRecord): boolean {
  const struckIds = new Set(other.strikes.map(({ attemptId }) => attemptId));
  const counted = activeStrikes(record);
  return counted.length > 0 && counted.every(({ attemptId }) => struckIds.has(attemptId));
}

function clampToNow(record: QuarantineRecord, nowMs: number): QuarantineRecord {
  const strikes = record.strikes.map((strike) => ({
    ...strike,
    struckAtMs: Math.min(strike.struckAtMs, nowMs),
  }));
  return { ...record, strikes };
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
