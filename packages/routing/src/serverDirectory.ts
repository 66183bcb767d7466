/**
 * The backend servers as the object store lists them. A server that reports draining, whose entry goes or can't be
 * read any more gets no new requests. One that starts again under its name is another server from then on, and news
 * of its life before is old: it would bring back what the restart has ended.
 *
 * Entries that lapsed while the store was away come back within moments of its
 * return, so a removal seen then is held back for that long: otherwise a store that was down would empty
 * the pools of servers that are all alive.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createBoundedMap } from '@bluebellhitch/decisions';
import { serverIdOf, type BackendServer, type Stage } from './model';

export interface ServerDirectoryOptions {
  /** How long after the store's return a missing entry still counts. */
  lapseGraceMs?: number;
  onChanged?: (change: ServerChange) => void;
}

export type ServerChange =
  | { kind: 'added' | 'changed' | 'withdrawn'; server: BackendServer }
  | { kind: 'removed' | 'removal-held'; server: BackendServer };

export interface ServerDirectory {
  put(server: BackendServer): void;
  remove(name: string): void;
  /**
   * The entry of this name can't be read. The server gets nothing new, like one that drains; what it has in progress
   * goes on, and its next readable entry brings it back.
   */
  withdraw(name: string): void;
  /** Takes the whole list of the store; entries of these names could not be read. */
  replaceAll(servers: readonly BackendServer[], unreadableNames?: readonly string[]): void;
  /** The server itself tells when it was born, which may be news before its entry is. */
  noteBorn(server: BackendServer, bornAtMs: number, stage: Stage): void;
  storeLost(): void;
  /** The store answers again, or has since so long ago. */
  storeBack(agoMs?: number): void;
  get(id: string): BackendServer | undefined;
  /** Servers that may get new requests. */
  usable(serviceName: string, stage?: Stage): BackendServer[];
  /** A later life of it is listed: what it ran is gone. */
  hasRestarted(server: BackendServer): boolean;
  /** All that are listed, those that drain too. */
  all(): BackendServer[];
  size(): number;
  /** Grows with each change. */
  version(): number;
  /** When a server last came, went or began to drain, on the monotonic clock. */
  membershipChangedAtMs(): number;
}

/** Names whose latest life is remembered after their removal: late entries of it come within seconds. */
const maxRememberedNames = 4_096;
/** Alive servers write again within about two seconds; a quarter more for the way. */
const defaultLapseGraceMs = 2_250;

export function createServerDirectory(options: ServerDirectoryOptions = {}): ServerDirectory {
  const { lapseGraceMs = defaultLapseGraceMs, onChanged = () => undefined } = options;
  /** By name. */
  const servers = new Map<string, BackendServer>();
  const idsToNames = new Map<string, string>();
  const lastBornAtMs = createBoundedMap<string, number>({ maxEntries: maxRememberedNames });
  const heldRemovals = new Map<string, NodeJS.Timeout>();
  let version = 0;
  let membershipChangedAtMs = -Infinity;
  let isStoreAway = false;
  let storeBackAtMs = -Infinity;

  function cancelRemoval(name: string): void {
    clearTimeout(heldRemovals.get(name));
    heldRemovals.delete(name);
  }

  function isOldNews({ name, bornAtMs = Infinity }: BackendServer): boolean {
    return bornAtMs < (lastBornAtMs.get(name) ?? -Infinity);
  }

  function put(server: BackendServer): void {
    if (isOldNews(server)) {
      return;
    }
    if (server.bornAtMs === undefined && lastBornAtMs.get(server.name) !== undefined) {
      // A server that tells its birth always does: this entry is another writer's.
      withdraw(server.name);
      return;
    }
    const before = servers.get(server.name);
    if (before !== undefined && before.id !== server.id) {
      removeNow(before);
    }
    if (server.bornAtMs !== undefined) {
      lastBornAtMs.set(server.name, server.bornAtMs);
    }
    cancelRemoval(server.name);
    const known = servers.get(server.name);
    servers.set(server.name, server);
    idsToNames.set(server.id, server.name);
    version += 1;
    if (known?.isDraining !== server.isDraining) {
      membershipChangedAtMs = monotonicNowMs();
    }
    onChanged({ kind: known === undefined ? 'added' : 'changed', server });
  }

  function removeNow(server: BackendServer): void {
    cancelRemoval(server.name);
    servers.delete(server.name);
    idsToNames.delete(server.id);
    version += 1;
    membershipChangedAtMs = monotonicNowMs();
    onChanged({ kind: 'removed', server });
  }

  function remove(name: string): void {
    const server = servers.get(name);
    if (server === undefined || heldRemovals.has(name)) {
      return;
    }
    const holdMs = server.isDraining ? 0 : graceLeftMs();
    if (holdMs <= 0) {
      removeNow(server);
      return;
    }
    const timer = setTimeout(() => removeNow(server), holdMs);
    timer.unref();
    heldRemovals.set(name, timer);
    onChanged({ kind: 'removal-held', server });
  }

  function graceLeftMs(): number {
    return isStoreAway ? lapseGraceMs : storeBackAtMs + lapseGraceMs - monotonicNowMs();
  }

  function withdraw(name: string): void {
    const server = servers.get(name);
    if (server === undefined || server.isDraining) {
      return;
    }
    const withdrawn = { ...server, isDraining: true };
    servers.set(name, withdrawn);
    version += 1;
    membershipChangedAtMs = monotonicNowMs();
    onChanged({ kind: 'withdrawn', server: withdrawn });
  }

  function replaceAll(
    listed: readonly BackendServer[],
    unreadableNames: readonly string[] = [],
  ): void {
    const names = new Set([...listed.map(({ name }) => name), ...unreadableNames]);
    listed.forEach(put);
    unreadableNames.forEach(withdraw);
    [...servers.keys()].filter((name) => !names.has(name)).forEach(remove);
  }

  function noteBorn(server: BackendServer, bornAtMs: number, stage: Stage): void {
    const known = servers.get(server.name);
    if (known?.id !== server.id || bornAtMs <= (server.bornAtMs ?? -Infinity)) {
      return;
    }
    put({ ...known, id: serverIdOf(server.name, bornAtMs), bornAtMs, stage });
  }

  function get(id: string): BackendServer | undefined {
    const name = idsToNames.get(id);
    return name === undefined ? undefined : servers.get(name);
  }

  return {
    put,
    remove,
    withdraw,
    replaceAll,
    noteBorn,
    storeLost() {
      isStoreAway = true;
    },
    storeBack(agoMs = 0) {
      isStoreAway = false;
      storeBackAtMs = Math.max(storeBackAtMs, monotonicNowMs() - agoMs);
    },
    get,
    usable: (serviceName, stage) =>
      [...servers.values()].filter(
        (server) =>
          server.serviceName === serviceName &&
          !server.isDraining &&
          (stage === undefined || server.stage === stage),
      ),
    hasRestarted({ id, name }) {
      const listed = servers.get(name);
      return listed !== undefined && listed.id !== id;
    },
    all: () => [...servers.values()],
    size: () => servers.size,
    version: () => version,
    membershipChangedAtMs: () => membershipChangedAtMs,
  };
}
