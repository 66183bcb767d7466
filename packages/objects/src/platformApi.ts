/**
 * Interface of the platform's services. `httpPlatformClient.ts` implements it over HTTP; supporting
 * another platform's wire format means replacing only that file.
 */
import type { ResultAsync } from 'neverthrow';
import type { ListedInstance, StorePosition } from '@bluebellhitch/protocol';

/** Kinds of objects that the system stores on the platform. */
export const objectKinds = {
  /** Written by operators, one per service. */
  document: 'document',
  /** The accepted form of a document; its generation never decreases. */
  accepted: 'accepted',
  /** Findings and progress for operators. */
  status: 'status',
  /** At-most-once claims. */
  claim: 'claim',
  /** Leases of duties that may have only one holder at a time. */
  lease: 'lease',
  /** Fingerprints of requests that crash backend servers. */
  quarantine: 'quarantine',
  /** The software versions that may have begun streams, one object for each service. */
  serviceVersions: 'service-versions',
  /** Which software version has begun streams, one object for each router. */
  streamOrigins: 'stream-origins',
  /** Routes and services in force, written by operators. */
  configuration: 'configuration',
  /** Backend servers; each writes its own object. */
  backendServer: 'backend-server',
} as const;
export type ObjectKind = (typeof objectKinds)[keyof typeof objectKinds];

/** An object and its version. The version increases with each write and with each era of the platform. */
export interface StoredObject {
  kind: ObjectKind;
  key: string;
  version: StorePosition;
  value: unknown;
}

export type PlatformError =
  /** The condition did not hold; `current` is the stored object, if the platform returned it. */
  | { kind: 'conflict'; current?: StoredObject }
  | { kind: 'not-found' }
  | { kind: 'rate-limited'; retryAfterMs: number }
  /** The call certainly had no effect. */
  | { kind: 'unavailable'; detail: string }
  /** The response was lost: a write may or may not have taken effect. */
  | { kind: 'unknown-outcome'; detail: string }
  | { kind: 'rejected'; detail: string };

export type WatchEvent =
  { kind: 'put'; object: StoredObject } | { kind: 'removed'; key: string; version: StorePosition };

export interface WatchReply {
  events: WatchEvent[];
  /** Cursor for the next call. */
  cursor: string;
  /** The events since the given cursor are no longer stored, or the platform was restored from a backup: list again. */
  compacted: boolean;
}

export interface ObjectList {
  objects: StoredObject[];
  /** Cursor from which to watch. */
  cursor: string;
}

/** One entry of the list of instances. */
export type PlatformInstance = ListedInstance;

/** Access to versioned objects, with conditional writes and watches. */
export interface ObjectApi {
  get(kind: ObjectKind, key: string): ResultAsync<StoredObject, PlatformError>;
  list(kind: ObjectKind): ResultAsync<ObjectList, PlatformError>;
  /** Fails with `conflict` if the object exists. */
  create(kind: ObjectKind, key: string, value: unknown): ResultAsync<StoredObject, PlatformError>;
  /** Fails with `conflict` unless the object has `version`. */
  update(
    kind: ObjectKind,
    key: string,
    version: StorePosition,
    value: unknown,
  ): ResultAsync<StoredObject, PlatformError>;
  remove(kind: ObjectKind, key: string, version: StorePosition): ResultAsync<void, PlatformError>;
  /** Long poll: returns once there are events after `cursor`, or without events after `waitMs`. */
  watch(
    kind: ObjectKind,
    cursor: string,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<WatchReply, PlatformError>;
}

export interface PlatformApi extends ObjectApi {
  /** The list of instances; it may be out of date. */
  instances(): ResultAsync<PlatformInstance[], PlatformError>;
}
