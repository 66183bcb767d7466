/**
 * Judges the entries that backend servers write into the store. A write whose response was lost may be executed seconds
 * later, so the entry that arrives last need not be the one that its server wrote last. What is final for an incarnation
 * (that it leaves) is not revoked by any entry, and an incarnation whose entry was removed must show that it still runs:
 * its entry may have expired because the server was cut off from the store, or have been removed as it left.
 */

/** What is known of an incarnation from its earlier entries. */
export type KnownEntry =
  /** No entry of it has been received. */
  | { state: 'unknown' }
  /** `number` is the highest known. */
  | { state: 'listed' | 'removed'; number?: number };

export interface ReceivedEntry {
  /** Increased by the server with each write; undefined if it does not number its entries. */
  number?: number;
  /** Part of a list, rather than a single change. */
  isListed: boolean;
}

export type EntryVerdict =
  /** Nothing speaks against it. */
  | 'current'
  /** Written before an entry that is already known. */
  | 'late'
  /** The incarnation may have left: it gets no requests until `isReturnConfirmed`. */
  | 'unconfirmed';

/** What has been learned of an incarnation since its entry returned. */
export interface ReturnEvidence {
  /** Highest number of an entry known before the return. */
  knownNumber?: number;
  /** Number of the entry with which it returned. */
  returnedNumber?: number;
  /** Highest number of an entry seen since. */
  latestNumber?: number;
  /** The server's last response to a health check; undefined before the first. */
  isHealthy?: boolean;
}

/** Entries of one incarnation that were not applied, as a known entry seemed to be newer. */
export interface IgnoredEntries {
  /** Numbers of the first and the latest of them. */
  firstNumber?: number;
  latestNumber?: number;
  /** Time since the first. */
  forMs: number;
}

/** A server numbers its entries from 1. */
const firstEntryNumber = 1;
/**
 * A server that reports bad health counts as running after this many further writes: its health check may be wrong, and
 * writes of a server that has left do not go on for that long.
 */
const confirmingWrites = 5;
/** They take longer than a heartbeat: a later incarnation that is in service has written its own entry by then. */
const lastingWrites = 2;
/** The same for entries without numbers: longer than an entry lasts that is not written again. */
const lastingMs = 10_000;

export function judgeEntry(entry: ReceivedEntry, known: KnownEntry): EntryVerdict {
  switch (known.state) {
    case 'unknown':
      // A server that starts is seen from its first entry on; a list contains servers that started long ago.
      return entry.isListed || (entry.number ?? firstEntryNumber) <= firstEntryNumber
        ? 'current'
        : 'unconfirmed';
    case 'listed':
      return isLower(entry.number, known.number) ? 'late' : 'current';
    case 'removed':
      return 'unconfirmed';
  }
}

/**
 * Whether an incarnation whose entry returned is in service. Health alone is not enough for an entry that is not newer
 * than those known before, as health checks may be wrong; entries without numbers have nothing else.
 */
export function isReturnConfirmed(evidence: ReturnEvidence): boolean {
  const { knownNumber, returnedNumber, latestNumber = returnedNumber, isHealthy } = evidence;
  if (latestNumber === undefined) {
    return isHealthy === true;
  }
  if (isHealthy === true && latestNumber > (knownNumber ?? -Infinity)) {
    return true;
  }
  const base = Math.max(knownNumber ?? -Infinity, returnedNumber ?? -Infinity);
  return latestNumber - base >= confirmingWrites;
}

/**
 * Whether an incarnation goes on writing entries that were ignored, and no other entry of its name comes in between. The one
 * that seemed to be newer then is not: a write that is executed late is followed by those of the server in service.
 */
export function areIgnoredEntriesLasting(ignored: IgnoredEntries): boolean {
  const { firstNumber, latestNumber, forMs } = ignored;
  return firstNumber === undefined || latestNumber === undefined
    ? forMs >= lastingMs
    : latestNumber - firstNumber >= lastingWrites;
}

function isLower(number: number | undefined, knownNumber: number | undefined): boolean {
  return number !== undefined && knownNumber !== undefined && number < knownNumber;
}
