/**
 * Lease of a duty that may have only one holder at a time, with a fencing number. All times are
 * monotonic and local: a holder counts the validity of its lease from before its write was sent, and a
 * contender counts it from when it first saw the unchanged version. So clocks of different
 * processes are never compared.
 *
 * A platform that was restored from a backup has lost writes, so there may be a holder that it does not
 * know of and that still acts. A lease whose record is from an earlier era is therefore taken only once
 * any such holder's lease must have expired, and the fencing numbers of an era start above all numbers
 * that an earlier era can have issued.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { eraOf, type StorePosition } from '@bluebellhitch/protocol';
import { delay, invariant, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { createDutyLeaseObject, type WrittenLease } from './dutyLeaseObject';
import { parseDutyLease, type DutyLeaseRecord } from './dutyLeaseRecord';
import type { ObjectApi, PlatformError, StoredObject } from './platformApi';

/** Fencing data of a held lease, sent with each order of the holder. */
export interface HeldFencing {
  fencingNumber: number;
  /** Remaining validity; the holder may act only while it is positive. */
  validForMs: number;
  /** Nobody held the duty before, so no order of an earlier holder can be in flight. */
  isFirst: boolean;
}

export type DutyLeaseError =
  { kind: 'held-by-other'; holderId: string } | { kind: 'platform'; error: PlatformError };

export interface DutyLeaseOptions {
  platform: ObjectApi;
  /** Name of the duty, such as `orders/draft-models`. */
  key: string;
  holderId: string;
  /** Time to live: a contender waits this long after the last renewal that it saw. */
  ttlMs?: number;
  /** How long before the end of the time to live the holder stops acting. */
  marginMs?: number;
  /** Interval between renewals by the holder; a failed renewal is retried sooner. */
  renewMs?: number;
  /** Interval between a contender's attempts; each reads the lease from the platform. */
  contendMs?: number;
  /** How many times the platform is known to have been restored from a backup; see `StorePosition`. */
  currentEra?: () => number;
  /** The system starts for the first time, so a lease that is not stored was never held. */
  isFirstStart?: boolean;
  onAcquired?(fencingNumber: number): void;
  /** Called once per acquisition, when the lease is released, taken over or not renewed in time. */
  onLost?(fencingNumber: number): void;
  random?: Random;
}

export interface DutyLease {
  /** Acquires the lease if it is free or has lapsed; renews it if this process holds it. */
  acquireOrRenew(): ResultAsync<HeldFencing, DutyLeaseError>;
  release(): ResultAsync<void, DutyLeaseError>;
  /** `undefined` once the lease is within `marginMs` of its expiry, also when a paused process resumes. */
  heldFencing(): HeldFencing | undefined;
  /** Acquires and renews the lease in the background until `stop` is called. */
  start(): void;
  /** Ends the background renewal and releases the lease. */
  stop(): Promise<void>;
}

const defaults = { ttlMs: 6000, marginMs: 1500, renewMs: 1500, contendMs: 3000 } as const;

/** Share of `renewMs` after which a failed renewal is retried. */
const retryIntervalShare = 0.25;
/** Above the number of times that any lease is acquired in one era. */
const fencingNumbersPerEra = 1_000_000;

interface HeldLease extends WrittenLease {
  validUntilMs: number;
  isFirst: boolean;
}

