/** Converts between the events of a watch and the changes that routers relay to each other. */
import type { ObjectKind, WatchEvent } from '@bluebellhitch/objects';
import type { RelayedChange, RelayedChanges, StorePosition } from '@bluebellhitch/protocol';

/** The changes that a watch has returned, in the form in which they are relayed to peers. */
export type SeenChanges = Omit<RelayedChanges, 'kindIndex'>;

/** Position of the change in the store. */
export function versionOf(event: WatchEvent): StorePosition {
  return event.kind === 'put' ? event.object.version : event.version;
}

export function toRelayedChange(event: WatchEvent): RelayedChange {
  return event.kind === 'removed'
    ? { kind: 'removed', key: event.key, revision: event.version }
    : {
        kind: 'put',
        key: event.object.key,
        revision: event.object.version,
        value: event.object.value,
      };
}

export function toWatchEvent(kind: ObjectKind, change: RelayedChange): WatchEvent {
  const { key, revision } = change;
  return change.kind === 'removed'
    ? { kind: 'removed', key, version: revision }
    : { kind: 'put', object: { kind, key, version: revision, value: change.value } };
}
