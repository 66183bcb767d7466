/**
 * Leases of one backend server's memory and slots. Only this table grants that memory: it never grants
 * more than the capacity, counts memory as held until its release is confirmed, and ends each lease
 * exactly once. Times are monotonic milliseconds passed by the caller.
 */
import { invariant } from '@bluebellhitch/shared';
import {
  leaseStates,
  type Lease,
  type LeaseCapacity,
  type LeaseOwner,
  type LeaseTotals,
  type ReserveInput,
  type ReserveOutcome,
  type RunningState,
} from './lease';
import { timeUntilReleased } from './leaseForecast';

export interface LeaseTableOptions {
  capacity: LeaseCapacity;
  /** A lease lapses after this long without a heartbeat. */
  lapseAfterMs?: number;
  /** A longer gap between two checks means that this process itself was paused. */
  pauseToleranceMs?: number;
}

export interface LeaseTable {
  reserve(input: ReserveInput, nowMs: number): ReserveOutcome;
  /** Adds a lease for memory that the engine holds for an attempt unknown to the table. */
  adopt(attemptId: string, heldKvBytes: number, nowMs: number): void;
  /** Predicted time until this much is free besides all grants; undefined if the forecast does not reach so far. */
  usableInMs(demand: LeaseCapacity, nowMs: number): number | undefined;
  /** Moves a lease that holds memory to the next state; false if it has ended, is releasing or is only promised. */
  advance(attemptId: string, state: RunningState, expectedReleaseAtMs: number): boolean;
  expectRelease(attemptId: string, expectedReleaseAtMs: number): void;
  bindToConnection(attemptId: string): void;
  renew(owner: LeaseOwner, nowMs: number): number;
  /** Leases whose entry sends no heartbeats any more; the caller is to release them. */
  lapsed(nowMs: number): Readonly<Lease>[];
  /** Marks a lease as releasing; false if it already was or has ended. */
  startRelease(attemptId: string): boolean;
  /** Ends a lease whose memory is free; false if it has already ended. */
  end(attemptId: string): boolean;
  /** Gives promised leases their memory, oldest first, while it fits; returns these leases. */
  holdPromised(): Readonly<Lease>[];
  setCapacity(capacity: LeaseCapacity): void;
  get(attemptId: string): Readonly<Lease> | undefined;
  leases(): Readonly<Lease>[];
  totals(): LeaseTotals;
}

const defaultLapseAfterMs = 1500;
const defaultPauseToleranceMs = 500;

