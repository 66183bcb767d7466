/**
 * Reads and conditionally writes the object of a duty lease. Records when each write was sent, because
 * the validity of a lease counts from then, whichever of several unconfirmed writes was stored.
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
  /** Distinguishes runs that use the same holder id. */
  session: string;
  ttlMs: number;
  currentEra: () => number;
}

/** The last write of this session. */
export interface WrittenLease {
  fencingNumber: number;
  version: StorePosition;
}

export type DutyLeaseObject = ReturnType<typeof createDutyLeaseObject>;

/** Unconfirmed writes whose send times are kept; an older one that turns out to be stored counts as not ours. */
const maxUnconfirmedWrites = 16;
const maxReleaseTries = 3;

export function createDutyLeaseObject(options: DutyLeaseObjectOptions) {
  const { platform, key, holderId, session, ttlMs, currentEra } = options;
  /** Send times of the writes that may be the stored one, by sequence number. */
  const sentAtMs = new Map<number, number>();
  let sequence = 0;

  function read(): ResultAsync<StoredObject | undefined, PlatformError> {
    return platform
      .get(objectKinds.lease, key)
      .map((object): StoredObject | undefined => object)
      .orElse((error) => (error.kind === 'not-found' ? ok(undefined) : err(error)));
  }

  /** Writes the lease and returns what is stored afterwards: our own write or another's. */
  async function write(
    fencingNumber: number,
    version: StorePosition | undefined,
  ): Promise<Result<StoredObject, PlatformError>> {
    sequence += 1;
    const era = eraField(currentEra());
    const record: DutyLeaseRecord = { fencingNumber, ...era, holderId, session, sequence, ttlMs };
    recordSent(sequence);
    const written = await put(version, record);
    if (written.isOk()) {
      return ok(written.value);
    }
    return resolveStored(written.error, sequence);
  }

  function put(
    version: StorePosition | undefined,
    record: DutyLeaseRecord,
  ): ResultAsync<StoredObject, PlatformError> {
    return version === undefined
      ? platform.create(objectKinds.lease, key, record)
      : platform.update(objectKinds.lease, key, version, record);
  }

  /**
   * What is stored after a failed write. After a lost response, or a conflict without the current object,
   * the lease is read back; the stored session and sequence number show whose write it is.
   */
  async function resolveStored(
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

  function recordSent(sentSequence: number): void {
    sentAtMs.set(sentSequence, monotonicNowMs());
    const oldest = [...sentAtMs.keys()].slice(0, -maxUnconfirmedWrites);
    oldest.forEach((old) => sentAtMs.delete(old));
  }

  /**
   * Monotonic time at which the stored write was sent, or `undefined` if it is not ours. Earlier writes
   * were conditional on an older version and can no longer take effect.
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

  /** Releases the lease if this session still holds it; retries until the outcome is known. */
  async function release(lease: WrittenLease): Promise<Result<void, PlatformError>> {
    let { version } = lease;
    let failure: PlatformError = { kind: 'not-found' };
    for (let tryCount = 0; tryCount < maxReleaseTries; tryCount += 1) {
      sequence += 1;
      // The era in which the lease was held: if the current era is later, contenders must still wait for
      // holders of the lost records to expire.
      const era = eraField(eraOf(lease.version));
      const released = { fencingNumber: lease.fencingNumber, ...era, session, sequence, ttlMs };
      const written = await platform.update(objectKinds.lease, key, version, released);
      if (written.isOk()) {
        return ok(undefined);
      }
      failure = written.error;
      const current = await read();
      const ownVersion = current.map((object) => findOwnVersion(object, lease.fencingNumber));
      if (ownVersion.isOk() && ownVersion.value === undefined) {
        return ok(undefined);
      }
      version = ownVersion.unwrapOr(version) ?? version;
    }
    return err(failure);
  }

  /** Version of the stored lease if this process still holds it. */
  function findOwnVersion(
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
