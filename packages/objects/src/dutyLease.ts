/**
 * Lease of a duty that needs one holder at a time, with a fencing number. All times are monotonic and
 * local: a holder counts its validity from before its write was sent, and a contender counts the
 * other's from when it first saw the unchanged version. So no two clocks are ever compared.
 *
 * A platform that comes back from an older copy has lost writes: a later holder may be unknown to it and still act. So
 * nobody takes a lease whose record is of an earlier era before the time of any such holder is over, and fencing numbers of
 * an era begin above all that an earlier one can have given.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { eraOf, type StorePosition } from '@bluebellhitch/protocol';
import { delay, invariant, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { createDutyLeaseObject, type WrittenLease } from './dutyLeaseObject';
import { parseDutyLease, type DutyLeaseRecord } from './dutyLeaseRecord';
import type { ObjectApi, PlatformError, StoredObject } from './platformApi';

/** Proof of holding a duty: goes with each order that the holder sends. */
export interface HeldFencing {
  fencingNumber: number;
  /** Remaining validity; the holder acts only while it is positive. */
  validForMs: number;
  /** Nobody held the duty before: no order of another can be on its way. */
  isFirst: boolean;
}

export type DutyLeaseError =
  { kind: 'held-by-other'; holderId: string } | { kind: 'platform'; error: PlatformError };

export interface DutyLeaseOptions {
  platform: ObjectApi;
  /** Name of the duty, such as `orders/draft-models`. */
  key: string;
  holderId: string;
  /** A contender waits this long after the last renewal that it saw. */
  ttlMs?: number;
  /** The holder stops this much earlier. */
  marginMs?: number;
  /** Pause between the holder's renewals; a failed one is repeated sooner. */
  renewMs?: number;
  /** Pause between a contender's looks; each is a read of the platform. */
  contendMs?: number;
  /** How often the platform came back from an older copy, as far as is known; see `StorePosition`. */
  currentEra?: () => number;
  /** The system starts for the first time: a lease that is not there was nobody's. */
  isFirstStart?: boolean;
  onAcquired?(fencingNumber: number): void;
  /** Called once for each acquisition, when it is released, taken over or not renewed in time. */
  onLost?(fencingNumber: number): void;
  random?: Random;
}

export interface DutyLease {
  /** Acquires the lease where it is free or has lapsed, renews it where it is held. */
  acquireOrRenew(): ResultAsync<HeldFencing, DutyLeaseError>;
  release(): ResultAsync<void, DutyLeaseError>;
  /** `undefined` from the expiry less the margin on, also when a paused process resumes. */
  heldFencing(): HeldFencing | undefined;
  /** Acquires and renews until `stop`. */
  start(): void;
  /** Stops and releases. */
  stop(): Promise<void>;
}

const defaults = { ttlMs: 6000, marginMs: 1500, renewMs: 1500, contendMs: 3000 } as const;

