/**
 * The backend servers as the object store lists them. A server that reports draining, whose entry goes or can't be
 * read any more gets no new requests. One that starts again under its name is another server from then on, and news
 * of its life before is old: it would bring back what the restart has ended.
 *
 * Entries that lapsed while the store was away come back within moments of its
 * return, so a removal seen then is held back for that long: otherwise a store that was down would empty
 * the pools of servers that are all alive.
 *
 * A store that comes back from an older copy lists servers that have left since, or said that they leave. For a while what is
 * known goes before it: such a server counts again only by an entry that it has written later than the last one known.
 *
 * That a server leaves it may also say itself, in its answers. The store can be away or late, so its entry does not
 * undo that word, which holds for the rest of the life that gave it.
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
  | { kind: 'added' | 'changed' | 'withdrawn' | 'leaving'; server: BackendServer }
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
  /** The server says itself that it leaves. */
  noteLeaving(server: Pick<BackendServer, 'id'>): void;
  storeLost(): void;
  /** The store answers again, or has since so long ago. */
  storeBack(agoMs?: number): void;
  /** The store has come back from an older copy: the next lists may be older than what is known. */
  noteOlderCopy(): void;
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
/** In this time servers that live have written again, and entries of those that are gone have lapsed. */
const olderCopyMs = 10_000;
const maxRememberedIds = 4_096;

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
  let olderCopyUntilMs = -Infinity;
  /** Numbers of the last entries of servers that were removed, by id. */
  const removedEntryNumbers = createBoundedMap<string, number | undefined>({
    maxEntries: maxRememberedIds,
  });
  /** Lives that have said that they leave; kept after their entries, which may lapse and come back. */
  const leavingIds = createBoundedMap<string, true>({ maxEntries: maxRememberedIds });
  /** Names of servers whose entries could not be read: they did not say that they leave. */
  const withdrawnNames = new Set<string>();

  /** Whether the entry may be one of the older copy that the store has come back from. */
  function isOfOlderCopy(server: BackendServer, isListed: boolean): boolean {
    if (monotonicNowMs() >= olderCopyUntilMs) {
      return false;
    }
    const known = servers.get(server.name);
    if (known?.id === server.id) {
      const hasLeft = known.isDraining && !withdrawnNames.has(known.name) && !server.isDraining;
      return (
        isEarlier(server, known.entryNumber) || (hasLeft && !isLater(server, known.entryNumber))
      );
    }
    if (!removedEntryNumbers.has(server.id)) {
      return false;
    }
    const lastNumber = removedEntryNumbers.get(server.id);
    return isListed ? !isLater(server, lastNumber) : isEarlier(server, lastNumber);
  }

  function cancelRemoval(name: string): void {
    clearTimeout(heldRemovals.get(name));
    heldRemovals.delete(name);
  }

  function isOldNews({ name, bornAtMs = Infinity }: BackendServer): boolean {
    return bornAtMs < (lastBornAtMs.get(name) ?? -Infinity);
  }

  function withOwnWord(entry: BackendServer): BackendServer {
    return leavingIds.has(entry.id) ? { ...entry, isDraining: true } : entry;
  }

  function put(entry: BackendServer, isListed = false): void {
    if (isOldNews(entry) || isOfOlderCopy(entry, isListed)) {
      return;
    }
    const server = withOwnWord(entry);
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
    withdrawnNames.delete(server.name);
    removedEntryNumbers.delete(server.id);
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
    withdrawnNames.delete(server.name);
    removedEntryNumbers.set(server.id, server.entryNumber);
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
    withdrawnNames.add(name);
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
    listed.forEach((server) => put(server, true));
    unreadableNames.forEach(withdraw);
    [...servers.keys()].filter((name) => !names.has(name)).forEach(remove);
  }

  function noteBorn(server: BackendServer, bornAtMs: number, stage: Stage): void {
    const known = servers.get(server.name);
    if (known?.id !== server.id || bornAtMs <= (server.bornAtMs ?? -Infinity)) {
      return;
    }
    const isDraining = known.isDraining && !leavingIds.has(known.id);
    put({ ...known, id: serverIdOf(server.name, bornAtMs), bornAtMs, stage, isDraining });
  }

  function noteLeaving({ id }: Pick<BackendServer, 'id'>): void {
    leavingIds.set(id, true);
    const known = get(id);
    if (known === undefined || known.isDraining) {
      return;
    }
    const server = withOwnWord(known);
    servers.set(server.name, server);
    version += 1;
    membershipChangedAtMs = monotonicNowMs();
    onChanged({ kind: 'leaving', server });
  }

  function get(id: string): BackendServer | undefined {
    const name = idsToNames.get(id);
    return name === undefined ? undefined : servers.get(name);
  }

  return {
    put: (server) => put(server),
    remove,
    withdraw,
    replaceAll,
    noteBorn,
    noteLeaving,
    storeLost() {
      isStoreAway = true;
    },
    storeBack(agoMs = 0) {
      isStoreAway = false;
      storeBackAtMs = Math.max(storeBackAtMs, monotonicNowMs() - agoMs);
    },
    noteOlderCopy() {
      olderCopyUntilMs = monotonicNowMs() + olderCopyMs;
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

function isLater({ entryNumber }: BackendServer, thanNumber: number | undefined): boolean {
  return entryNumber !== undefined && thanNumber !== undefined && entryNumber > thanNumber;
}

function isEarlier({ entryNumber }: BackendServer, thanNumber: number | undefined): boolean {
  return entryNumber !== undefined && thanNumber !== undefined && entryNumber < thanNumber;
}
