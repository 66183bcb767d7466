/**
 * Versioned objects with a bounded event log. One revision counter supplies both the objects' versions
 * and the watch cursors, so that an object created again gets a higher version than it ever had before.
 */
import { err, ok, type Result } from 'neverthrow';
import type {
  ObjectKind,
  ObjectList,
  PlatformError,
  StoredObject,
  WatchEvent,
  WatchReply,
} from '@bluebellhitch/objects';

export interface ObjectStoreOptions {
  /** Events kept for watches; a watch whose cursor is older than the oldest one gets `compacted`. */
  eventLogLimit?: number;
  /** Maximum size of a value, measured as JSON text. */
  maxValueBytes?: number;
}

interface LoggedEvent {
  revision: number;
  kind: ObjectKind;
  event: WatchEvent;
}

export type ObjectStore = ReturnType<typeof createObjectStore>;

const defaultEventLogLimit = 10_000;
const defaultMaxValueBytes = 1024 * 1024;

export function createObjectStore(options: ObjectStoreOptions = {}) {
  const { eventLogLimit = defaultEventLogLimit, maxValueBytes = defaultMaxValueBytes } = options;
  const objects = new Map<string, StoredObject>();
  const log: LoggedEvent[] = [];
  const listeners = new Set<(kind: ObjectKind) => void>();
  let revision = 0;
  let compactedRevision = 0;

  function get(kind: ObjectKind, key: string): Result<StoredObject, PlatformError> {
    const found = objects.get(objectId(kind, key));
    return found === undefined ? err({ kind: 'not-found' }) : ok(structuredClone(found));
  }

  function list(kind: ObjectKind): Result<ObjectList, PlatformError> {
    const ofKind = [...objects.values()].filter((object) => object.kind === kind);
    return ok({ objects: structuredClone(ofKind), cursor: String(revision) });
  }

  function create(
    kind: ObjectKind,
    key: string,
    value: unknown,
  ): Result<StoredObject, PlatformError> {
    const current = objects.get(objectId(kind, key));
    if (current !== undefined) {
      return err({ kind: 'conflict', current: structuredClone(current) });
    }
    return put(kind, key, value);
  }

  function update(
    kind: ObjectKind,
    key: string,
    version: number,
    value: unknown,
  ): Result<StoredObject, PlatformError> {
    return checkVersion(kind, key, version).andThen(() => put(kind, key, value));
  }

  function remove(kind: ObjectKind, key: string, version: number): Result<void, PlatformError> {
    return checkVersion(kind, key, version).map(() => {
      objects.delete(objectId(kind, key));
      revision += 1;
      record(kind, { kind: 'removed', key, version: revision });
    });
  }

  function eventsSince(kind: ObjectKind, cursor: string): WatchReply {
    const from = Number(cursor);
    const compacted = !Number.isInteger(from) || from < compactedRevision || from > revision;
    const events = compacted
      ? []
      : log.filter((logged) => logged.revision > from && logged.kind === kind);
    return {
      events: structuredClone(events.map((logged) => logged.event)),
      cursor: String(revision),
      compacted,
    };
  }

  /** Calls `listener` after each change. Returns a function that removes it. */
  function onChange(listener: (kind: ObjectKind) => void): () => void {
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  /** Drops the whole event log, as a real platform does from time to time. */
  function compact(): void {
    log.length = 0;
    compactedRevision = revision;
  }

  function checkVersion(
    kind: ObjectKind,
    key: string,
    version: number,
  ): Result<StoredObject, PlatformError> {
    return get(kind, key).andThen((current) =>
      current.version === version ? ok(current) : err({ kind: 'conflict' as const, current }),
    );
  }

  function put(kind: ObjectKind, key: string, value: unknown): Result<StoredObject, PlatformError> {
    const sizeBytes = Buffer.byteLength(JSON.stringify(value) ?? '');
    if (sizeBytes > maxValueBytes) {
      const detail = `value of ${sizeBytes} bytes exceeds ${maxValueBytes}`;
      return err({ kind: 'rejected', detail });
    }
    revision += 1;
    const object = { kind, key, version: revision, value: structuredClone(value) };
    objects.set(objectId(kind, key), object);
    record(kind, { kind: 'put', object });
    return ok(structuredClone(object));
  }

  function record(kind: ObjectKind, event: WatchEvent): void {
    log.push({ revision, kind, event });
    if (log.length > eventLogLimit) {
      compactedRevision = log.shift()?.revision ?? compactedRevision;
    }
    [...listeners].forEach((listener) => listener(kind));
  }

  return { get, list, create, update, remove, eventsSince, onChange, compact };
}

function objectId(kind: ObjectKind, key: string): string {
  return `${kind}\u0000${key}`;
}
