/**
 * The backend servers that are registered in the object store. A server gets no new requests once it reports that it is
 * draining, or once its entry is removed or becomes unreadable. A server that restarts under its name counts as a new
 * server: entries of its previous incarnation are ignored, as they would restore state that the restart has ended.
 *
 * Entries may arrive late: a write whose response was lost may be executed after later ones, and a store restored from a
 * backup lists earlier entries. So leaving is final for an incarnation, whether its entry or its responses announce it;
 * an entry with a lower number than a known one is ignored; and an incarnation that is listed again after its removal
 * gets requests only once it is confirmed to be in service: see `decisions/entryHistory`.
 *
 * Entries that expired while the store was unavailable are written again moments after it recovers. Removals are
 * therefore delayed for that long: otherwise an outage of the store would empty pools whose servers are all running.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createBoundedMap, judgeEntry, type KnownEntry } from '@bluebellhitch/decisions';
import type { StorePosition } from '@bluebellhitch/protocol';
import { serverIdOf, type BackendServer, type Stage } from '../model';
import { createRemovalDelay, type RemovalDelayOptions, type StoreObserver } from './removalDelay';
import { createUnconfirmedServers, type ReturnedEntry } from './unconfirmedServers';

export interface ServerDirectoryOptions extends RemovalDelayOptions {
  onChanged?: (change: ServerChange) => void;
}

/** What was known of an incarnation before a change. */
export type KnownState = 'unknown' | 'ready' | 'draining' | 'removed';

export type ServerChange = {
  server: BackendServer;
  known: KnownState;
  /** Highest number known of an entry of the incarnation. */
  knownNumber?: number;
} & (
  | { kind: 'added' | 'changed'; isListed: boolean; isUnconfirmed: boolean }
  /** The entry was not applied: it is older than what is known. */
  | { kind: 'ignored'; cause: 'past-incarnation' | 'late'; isListed: boolean }
  | { kind: 'withdrawn' | 'leaving' | 'confirmed' | 'unconfirmed' }
  | { kind: 'removal-held'; forMs: number }
  | { kind: 'removed'; position?: StorePosition }
);

/** An incarnation that is listed again after its removal, and may have left. */
export interface UnconfirmedServer extends ReturnedEntry {
  server: BackendServer;
}

export interface ServerDirectory extends StoreObserver {
  put(server: BackendServer): void;
  /** `position` is that of the removal in the store, if it is known. */
  remove(name: string, position?: StorePosition): void;
  /**
   * Called when the entry of this name cannot be read. Like a draining server it gets no new requests; requests in
   * progress continue, and its next readable entry makes it usable again.
   */
  withdraw(name: string): void;
  /** Replaces all servers by the store's complete list; the entries of `unreadableNames` could not be read. */
  replaceAll(servers: readonly BackendServer[], unreadableNames?: readonly string[]): void;
  /** The server itself reports the start of its incarnation, possibly before its new entry arrives. */
  noteStarted(server: BackendServer, bornAtMs: number, stage: Stage): void;
  /** The server has announced that it is leaving. */
  noteLeaving(server: Pick<BackendServer, 'id'>): void;
  /** The incarnation that returned is in service; no effect if it is not listed or leaves. */
  confirm(id: string): void;
  /** The incarnation, if it gets no requests until it is confirmed; otherwise undefined. */
  unconfirmed(id: string): UnconfirmedServer | undefined;
  get(id: string): BackendServer | undefined;
  /** Servers that may get new requests. */
  usable(serviceName: string, stage?: Stage): BackendServer[];
  /** Whether a later incarnation of it is listed, so that everything it was running is lost. */
  hasRestarted(server: BackendServer): boolean;
  /** All listed servers, including draining ones. */
  all(): BackendServer[];
  /** The software versions of the service's listed servers, including draining ones. */
  softwareVersions(serviceName: string): string[];
  size(): number;
  /** Increases with each change. */
  version(): number;
  /** When a server was last added or removed or began to drain, on the monotonic clock. */
  membershipChangedAtMs(): number;
}

interface DelayedRemoval {
  server: BackendServer;
  position?: StorePosition;
  timer: NodeJS.Timeout;
  endsAtMs: number;
}

/** Names whose latest incarnation is remembered after removal: late entries of it arrive within seconds. */
const maxRememberedNames = 4_096;
const maxRememberedIds = 4_096;

