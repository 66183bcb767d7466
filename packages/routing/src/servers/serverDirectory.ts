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
 * Others can write entries too. One that seems to be newer than all that the server itself writes afterwards must not keep
 * the server from use, nor hide that it leaves: entries that are ignored are remembered while they last, and replace the
 * known one if the server goes on writing them (`ignoredEntries`). It gets requests once it is confirmed, as after a return.
 *
 * Entries that expired while the store was unavailable are written again moments after it recovers. Removals are
 * therefore delayed for that long: otherwise an outage of the store would empty pools whose servers are all running.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import {
  createBoundedMap,
  judgeEntry,
  type EntryVerdict,
  type KnownEntry,
} from '@bluebellhitch/decisions';
import type { StorePosition } from '@bluebellhitch/protocol';
import { serverIdOf, type BackendServer, type Stage } from '../model';
import { createDelayedRemovals } from './delayedRemovals';
import { createIgnoredEntries, type LastingEntry } from './ignoredEntries';
import type { RemovalDelayOptions } from './removalDelay';
import type { IgnoredCause, KnownState, ServerChange, ServerDirectory } from './serverDirectoryApi';
import { createUnconfirmedServers } from './unconfirmedServers';

export type { ServerChange, ServerDirectory, UnconfirmedServer } from './serverDirectoryApi';

export interface ServerDirectoryOptions extends RemovalDelayOptions {
  onChanged?: (change: ServerChange) => void;
}

/** Names whose latest incarnation is remembered after removal: late entries of it arrive within seconds. */
const maxRememberedNames = 4_096;
const maxRememberedIds = 4_096;

export function createServerDirectory(options: ServerDirectoryOptions = {}): ServerDirectory {
  const { onChanged = () => undefined } = options;
  const delayedRemovals = createDelayedRemovals({ ...options, onDue: removeNow });
  /** Keyed by name. */
  const servers = new Map<string, BackendServer>();
  const idsToNames = new Map<string, string>();
  const latestBornAtMs = createBoundedMap<string, number>({ maxEntries: maxRememberedNames });
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
  const ignoredEntries = createIgnoredEntries();
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

  function isOfPastIncarnation({ name, bornAtMs = Infinity }: BackendServer): boolean {
    return bornAtMs < (latestBornAtMs.get(name) ?? -Infinity);
  }

  function noteChange(): void {
    version += 1;
    membershipChangedAtMs = monotonicNowMs();
  }

  function put(entry: BackendServer, isListed = false): void {
    const earlier = before(entry);
    if (entry.isDraining) {
      markLeaving(entry.id);
    }
    const verdict = judgeEntry({ number: entry.entryNumber, isListed }, knownEntryOf(entry));
    const ignoredCause = resolveIgnoredCause(entry, verdict);
    if (ignoredCause !== undefined) {
      ignore(entry, ignoredCause, isListed);
      return;
    }
    if (verdict === 'unconfirmed' && !leavingIds.has(entry.id)) {
      const returned = { knownNumber: earlier.knownNumber, returnedNumber: entry.entryNumber };
      unconfirmedServers.add(entry.id, returned, delayedRemovals.endsAtMs(entry.name));
    }
    apply(entry, earlier, isListed);
  }

  function resolveIgnoredCause(
    entry: BackendServer,
    verdict: EntryVerdict,
  ): IgnoredCause | undefined {
    if (isOfPastIncarnation(entry)) {
      return 'past-incarnation';
    }
    if (verdict === 'late' && !entry.isDraining) {
      return 'late';
    }
    // A server that states its start time does so in every entry: one without it was written by someone else.
    const isStartKnown = latestBornAtMs.get(entry.name) !== undefined;
    return isStartKnown && entry.bornAtMs === undefined ? 'no-start' : undefined;
  }

  /** The entry in use may be foreign: once another one announces a leaving, the server at this name gets no requests. */
  function ignore(entry: BackendServer, cause: IgnoredCause, isListed: boolean): void {
    if (!isSameEntry(entry, servers.get(entry.name))) {
      ignoredEntries.note(entry);
    }
    onChanged({ kind: 'ignored', cause, server: entry, ...before(entry), isListed });
    if (cause === 'no-start' || entry.isDraining) {
      withdraw(entry.name);
    }
  }

  /** What the server goes on writing counts, even if another entry seemed to be newer; but it may be leaving. */
  function adopt({ entry, firstNumber }: LastingEntry): void {
    const previous = servers.get(entry.name);
    if (previous !== undefined) {
      removeNow(previous);
    }
    removedNumbers.delete(entry.id);
    latestBornAtMs.delete(entry.name);
    if (!leavingIds.has(entry.id)) {
      const returnedNumber = entry.entryNumber;
      unconfirmedServers.add(entry.id, { knownNumber: firstNumber, returnedNumber });
    }
    onChanged({ kind: 'adopted', server: entry, known: 'unknown' });
    apply(entry, { known: 'unknown' }, false);
  }

  function reviewIgnored(entry: BackendServer): void {
    put(entry);
    const lasting = ignoredEntries.lasting(entry.name);
    if (lasting !== undefined) {
      adopt(lasting);
    }
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
    delayedRemovals.cancel(server.name);
    withdrawnNames.delete(server.name);
    ignoredEntries.delete(server.name);
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
    delayedRemovals.cancel(server.name);
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
    ignoredEntries.delete(name);
    const server = servers.get(name);
    if (server === undefined || delayedRemovals.has(name)) {
      return;
    }
    const delayMs = server.isDraining ? 0 : delayedRemovals.leftMs();
    if (delayMs <= 0) {
      removeNow(server, position);
      return;
    }
    const earlier = before(server);
    delayedRemovals.add(server, delayMs, position);
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
    [...servers.keys(), ...ignoredEntries.names()]
      .filter((name) => !names.has(name))
      .forEach((name) => remove(name));
  }

  /**
   * The incarnation answers, so it is in service, unless the entry under its name is unreadable. What it says of its start
   * goes before any entry, as others can write entries.
   */
  function noteStarted(server: BackendServer, bornAtMs: number, stage: Stage): void {
    const known = servers.get(server.name);
    if (known?.id !== server.id || bornAtMs === server.bornAtMs) {
      return;
    }
    const isDraining = withdrawnNames.has(known.name);
    const id = serverIdOf(server.name, bornAtMs);
    const started = { ...known, id, bornAtMs, stage, isDraining, entryNumber: undefined };
    latestBornAtMs.delete(known.name);
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
    reviewIgnored,
    isIgnoring: ignoredEntries.has,
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
    storeLost: delayedRemovals.storeLost,
    storeFound: delayedRemovals.storeFound,
    storeAnswered: delayedRemovals.storeAnswered,
    storeRecovered: delayedRemovals.storeRecovered,
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

/** Whether the entries say the same, but for their numbers. */
function isSameEntry(entry: BackendServer, listed: BackendServer | undefined): boolean {
  const { entryNumber, entryPosition, isDraining, ...content } = entry;
  return (
    listed !== undefined &&
    listed.isDraining === isDraining &&
    Object.entries(content).every(([key, value]) => listed[key as keyof BackendServer] === value)
  );
}

function highest(number: number | undefined, other: number | undefined): number | undefined {
  return number === undefined || other === undefined ? (number ?? other) : Math.max(number, other);
}
