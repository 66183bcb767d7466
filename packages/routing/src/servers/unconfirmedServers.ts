/**
 * The listed incarnations that may have left: see `serverDirectory`. One whose entry returned while its removal was
 * delayed is trusted until then, as it would be used without having returned.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface ReturnedEntry {
  /** Highest entry number known before its return. */
  knownNumber?: number;
  /** Entry number with which it returned. */
  returnedNumber?: number;
}

export interface UnconfirmedServers {
  /** No effect if the incarnation is unconfirmed already. */
  add(id: string, returned: ReturnedEntry, trustedUntilMs?: number): void;
  /** Returns whether it was unconfirmed. */
  delete(id: string): boolean;
  get(id: string): ReturnedEntry | undefined;
  has(id: string): boolean;
  /** Whether it may get requests: it is not unconfirmed, or trusted for now. */
  isTrusted(id: string): boolean;
}

interface Unconfirmed {
  returned: ReturnedEntry;
  trustedUntilMs: number;
}

/** Calls `onTrustEnded` when an incarnation is still unconfirmed at the end of the time for which it is trusted. */
export function createUnconfirmedServers(onTrustEnded: (id: string) => void): UnconfirmedServers {
  const unconfirmed = new Map<string, Unconfirmed>();

  return {
    add(id, returned, trustedUntilMs = -Infinity) {
      if (unconfirmed.has(id)) {
        return;
      }
      const added = { returned, trustedUntilMs };
      unconfirmed.set(id, added);
      const trustedForMs = trustedUntilMs - monotonicNowMs();
      if (trustedForMs > 0) {
        const endTrust = () => unconfirmed.get(id) === added && onTrustEnded(id);
        setTimeout(endTrust, trustedForMs).unref();
      }
    },
    delete: (id) => unconfirmed.delete(id),
    get: (id) => unconfirmed.get(id)?.returned,
    has: (id) => unconfirmed.has(id),
    isTrusted: (id) => (unconfirmed.get(id)?.trustedUntilMs ?? Infinity) > monotonicNowMs(),
  };
}
