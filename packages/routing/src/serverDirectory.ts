/**
 * The backend servers as the object store lists them. A server that reports draining, or whose entry goes,
 * gets no more requests. Entries that lapsed while the store was away come back within moments of its
 * return, so a removal seen then is held back for that long: otherwise a store that was down would empty
 * the pools of servers that are all alive.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer, Stage } from './model';

export interface ServerDirectoryOptions {
  /** How long after the store's return a missing entry still counts. */
  lapseGraceMs?: number;
  onChanged?: (change: ServerChange) => void;
}

export type ServerChange =
  | { kind: 'added' | 'changed'; server: BackendServer }
  | { kind: 'removed' | 'removal-held'; server: BackendServer };

export interface ServerDirectory {
  put(server: BackendServer): void;
  remove(id: string): void;
  /** Takes the whole list of the store. */
  replaceAll(servers: readonly BackendServer[]): void;
  storeLost(): void;
  storeBack(): void;
  get(id: string): BackendServer | undefined;
  /** Servers that may get new requests. */
  usable(serviceName: string, stage?: Stage): BackendServer[];
  /** All that are listed, those that drain too. */
  all(): BackendServer[];
  size(): number;
  /** Grows with each change. */
  version(): number;
  /** When a server last came, went or began to drain, on the monotonic clock. */
  membershipChangedAtMs(): number;
}

/** Alive servers write again within about two seconds; a quarter more for the way. */
const defaultLapseGraceMs = 2_250;

export function createServerDirectory(options: ServerDirectoryOptions = {}): ServerDirectory {
  const { lapseGraceMs = defaultLapseGraceMs, onChanged = () => undefined } = options;
  const servers = new Map<string, BackendServer>();
  const heldRemovals = new Map<string, NodeJS.Timeout>();
  let version = 0;
  let membershipChangedAtMs = -Infinity;
  let isStoreAway = false;
  let storeBackAtMs = -Infinity;

  function cancelRemoval(id: string): void {
    clearTimeout(heldRemovals.get(id));
    heldRemovals.delete(id);
  }

  function put(server: BackendServer): void {
    cancelRemoval(server.id);
    const known = servers.get(server.id);
    servers.set(server.id, server);
    version += 1;
    if (known?.isDraining !== server.isDraining) {
      membershipChangedAtMs = monotonicNowMs();
    }
    onChanged({ kind: known === undefined ? 'added' : 'changed', server });
  }

  function removeNow(server: BackendServer): void {
    cancelRemoval(server.id);
    servers.delete(server.id);
    version += 1;
    membershipChangedAtMs = monotonicNowMs();
    onChanged({ kind: 'removed', server });
  }

  function remove(id: string): void {
    const server = servers.get(id);
    if (server === undefined || heldRemovals.has(id)) {
      return;
    }
    const holdMs = server.isDraining ? 0 : graceLeftMs();
    if (holdMs <= 0) {
      removeNow(server);
      return;
    }
    const timer = setTimeout(() => removeNow(server), holdMs);
    timer.unref();
    heldRemovals.set(id, timer);
    onChanged({ kind: 'removal-held', server });
  }

  function graceLeftMs(): number {
    return isStoreAway ? lapseGraceMs : storeBackAtMs + lapseGraceMs - monotonicNowMs();
  }

  function replaceAll(listed: readonly BackendServer[]): void {
    const ids = new Set(listed.map(({ id }) => id));
    listed.forEach(put);
    [...servers.keys()].filter((id) => !ids.has(id)).forEach(remove);
  }

  return {
    put,
    remove,
    replaceAll,
    storeLost() {
      isStoreAway = true;
    },
    storeBack() {
      isStoreAway = false;
      storeBackAtMs = monotonicNowMs();
    },
    get: (id) => servers.get(id),
    usable: (serviceName, stage) =>
      [...servers.values()].filter(
        (server) =>
          server.serviceName === serviceName &&
          !server.isDraining &&
          (stage === undefined || server.stage === stage),
      ),
    all: () => [...servers.values()],
    size: () => servers.size,
    version: () => version,
    membershipChangedAtMs: () => membershipChangedAtMs,
  };
}
