/** Interface of the directory of backend servers: see `serverDirectory`. */
import type { StorePosition } from '@bluebellhitch/protocol';
import type { BackendServer, Stage } from '../model';
import type { StoreObserver } from './removalDelay';
import type { ReturnedEntry } from './unconfirmedServers';

/** What was known of an incarnation before a change. */
export type KnownState = 'unknown' | 'ready' | 'draining' | 'removed';

/** `no-start`: earlier entries of its name state when the server started, this one does not. */
export type IgnoredCause = 'past-incarnation' | 'late' | 'no-start';

export type ServerChange = {
  server: BackendServer;
  known: KnownState;
  /** Highest number known of an entry of the incarnation. */
  knownNumber?: number;
} & (
  | { kind: 'added' | 'changed'; isListed: boolean; isUnconfirmed: boolean }
  /** The entry was not applied: it is older than what is known, or not the server's own by what is known. */
  | { kind: 'ignored'; cause: IgnoredCause; isListed: boolean }
  | { kind: 'withdrawn' | 'leaving' | 'confirmed' | 'unconfirmed' | 'adopted' }
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
  /**
   * Applies the entry that is in the store now, if entries of this name have been ignored. If the server has gone on writing
   * these, the last one replaces what is known.
   */
  reviewIgnored(entry: BackendServer): void;
  /** Whether the last entry of this name was ignored, and nothing has happened to it since. */
  isIgnoring(name: string): boolean;
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