export function createLeaseTable(options: LeaseTableOptions): LeaseTable {
  const { lapseAfterMs = defaultLapseAfterMs, pauseToleranceMs = defaultPauseToleranceMs } =
    options;
  const leases = new Map<string, Lease>();
  let { capacity } = options;
  let held = { kvBytes: 0, slots: 0 };
  let grantedCount = 0;
  let endedCount = 0;
  let checkedAtMs: number | undefined;

  function add(lease: Lease): void {
    invariant(!leases.has(lease.attemptId), `attempt already has a lease: ${lease.attemptId}`);
    leases.set(lease.attemptId, lease);
    grantedCount += 1;
  }

  function updateHeld(lease: Lease, kvBytes: number, slots: number): void {
    held = {
      kvBytes: held.kvBytes + kvBytes - lease.heldKvBytes,
      slots: held.slots + slots - lease.heldSlots,
    };
    lease.heldKvBytes = kvBytes;
    lease.heldSlots = slots;
  }

  function hold(lease: Lease): void {
    updateHeld(lease, lease.kvBytes, 1);
    lease.state = leaseStates.reserved;
    invariant(held.kvBytes <= capacity.kvBytes, 'held memory exceeds the capacity');
    invariant(held.slots <= capacity.slots, 'held slots exceed the capacity');
  }

  function promised(): Lease[] {
    return [...leases.values()].filter(({ state }) => state === leaseStates.promised);
  }

  function fits(kvBytes: number): boolean {
    return held.kvBytes + kvBytes <= capacity.kvBytes && held.slots + 1 <= capacity.slots;
  }

  function usableInMs(demand: LeaseCapacity, nowMs: number): number | undefined {
    if (demand.kvBytes > capacity.kvBytes || demand.slots > capacity.slots) {
      return undefined;
    }
    const promisedLeases = promised();
    const promisedKvBytes = sum(promisedLeases, (lease) => lease.kvBytes);
    const missing = {
      kvBytes: held.kvBytes + promisedKvBytes + demand.kvBytes - capacity.kvBytes,
      slots: held.slots + promisedLeases.length + demand.slots - capacity.slots,
    };
    return timeUntilReleased([...leases.values()], missing, nowMs);
  }

  function reserve(input: ReserveInput, nowMs: number): ReserveOutcome {
    if (input.kvBytes > capacity.kvBytes || capacity.slots < 1) {
      return { kind: 'never' };
    }
    const predictedMs = usableInMs({ kvBytes: input.kvBytes, slots: 1 }, nowMs) ?? Infinity;
    if (predictedMs > 0 && predictedMs > input.neededInMs) {
      return { kind: 'wait', usableInMs: predictedMs };
    }
    const lease = promise(input, predictedMs, nowMs);
    add(lease);
    if (predictedMs === 0) {
      hold(lease);
    }
    return { kind: 'granted', lease, usableInMs: predictedMs };
  }

  function adopt(attemptId: string, heldKvBytes: number, nowMs: number): void {
    const lease: Lease = {
      attemptId,
      purpose: 'decode',
      state: leaseStates.releasing,
      kvBytes: heldKvBytes,
      heldKvBytes: 0,
      heldSlots: 0,
      grantedAtMs: nowMs,
      renewedAtMs: nowMs,
      expectedReleaseAtMs: nowMs,
      connectionBound: true,
    };
    add(lease);
    updateHeld(lease, heldKvBytes, 1);
  }

  function advance(attemptId: string, state: RunningState, expectedReleaseAtMs: number): boolean {
    const lease = leases.get(attemptId);
    if (!lease || lease.state === leaseStates.promised || lease.state === leaseStates.releasing) {
      return false;
    }
    lease.state = state;
    lease.expectedReleaseAtMs = expectedReleaseAtMs;
    if (state === leaseStates.exported) {
      updateHeld(lease, lease.heldKvBytes, 0);
    }
    return true;
  }

  function renew(owner: LeaseOwner, nowMs: number): number {
    const owned = [...leases.values()].filter((lease) => isOwner(lease, owner));
    owned.forEach((lease) => {
      lease.renewedAtMs = nowMs;
    });
    return owned.length;
  }

  /**
   * While this process was paused, heartbeats of live entries stayed unread, so every lease would look
   * lapsed at the first check afterwards. Extends the leases by the length of the pause.
   */
  function compensateForPause(nowMs: number): void {
    const pausedMs = nowMs - (checkedAtMs ?? nowMs);
    checkedAtMs = nowMs;
    if (pausedMs > pauseToleranceMs) {
      leases.forEach((lease) => {
        lease.renewedAtMs = Math.min(lease.renewedAtMs + pausedMs, nowMs);
      });
    }
  }

  function lapsed(nowMs: number): Lease[] {
    compensateForPause(nowMs);
    return [...leases.values()].filter(
      (lease) =>
        lease.state !== leaseStates.releasing &&
        !lease.connectionBound &&
        nowMs - lease.renewedAtMs >= lapseAfterMs,
    );
  }

  function startRelease(attemptId: string): boolean {
    const lease = leases.get(attemptId);
    if (!lease || lease.state === leaseStates.releasing) {
      return false;
    }
    lease.state = leaseStates.releasing;
    return true;
  }

  function end(attemptId: string): boolean {
    const lease = leases.get(attemptId);
    if (!lease) {
      return false;
    }
    updateHeld(lease, 0, 0);
    leases.delete(attemptId);
    endedCount += 1;
    checkInvariants();
    return true;
  }

  function checkInvariants(): void {
    const live = [...leases.values()];
    invariant(
      endedCount + live.length === grantedCount,
      'granted leases must equal live plus ended leases',
    );
    invariant(
      held.kvBytes === sum(live, (lease) => lease.heldKvBytes),
      'held bytes differ from the sum over live leases',
    );
    invariant(
      held.slots === sum(live, (lease) => lease.heldSlots),
      'held slots differ from the sum over live leases',
    );
  }

  function holdPromised(): Lease[] {
    const granted: Lease[] = [];
    for (const lease of promised()) {
      if (!fits(lease.kvBytes)) {
        return granted;
      }
      hold(lease);
      granted.push(lease);
    }
    return granted;
  }

  function totals(): LeaseTotals {
    const promisedLeases = promised();
    return {
      capacity,
      heldKvBytes: held.kvBytes,
      heldSlots: held.slots,
      promisedKvBytes: sum(promisedLeases, (lease) => lease.kvBytes),
      promisedSlots: promisedLeases.length,
      grantedCount,
      endedCount,
    };
  }

  return {
    reserve,
    adopt,
    usableInMs,
    advance,
    renew,
    lapsed,
    startRelease,
    end,
    holdPromised,
    totals,
    get: (attemptId) => leases.get(attemptId),
    leases: () => [...leases.values()],
    setCapacity: (next) => {
      capacity = next;
    },
    expectRelease: (attemptId, expectedReleaseAtMs) => {
      const lease = leases.get(attemptId);
      if (lease) {
        lease.expectedReleaseAtMs = expectedReleaseAtMs;
      }
    },
    bindToConnection: (attemptId) => {
      const lease = leases.get(attemptId);
      if (lease) {
        lease.connectionBound = true;
      }
    },
  };
}

function promise(input: ReserveInput, usableInMs: number, nowMs: number): Lease {
  const startsInMs = Math.max(usableInMs, input.neededInMs);
  return {
    attemptId: input.attemptId,
    owner: input.owner,
    purpose: input.purpose,
    state: leaseStates.promised,
    kvBytes: input.kvBytes,
    heldKvBytes: 0,
    heldSlots: 0,
    grantedAtMs: nowMs,
    renewedAtMs: nowMs,
    expectedReleaseAtMs: nowMs + startsInMs + input.expectedHoldMs,
    connectionBound: false,
  };
}

function isOwner(lease: Lease, owner: LeaseOwner): boolean {
  return (
    lease.owner?.entryId === owner.entryId &&
    lease.owner.entryIncarnation === owner.entryIncarnation
  );
}

function sum<Item>(items: readonly Item[], valueOf: (item: Item) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