const retryShare = 0.25;
/** More than a lease is acquired in any era. */
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
  /** The version that another holder wrote last, and since when this process has seen it. */
  let seen: { version: StorePosition; sinceMs: number } | undefined;
  /** The platform's era, and since when this process has seen it here. */
  let seenEra = { era: 0, sinceMs: -Infinity };
  let lastWork: Promise<unknown> = Promise.resolve();
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
    // The lease may have lapsed, and its loss been reported, while the answer was on its way. It is
    // acquired again with a higher number then, so that the old one never comes back to life.
    if (held?.fencingNumber !== lease.fencingNumber) {
      return err(lapsed);
    }
    return record.mapErr(platformError).andThen((stored) => confirm(stored, lease));
  }

  async function acquire(
    current: StoredObject | undefined,
  ): Promise<Result<HeldFencing, DutyLeaseError>> {
    const record = parseDutyLease(current?.value);
    if (current !== undefined && record === undefined) {
      return err(platformError({ kind: 'rejected', detail: `unreadable lease ${key}` }));
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
    if (currentEra() !== seenEra.era) {
      seenEra = { era: currentEra(), sinceMs: monotonicNowMs() };
    }
  }

  /** Whether holders that an older copy of the platform does not know have lapsed by now. */
  function isEraOver(record: DutyLeaseRecord | undefined): boolean {
    const isOfThisEra = record !== undefined && (record.era ?? 0) === seenEra.era;
    const wasNobodys = record === undefined && isFirstStart;
    const waitMs = Math.max(ttlMs, record?.ttlMs ?? 0);
    return isOfThisEra || wasNobodys || monotonicNowMs() - seenEra.sinceMs >= waitMs;
  }

  function isFree(current: StoredObject | undefined, record: DutyLeaseRecord | undefined): boolean {
    if (!isEraOver(record)) {
      return false;
    }
    return current === undefined || record === undefined || hasLapsed(current.version, record);
  }

  /** Whether the lease is released, our own lapsed one, or unchanged for its whole time to live. */
  function hasLapsed(version: StorePosition, record: DutyLeaseRecord): boolean {
    if (record.holderId === undefined || record.session === session) {
      return true;
    }
    const nowMs = monotonicNowMs();
    if (seen?.version !== version) {
      seen = { version, sinceMs: nowMs };
    }
    return nowMs - seen.sinceMs >= Math.max(ttlMs, record.ttlMs);
  }

  /** Holds the lease where `stored` is our own write, for as long as that write allows. */
  function confirm(
    stored: StoredObject,
    { fencingNumber, isFirst }: Pick<HeldLease, 'fencingNumber' | 'isFirst'>,
  ): Result<HeldFencing, DutyLeaseError> {
    const record = parseDutyLease(stored.value);
    const sent = record === undefined ? undefined : object.sentAtOf(record);
    // A write that crossed the platform's return may have hit an object that got its condition's version anew.
    const isOfEra = (record?.era ?? 0) === eraOf(stored.version);
    const isOurs = isOfEra && record?.fencingNumber === fencingNumber;
    if (record === undefined || sent === undefined || !isOurs) {
      drop();
      return err({ kind: 'held-by-other', holderId: record?.holderId ?? 'unknown' });
    }
    const validUntilMs = sent + ttlMs - marginMs;
    hold({ fencingNumber, validUntilMs, isFirst, version: stored.version });
    const fencing = heldFencing();
    return fencing === undefined ? err(lapsed) : ok(fencing);
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

  /** Stops acting first: whatever the platform answers, this process holds the lease no longer. */
  async function release(): Promise<Result<void, DutyLeaseError>> {
    const lease = held;
    drop();
    if (lease === undefined) {
      return ok(undefined);
    }
    return (await object.release(lease)).mapErr(platformError);
  }

  /** Calls of the platform never overlap, so that each starts from the outcome of the one before. */
  function inTurn<Value>(
    work: () => Promise<Result<Value, DutyLeaseError>>,
  ): ResultAsync<Value, DutyLeaseError> {
    const result = lastWork.then(work);
    lastWork = result.catch(() => undefined);
    return new ResultAsync(result);
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const answer = await inTurn(acquireOrRenew);
      await delay(pauseAfter(answer) * (0.8 + 0.4 * random()), signal);
    }
  }

  function pauseAfter(answer: Result<HeldFencing, DutyLeaseError>): number {
    if (answer.isOk()) {
      return renewMs;
    }
    return held === undefined ? contendMs : renewMs * retryShare;
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
    await inTurn(release);
  }

  return {
    acquireOrRenew: () => inTurn(acquireOrRenew),
    release: () => inTurn(release),
    heldFencing,
    start,
    stop,
  };
}

const lapsed: DutyLeaseError = {
  kind: 'platform',
  error: { kind: 'unavailable', detail: 'the lease lapsed before the answer came' },
};

function platformError(error: PlatformError): DutyLeaseError {
  return { kind: 'platform', error };
}
