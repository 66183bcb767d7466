/**
 * The platform's services as the system sees them. One implementation talks HTTP; another platform's
 * wire format is a change of that one file.
 */
import type { ResultAsync } from 'neverthrow';
import type { ListedInstance, StorePosition } from '@bluebellhitch/protocol';

/** Kinds of objects that the system keeps on the platform. */
export const objectKinds = {
  /** Written by operators, one a service. */
  document: 'document',
  /** The accepted form of a document; its generation never goes down. */
  accepted: 'accepted',
  /** Findings and progress for operators. */
  status: 'status',
  /** At-most-once claims. */
  claim: 'claim',
  /** Leases of duties that need one holder at a time. */
  lease: 'lease',
  /** Fingerprints of requests that crash backend servers. */
  quarantine: 'quarantine',
  /** Routes and services in force, written by operators. */
  configuration: 'configuration',
  /** Backend servers; each writes its own entry. */
  backendServer: 'backend-server',
} as const;
export type ObjectKind = (typeof objectKinds)[keyof typeof objectKinds];

/** An object and its version. Versions of one object increase with each write, and with each era of the platform. */
export interface StoredObject {
  kind: ObjectKind;
  key: string;
  version: StorePosition;
  value: unknown;
}

export type PlatformError =
  /** The condition did not hold; `current` is what is there, where the platform told. */
  | { kind: 'conflict'; current?: StoredObject }
  | { kind: 'not-found' }
  | { kind: 'rate-limited'; retryAfterMs: number }
  /** The call certainly had no effect. */
  | { kind: 'unavailable'; detail: string }
  /** The answer was lost: a write may or may not have taken effect. */
  | { kind: 'unknown-outcome'; detail: string }
  | { kind: 'rejected'; detail: string };

export type WatchEvent =
  { kind: 'put'; object: StoredObject } | { kind: 'removed'; key: string; version: StorePosition };

export interface WatchReply {
  events: WatchEvent[];
  /** Pass to the next call. */
  cursor: string;
  /** The platform no longer has the events since the given cursor, or has come back from an older copy: list again. */
  compacted: boolean;
}

export interface ObjectList {
  objects: StoredObject[];
  /** Position to watch from. */
  cursor: string;
}

/** One entry of the list of instances. */
export type PlatformInstance = ListedInstance;

/** Objects with versions, conditional writes and watches. */
export interface ObjectApi {
  get(kind: ObjectKind, key: string): ResultAsync<StoredObject, PlatformError>;
  list(kind: ObjectKind): ResultAsync<ObjectList, PlatformError>;
  /** Fails with `conflict` where the object exists. */
  create(kind: ObjectKind, key: string, value: unknown): ResultAsync<StoredObject, PlatformError>;
  /** Fails with `conflict` unless the object has `version`. */
  update(
    kind: ObjectKind,
    key: string,
    version: StorePosition,
    value: unknown,
  ): ResultAsync<StoredObject, PlatformError>;
  remove(kind: ObjectKind, key: string, version: StorePosition): ResultAsync<void, PlatformError>;
  /** Long poll: answers once there are events after `cursor`, or after `waitMs` with none. */
  watch(
    kind: ObjectKind,
    cursor: string,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<WatchReply, PlatformError>;
}

export interface PlatformApi extends ObjectApi {
  /** The list of instances; it lags. */
  instances(): ResultAsync<PlatformInstance[], PlatformError>;
}