export function createDutyLease(options: DutyLeaseOptions): DutyLease {
  const { platform, key, holderId, ttlMs, marginMs, renewMs, contendMs } = {
    ...defaults,
    ...options,
  };
  const { random = Math.random, currentEra = () => 0, isFirstStart = false } = options;
  invariant(marginMs < ttlMs, 'the margin of a lease is shorter than the lease');
  const session = `${holderId}/${Math.floor(random() * 2 ** 48).toString(36)}`;
  const object = createDutyLeaseObject({ platform, key, holderId, session, ttlMs, currentEra });
  let held: HeldLease | undefined;
  let lapseTimer: NodeJS.Timeout | undefined;
  /** Last version seen that another holder wrote, and when this process first saw it. */
  let observed: { version: StorePosition; sinceMs: number } | undefined;
  /** The platform's era, and when this lease first saw it. */
  let observedEra = { era: 0, sinceMs: -Infinity };
  let lastCall: Promise<unknown> = Promise.resolve();
  let loop: { stop: AbortController; ended: Promise<void> } | undefined;

  function heldFencing(): HeldFencing | undefined {
    if (held !== undefined && eraOf(held.version) !== currentEra()) {
      drop();
    }
    const validForMs = (held?.validUntilMs ?? 0) - monotonicNowMs();
    return held !== undefined && validForMs > 0
      ? { fencingNumber: held.fencingNumber, validForMs, isFirst: held.isFirst }
      : undefined;
  }

  async function acquireOrRenew(): Promise<Result<HeldFencing, DutyLeaseError>> {
    dropLapsed();
    if (heldFencing() !== undefined && held !== undefined) {
      return renew(held);
    }
    const current = await object.read();
    noteEra();
    return current.isErr() ? err(platformError(current.error)) : acquire(current.value);
  }

  async function renew(lease: HeldLease): Promise<Result<HeldFencing, DutyLeaseError>> {
    const record = await object.write(lease.fencingNumber, lease.version);
    // The lease may have lapsed, and its loss been reported, before the response arrived. It must then be
    // acquired again with a higher number, so that a number reported as lost never becomes valid again.
    if (held?.fencingNumber !== lease.fencingNumber) {
      return err(lapsedError);
    }
    return record.mapErr(platformError).andThen((stored) => confirm(stored, lease));
  }

  async function acquire(
    current: StoredObject | undefined,
  ): Promise<Result<HeldFencing, DutyLeaseError>> {
    const record = parseDutyLease(current?.value);
    if (current !== undefined && record === undefined) {
      return err(
        platformError({ kind: 'rejected', detail: `the stored lease ${key} cannot be parsed` }),
      );
    }
    if (!isFree(current, record)) {
      return err({ kind: 'held-by-other', holderId: record?.holderId ?? 'unknown' });
    }
    const firstOfEra = currentEra() * fencingNumbersPerEra;
    const fencingNumber = Math.max(record?.fencingNumber ?? 0, firstOfEra) + 1;
    const written = await object.write(fencingNumber, current?.version);
    const isFirst = current === undefined && (currentEra() === 0 || isFirstStart);
    return written
      .mapErr(platformError)
      .andThen((stored) => confirm(stored, { fencingNumber, isFirst }));
  }

  function noteEra(): void {
    if (currentEra() !== observedEra.era) {
      observedEra = { era: currentEra(), sinceMs: monotonicNowMs() };
    }
  }

  /** Whether the leases of holders that a restored platform does not know of must have expired. */
  function haveEarlierLeasesExpired(record: DutyLeaseRecord | undefined): boolean {
    const isOfCurrentEra = record !== undefined && (record.era ?? 0) === observedEra.era;
    const wasNeverHeld = record === undefined && isFirstStart;
    const waitMs = Math.max(ttlMs, record?.ttlMs ?? 0);
    return isOfCurrentEra || wasNeverHeld || monotonicNowMs() - observedEra.sinceMs >= waitMs;
  }

  function isFree(current: StoredObject | undefined, record: DutyLeaseRecord | undefined): boolean {
    if (!haveEarlierLeasesExpired(record)) {
      return false;
    }
    return current === undefined || record === undefined || hasLapsed(current.version, record);
  }

  /** Whether the lease was released, is our own lapsed one, or was not renewed for its time to live. */
  function hasLapsed(version: StorePosition, record: DutyLeaseRecord): boolean {
    if (record.holderId === undefined || record.session === session) {
      return true;
    }
    const nowMs = monotonicNowMs();
    if (observed?.version !== version) {
      observed = { version, sinceMs: nowMs };
    }
    return nowMs - observed.sinceMs >= Math.max(ttlMs, record.ttlMs);
  }

  /** Holds the lease if `stored` is our own write, until the validity of that write ends. */
  function confirm(
    stored: StoredObject,
    { fencingNumber, isFirst }: Pick<HeldLease, 'fencingNumber' | 'isFirst'>,
  ): Result<HeldFencing, DutyLeaseError> {
    const record = parseDutyLease(stored.value);
    const sentAtMs = record === undefined ? undefined : object.sentAtOf(record);
    // A write in flight while the platform was restored may have hit an object that reached the expected
    // version a second time.
    const isOfEra = (record?.era ?? 0) === eraOf(stored.version);
    const isOurs = isOfEra && record?.fencingNumber === fencingNumber;
    if (record === undefined || sentAtMs === undefined || !isOurs) {
      drop();
      return err({ kind: 'held-by-other', holderId: record?.holderId ?? 'unknown' });
    }
    const validUntilMs = sentAtMs + ttlMs - marginMs;
    hold({ fencingNumber, validUntilMs, isFirst, version: stored.version });
    const fencing = heldFencing();
    return fencing === undefined ? err(lapsedError) : ok(fencing);
  }

  function hold(lease: HeldLease): void {
    const isNew = held === undefined;
    if (lease.validUntilMs <= monotonicNowMs()) {
      drop();
      return;
    }
    held = lease;
    clearTimeout(lapseTimer);
    lapseTimer = setTimeout(dropLapsed, lease.validUntilMs - monotonicNowMs());
    lapseTimer.unref();
    if (isNew) {
      options.onAcquired?.(lease.fencingNumber);
    }
  }

  function dropLapsed(): void {
    if (held !== undefined && held.validUntilMs <= monotonicNowMs()) {
      drop();
    }
  }

  function drop(): void {
    const lost = held;
    held = undefined;
    clearTimeout(lapseTimer);
    if (lost !== undefined) {
      options.onLost?.(lost.fencingNumber);
    }
  }

  /** Drops the lease first: regardless of the response of the platform, this process no longer holds it. */
  async function release(): Promise<Result<void, DutyLeaseError>> {
    const lease = held;
    drop();
    if (lease === undefined) {
      return ok(undefined);
    }
    return (await object.release(lease)).mapErr(platformError);
  }

  /** Runs platform calls one after another, so that each starts from the outcome of the previous one. */
  function runSerially<Value>(
    work: () => Promise<Result<Value, DutyLeaseError>>,
  ): ResultAsync<Value, DutyLeaseError> {
    const result = lastCall.then(work);
    lastCall = result.catch(() => undefined);
    return new ResultAsync(result);
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const result = await runSerially(acquireOrRenew);
      await delay(intervalAfter(result) * (0.8 + 0.4 * random()), signal);
    }
  }

  function intervalAfter(result: Result<HeldFencing, DutyLeaseError>): number {
    if (result.isOk()) {
      return renewMs;
    }
    return held === undefined ? contendMs : renewMs * retryIntervalShare;
  }

  function start(): void {
    if (loop === undefined) {
      const stopping = new AbortController();
      loop = { stop: stopping, ended: run(stopping.signal) };
    }
  }

  async function stop(): Promise<void> {
    const running = loop;
    loop = undefined;
    running?.stop.abort();
    await running?.ended;
    await runSerially(release);
  }

  return {
    acquireOrRenew: () => runSerially(acquireOrRenew),
    release: () => runSerially(release),
    heldFencing,
    start,
    stop,
  };
}

const lapsedError: DutyLeaseError = {
  kind: 'platform',
  error: { kind: 'unavailable', detail: 'the lease expired before the response arrived' },
};

function platformError(error: PlatformError): DutyLeaseError {
  return { kind: 'platform', error };
}