export function createServerDirectory(options: ServerDirectoryOptions = {}): ServerDirectory {
  const { onChanged = () => undefined } = options;
  const removalDelay = createRemovalDelay({ ...options, onAnswered: shortenDelays });
  /** Keyed by name. */
  const servers = new Map<string, BackendServer>();
  const idsToNames = new Map<string, string>();
  const latestBornAtMs = createBoundedMap<string, number>({ maxEntries: maxRememberedNames });
  const delayedRemovals = new Map<string, DelayedRemoval>();
  let version = 0;
  let membershipChangedAtMs = -Infinity;
  /** Highest entry number of each removed server, keyed by id. */
  const removedNumbers = createBoundedMap<string, number | undefined>({
    maxEntries: maxRememberedIds,
  });
  /** Incarnations that are leaving; remembered beyond their entries, which may expire and be written again. */
  const leavingIds = createBoundedMap<string, true>({ maxEntries: maxRememberedIds });
  /** They are marked as draining, unless they are trusted. */
  const unconfirmedServers = createUnconfirmedServers(endTrust);
  /** Names of servers marked as draining only because their entries are unreadable. */
  const withdrawnNames = new Set<string>();

  /** An incarnation whose removal is delayed is treated as removed, although it is still listed here. */
  function knownEntryOf({ id, name }: BackendServer): KnownEntry {
    const listed = get(id);
    if (listed !== undefined && !unconfirmedServers.has(id) && !delayedRemovals.has(name)) {
      return { state: 'listed', number: listed.entryNumber };
    }
    if (listed !== undefined || removedNumbers.has(id)) {
      return { state: 'removed', number: listed?.entryNumber ?? removedNumbers.get(id) };
    }
    return { state: 'unknown' };
  }

  /** What is reported as known before a change. */
  function before(server: BackendServer): { known: KnownState; knownNumber?: number } {
    const { state, ...entry } = knownEntryOf(server);
    const knownNumber = 'number' in entry ? entry.number : undefined;
    if (state !== 'listed') {
      return { known: state, knownNumber };
    }
    return { known: get(server.id)?.isDraining ? 'draining' : 'ready', knownNumber };
  }

  function cancelRemoval(name: string): void {
    clearTimeout(delayedRemovals.get(name)?.timer);
    delayedRemovals.delete(name);
  }

  function delayRemoval(server: BackendServer, delayMs: number, position?: StorePosition): void {
    cancelRemoval(server.name);
    const timer = setTimeout(() => removeNow(server, position), delayMs);
    timer.unref();
    const endsAtMs = monotonicNowMs() + delayMs;
    delayedRemovals.set(server.name, { server, position, timer, endsAtMs });
  }

  /** A removal received in an outage is delayed by a guess; when the outage has ended, its bound is known. */
  function shortenDelays(): void {
    const leftMs = Math.max(0, removalDelay.leftMs());
    [...delayedRemovals.values()]
      .filter(({ endsAtMs }) => endsAtMs > monotonicNowMs() + leftMs)
      .forEach(({ server, position }) => delayRemoval(server, leftMs, position));
  }

  function isOfPastIncarnation({ name, bornAtMs = Infinity }: BackendServer): boolean {
    return bornAtMs < (latestBornAtMs.get(name) ?? -Infinity);
  }

  function noteChange(): void {
    version += 1;
    membershipChangedAtMs = monotonicNowMs();
  }

  function put(entry: BackendServer, isListed = false): void {
    const earlier = before(entry);
    if (isOfPastIncarnation(entry)) {
      const cause = 'past-incarnation';
      onChanged({ kind: 'ignored', cause, server: entry, ...earlier, isListed });
      return;
    }
    if (entry.isDraining) {
      markLeaving(entry.id);
    }
    const verdict = judgeEntry({ number: entry.entryNumber, isListed }, knownEntryOf(entry));
    if (verdict === 'late' && !entry.isDraining) {
      onChanged({ kind: 'ignored', cause: 'late', server: entry, ...earlier, isListed });
      return;
    }
    if (entry.bornAtMs === undefined && latestBornAtMs.get(entry.name) !== undefined) {
      // A server that states its start time does so in every entry: this one was written by someone else.
      withdraw(entry.name);
      return;
    }
    if (verdict === 'unconfirmed' && !leavingIds.has(entry.id)) {
      const returned = { knownNumber: earlier.knownNumber, returnedNumber: entry.entryNumber };
      unconfirmedServers.add(entry.id, returned, delayedRemovals.get(entry.name)?.endsAtMs);
    }
    apply(entry, earlier, isListed);
  }

  function endTrust(id: string): void {
    const server = get(id);
    if (server !== undefined) {
      replaceListed({ ...server, isDraining: true }, 'unconfirmed');
    }
  }

  function apply(
    entry: BackendServer,
    earlier: ReturnType<typeof before>,
    isListed: boolean,
  ): void {
    const isUnconfirmed = unconfirmedServers.has(entry.id);
    const isDraining =
      entry.isDraining || leavingIds.has(entry.id) || !unconfirmedServers.isTrusted(entry.id);
    const entryNumber = highest(entry.entryNumber, earlier.knownNumber);
    const server = { ...entry, entryNumber, isDraining };
    const previous = servers.get(server.name);
    if (previous !== undefined && previous.id !== server.id) {
      removeNow(previous);
    }
    if (server.bornAtMs !== undefined) {
      latestBornAtMs.set(server.name, server.bornAtMs);
    }
    cancelRemoval(server.name);
    withdrawnNames.delete(server.name);
    removedNumbers.delete(server.id);
    const listed = servers.get(server.name);
    servers.set(server.name, server);
    idsToNames.set(server.id, server.name);
    version += 1;
    if (listed?.isDraining !== server.isDraining) {
      membershipChangedAtMs = monotonicNowMs();
    }
    const kind = listed === undefined ? 'added' : 'changed';
    onChanged({ kind, server, ...earlier, isListed, isUnconfirmed });
  }

  function removeNow(server: BackendServer, position?: StorePosition): void {
    cancelRemoval(server.name);
    const earlier = before(server);
    servers.delete(server.name);
    idsToNames.delete(server.id);
    withdrawnNames.delete(server.name);
    unconfirmedServers.delete(server.id);
    removedNumbers.set(server.id, earlier.knownNumber);
    noteChange();
    onChanged({ kind: 'removed', server, ...earlier, position });
  }

  function remove(name: string, position?: StorePosition): void {
    const server = servers.get(name);
    if (server === undefined || delayedRemovals.has(name)) {
      return;
    }
    const delayMs = server.isDraining ? 0 : removalDelay.leftMs();
    if (delayMs <= 0) {
      removeNow(server, position);
      return;
    }
    const earlier = before(server);
    delayRemoval(server, delayMs, position);
    onChanged({ kind: 'removal-held', server, ...earlier, forMs: Math.round(delayMs) });
  }

  function withdraw(name: string): void {
    const server = servers.get(name);
    if (server !== undefined && (!server.isDraining || unconfirmedServers.has(server.id))) {
      withdrawnNames.add(name);
      replaceListed({ ...server, isDraining: true }, 'withdrawn');
    }
  }

  /** Changes whether a listed server gets requests. */
  function replaceListed(
    server: BackendServer,
    kind: 'withdrawn' | 'leaving' | 'confirmed' | 'unconfirmed',
    earlier = before(server),
  ): void {
    servers.set(server.name, server);
    noteChange();
    onChanged({ kind, server, ...earlier });
  }

  function replaceAll(
    listed: readonly BackendServer[],
    unreadableNames: readonly string[] = [],
  ): void {
    const names = new Set([...listed.map(({ name }) => name), ...unreadableNames]);
    listed.forEach((server) => put(server, true));
    unreadableNames.forEach((name) => withdraw(name));
    [...servers.keys()].filter((name) => !names.has(name)).forEach((name) => remove(name));
  }

  /** The new incarnation answers, so it is in service, unless the entry under its name is unreadable. */
  function noteStarted(server: BackendServer, bornAtMs: number, stage: Stage): void {
    const known = servers.get(server.name);
    if (known?.id !== server.id || bornAtMs <= (server.bornAtMs ?? -Infinity)) {
      return;
    }
    const isDraining = withdrawnNames.has(known.name);
    const id = serverIdOf(server.name, bornAtMs);
    const started = { ...known, id, bornAtMs, stage, isDraining, entryNumber: undefined };
    apply(started, before(started), false);
  }

  /** Final: there is nothing left to confirm. */
  function markLeaving(id: string): void {
    leavingIds.set(id, true);
    unconfirmedServers.delete(id);
  }

  function noteLeaving({ id }: Pick<BackendServer, 'id'>): void {
    markLeaving(id);
    const known = get(id);
    if (known !== undefined && !known.isDraining) {
      replaceListed({ ...known, isDraining: true }, 'leaving');
    }
  }

  function confirm(id: string): void {
    const server = get(id);
    const earlier = server && before(server);
    if (server !== undefined && unconfirmedServers.delete(id)) {
      const isDraining = withdrawnNames.has(server.name);
      replaceListed({ ...server, isDraining }, 'confirmed', earlier);
    }
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
    noteStarted,
    noteLeaving,
    confirm,
    unconfirmed(id) {
      const server = get(id);
      const returned = unconfirmedServers.get(id);
      return server && returned && { server, ...returned };
    },
    storeLost: removalDelay.storeLost,
    storeFound: removalDelay.storeFound,
    storeAnswered: removalDelay.storeAnswered,
    storeRecovered: removalDelay.storeRecovered,
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
    softwareVersions(serviceName) {
      const listed = [...servers.values()].filter((server) => server.serviceName === serviceName);
      return [...new Set(listed.map(({ softwareVersion }) => softwareVersion))];
    },
    size: () => servers.size,
    version: () => version,
    membershipChangedAtMs: () => membershipChangedAtMs,
  };
}

function highest(number: number | undefined, other: number | undefined): number | undefined {
  return number === undefined || other === undefined ? (number ?? other) : Math.max(number, other);
}
