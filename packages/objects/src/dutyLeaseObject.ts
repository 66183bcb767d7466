/**
 * Reads and conditional writes of a duty lease's object. Remembers when each write was sent, because a
 * lease is valid from then on, whichever of several unanswered writes turns out to be the stored one.
 */
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import { eraOf, type StorePosition } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { parseDutyLease, type DutyLeaseRecord } from './dutyLeaseRecord';
import { objectKinds, type ObjectApi, type PlatformError, type StoredObject } from './platformApi';

export interface DutyLeaseObjectOptions {
  platform: ObjectApi;
  key: string;
  holderId: string;
  /** Differs between two runs that use one holder id. */
  session: string;
  ttlMs: number;
  currentEra: () => number;
}

/** What this session wrote last. */
export interface WrittenLease {
  fencingNumber: number;
  version: StorePosition;
}

export type DutyLeaseObject = ReturnType<typeof createDutyLeaseObject>;

/** Writes remembered while their answers are lost; an older one found stored counts as not ours. */
const unconfirmedLimit = 16;
const releaseTries = 3;

export function createDutyLeaseObject(options: DutyLeaseObjectOptions) {
  const { platform, key, holderId, session, ttlMs, currentEra } = options;
  /** When each write was sent that may be the stored one, by its sequence number. */
  const sentAtMs = new Map<number, number>();
  let sequence = 0;

  function read(): ResultAsync<StoredObject | undefined, PlatformError> {
    return platform
      .get(objectKinds.lease, key)
      .map((object): StoredObject | undefined => object)
      .orElse((error) => (error.kind === 'not-found' ? ok(undefined) : err(error)));
  }

  /** Writes the lease and answers what is stored afterwards, our own write or another's. */
  async function write(
    fencingNumber: number,
    version: StorePosition | undefined,
  ): Promise<Result<StoredObject, PlatformError>> {
    sequence += 1;
    const era = eraField(currentEra());
    const record: DutyLeaseRecord = { fencingNumber, ...era, holderId, session, sequence, ttlMs };
    rememberSent(sequence);
    const answer = await put(version, record);
    if (answer.isOk()) {
      return ok(answer.value);
    }
    return storedAfter(answer.error, sequence);
  }

  function put(
    version: StorePosition | undefined,
    record: DutyLeaseRecord,
  ): ResultAsync<StoredObject, PlatformError> {
    return version === undefined
      ? platform.create(objectKinds.lease, key, record)
      : platform.update(objectKinds.lease, key, version, record);
  }

  /** A lost answer is settled by reading back; the stored sequence number tells whose write it is. */
  async function storedAfter(
    error: PlatformError,
    failedSequence: number,
  ): Promise<Result<StoredObject, PlatformError>> {
    if (error.kind !== 'unknown-outcome') {
      sentAtMs.delete(failedSequence);
    }
    if (error.kind === 'conflict' && error.current !== undefined) {
      return ok(error.current);
    }
    if (error.kind !== 'conflict' && error.kind !== 'unknown-outcome') {
      return err(error);
    }
    const current = await read();
    return current.andThen((object) => (object === undefined ? err(error) : ok(object)));
  }

  function rememberSent(sentSequence: number): void {
    sentAtMs.set(sentSequence, monotonicNowMs());
    const oldest = [...sentAtMs.keys()].slice(0, -unconfirmedLimit);
    oldest.forEach((old) => sentAtMs.delete(old));
  }

  /**
   * Monotonic time at which the stored write was sent, `undefined` where it is not ours. Writes before
   * it had an older version as their condition and cannot take effect any more.
   */
  function sentAtOf(stored: DutyLeaseRecord): number | undefined {
    if (stored.session !== session) {
      return undefined;
    }
    [...sentAtMs.keys()]
      .filter((earlier) => earlier < stored.sequence)
      .forEach((earlier) => sentAtMs.delete(earlier));
    return sentAtMs.get(stored.sequence);
  }

  /** Frees the lease where this session still holds it, until the outcome is known. */
  async function release(lease: WrittenLease): Promise<Result<void, PlatformError>> {
    let { version } = lease;
    let failure: PlatformError = { kind: 'not-found' };
    for (let tryCount = 0; tryCount < releaseTries; tryCount += 1) {
      sequence += 1;
      // Of the era in which it was held: in a later one others may have held it since, and are waited for.
      const era = eraField(eraOf(lease.version));
      const free = { fencingNumber: lease.fencingNumber, ...era, session, sequence, ttlMs };
      const written = await platform.update(objectKinds.lease, key, version, free);
      if (written.isOk()) {
        return ok(undefined);
      }
      failure = written.error;
      const current = await read();
      const ownVersion = current.map((object) => versionHeldUnder(object, lease.fencingNumber));
      if (ownVersion.isOk() && ownVersion.value === undefined) {
        return ok(undefined);
      }
      version = ownVersion.unwrapOr(version) ?? version;
    }
    return err(failure);
  }

  /** Version of the stored lease where this process is still its holder. */
  function versionHeldUnder(
    object: StoredObject | undefined,
    fencingNumber: number,
  ): StorePosition | undefined {
    const record = parseDutyLease(object?.value);
    const isOwn = record?.session === session && record.holderId !== undefined;
    return isOwn && record.fencingNumber === fencingNumber ? object?.version : undefined;
  }

  return { read, write, sentAtOf, release };
}

function eraField(era: number): Pick<DutyLeaseRecord, 'era'> {
  return era === 0 ? {} : { era };
}
