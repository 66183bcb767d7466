/** Types of the leases of one backend server's memory and slots. Times are monotonic milliseconds. */

export const leaseStates = {
  /** Granted against memory that is predicted to be free in time; holds nothing yet. */
  promised: 'promised',
  /** Holds memory; nothing runs yet. */
  reserved: 'reserved',
  prefill: 'prefill',
  /** A finished prefill, kept until the decode worker has fetched it. Uses no slot. */
  exported: 'exported',
  importing: 'importing',
  streaming: 'streaming',
  /** Being released: its memory counts as held until the engine confirms that it is free. */
  releasing: 'releasing',
} as const;
export type LeaseState = (typeof leaseStates)[keyof typeof leaseStates];

export type LeasePurpose = 'prefill' | 'decode' | 'plain';

/** The entry whose heartbeats keep a lease alive. */
export interface LeaseOwner {
  entryId: string;
  entryIncarnation: string;
}

export interface LeaseCapacity {
  kvBytes: number;
  slots: number;
}

export interface Lease {
  attemptId: string;
  /** Absent for memory found in the engine that no entry owns. */
  owner?: LeaseOwner;
  purpose: LeasePurpose;
  state: LeaseState;
  /** Memory granted; `heldKvBytes` is 0 while it is only promised. */
  kvBytes: number;
  heldKvBytes: number;
  heldSlots: number;
  grantedAtMs: number;
  renewedAtMs: number;
  expectedReleaseAtMs: number;
  /** The lease lasts as long as its connection and needs no heartbeats. */
  connectionBound: boolean;
}

export interface ReserveInput {
  attemptId: string;
  owner: LeaseOwner;
  purpose: LeasePurpose;
  kvBytes: number;
  /** Earliest time at which the owner needs the memory. */
  neededInMs: number;
  /** Expected time for which the work holds the memory once it has started. */
  expectedHoldMs: number;
}

export type ReserveOutcome =
  | { kind: 'granted'; lease: Readonly<Lease>; usableInMs: number }
  /** Does not fit in time; `usableInMs` is the predicted wait. */
  | { kind: 'wait'; usableInMs: number }
  /** Larger than the server's whole memory. */
  | { kind: 'never' };

export type RunningState = 'prefill' | 'exported' | 'importing' | 'streaming';

export interface LeaseTotals {
  capacity: LeaseCapacity;
  heldKvBytes: number;
  heldSlots: number;
  promisedKvBytes: number;
  promisedSlots: number;
  grantedCount: number;
  endedCount: number;
}
