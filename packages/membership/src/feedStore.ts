/**
 * The versioned records that a process has received. The highest generation of a record wins, regardless of the
 * order in which copies arrive, so that a slow relay cannot revert a configuration.
 */
import type { FeedKind, FeedRecord } from '@bluebellhitch/protocol';
import { invariant } from '@bluebellhitch/shared';

export interface FeedStoreOptions {
  /** Old tombstones of quarantines are evicted first, then old quarantines; accepted documents never are. */
  maxRecords?: number;
  /** Distinguishes the cursors of this run from those of other processes and earlier runs. */
  incarnation?: string;
}

export interface FeedDelta {
  cursor: string;
  /** Whether `records` has all records rather than only those newer than the cursor. */
  snapshot: boolean;
  records: FeedRecord[];
}

export interface AppliedRecords {
  applied: FeedRecord[];
  /** Copies that were not newer than the known record. */
  staleCount: number;
  /** New records that exceeded the limit. */
  refusedCount: number;
}

export interface FeedStore {
  apply(records: readonly FeedRecord[]): AppliedRecords;
  /** Also returns tombstones, whose `removed` is true. */
  get(kind: FeedKind, key: string): FeedRecord | undefined;
  /** Records without tombstones. */
  list(kind: FeedKind): FeedRecord[];
  since(cursor?: string): FeedDelta;
  /** Calls `listener` with each batch of applied records, until the returned function is called. */
  subscribe(listener: (applied: readonly FeedRecord[]) => void): () => void;
  size(): number;
}

interface StoredRecord {
  record: FeedRecord;
  /** Position in this process's log; a newer copy gets a new one. */
  sequence: number;
}

interface LogEntry {
  id: string;
  sequence: number;
}

const defaultMaxRecords = 20_000;
/** Superseded log entries that are tolerated, beside one per record, before the log is compacted. */
const logSlack = 64;

export function createFeedStore(options: FeedStoreOptions = {}): FeedStore {
  const { maxRecords = defaultMaxRecords, incarnation = Math.random().toString(36).slice(2) } =
    options;
  const stored = new Map<string, StoredRecord>();
  const listeners = new Set<(applied: readonly FeedRecord[]) => void>();
  let log: LogEntry[] = [];
  let lastSequence = 0;

  function apply(records: readonly FeedRecord[]): AppliedRecords {
    const newer = records.filter(isNewer);
    const applied = newer.filter(put);
    if (applied.length > 0) {
      [...listeners].forEach((listener) => listener(applied));
    }
    return {
      applied,
      staleCount: records.length - newer.length,
      refusedCount: newer.length - applied.length,
    };
  }

  function isNewer(record: FeedRecord): boolean {
    const known = stored.get(recordId(record))?.record;
    return known === undefined || compareRecency(record, known) > 0;
  }

  function put(record: FeedRecord): boolean {
    const id = recordId(record);
    const known = stored.get(id)?.record;
    // One batch may contain several copies of a record.
    if (known !== undefined && compareRecency(record, known) <= 0) {
      return false;
    }
    if (known === undefined && stored.size >= maxRecords && !evictOne()) {
      return false;
    }
    invariant(
      known === undefined || record.generation >= known.generation,
      `the generation of ${id} never decreases`,
    );
    lastSequence += 1;
    stored.set(id, { record, sequence: lastSequence });
    log.push({ id, sequence: lastSequence });
    trimLog();
    return true;
  }

  /**
   * Makes room for a record. A stale copy could bring an evicted record back. For a quarantine that only means a few
   * more refusals; an accepted document would revert to an old generation, so it is never evicted.
   */
  function evictOne(): boolean {
    const evictable = [...stored].filter(([, { record }]) => record.kind === 'quarantine');
    const victim = evictable.find(([, { record }]) => record.removed) ?? evictable[0];
    return victim !== undefined && stored.delete(victim[0]);
  }

  function trimLog(): void {
    if (log.length > 2 * stored.size + logSlack) {
      log = log.filter(isCurrent);
    }
  }

  function isCurrent(entry: LogEntry): boolean {
    return stored.get(entry.id)?.sequence === entry.sequence;
  }

  function since(cursor?: string): FeedDelta {
    const [cursorIncarnation, position] = (cursor ?? '').split(':');
    const from = cursorIncarnation === incarnation ? Number(position) : Number.NaN;
    const isKnown = Number.isInteger(from) && from <= lastSequence;
    const entries = isKnown ? log.slice(firstAfter(from)) : log;
    const records = entries.filter(isCurrent).flatMap(({ id }) => stored.get(id)?.record ?? []);
    return { cursor: `${incarnation}:${lastSequence}`, snapshot: !isKnown, records };
  }

  /** Index of the first log entry after `sequence`; a binary search, as a delta must not scan the whole log. */
  function firstAfter(sequence: number): number {
    let low = 0;
    let high = log.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((log[middle]?.sequence ?? 0) <= sequence) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  return {
    apply,
    get: (kind, key) => stored.get(recordId({ kind, key }))?.record,
    list: (kind) =>
      [...stored.values()]
        .map(({ record }) => record)
        .filter((record) => record.kind === kind && !record.removed),
    since,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    size: () => stored.size,
  };
}

function recordId({ kind, key }: Pick<FeedRecord, 'kind' | 'key'>): string {
  return `${kind}\u0000${key}`;
}

/** Positive if `left` is newer. A removal is newer than the content of the same generation. */
function compareRecency(left: FeedRecord, right: FeedRecord): number {
  return left.generation - right.generation || Number(left.removed) - Number(right.removed);
}
