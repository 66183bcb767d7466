/**
 * How long the removal of a backend server's entry is delayed after an outage of the store. Entries that expired in the
 * outage are written again moments after it; entries of servers that have left are not, and a router that can reach the
 * store again must stop sending to these within a bound that counts from the end of the outage.
 *
 * The end itself is not seen: it lies between the start of the last call that failed and the first response. The delay
 * counts from the response, so that no running server is dropped, and ends at the latest when the bound is reached for an
 * outage that had ended as early as possible. Where nothing shows an outage, the store may have been in service throughout:
 * its removals must then be in force within the drain time.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface RemovalDelayOptions {
  /** How long after the store has recovered a missing entry still counts as present. */
  expiryGraceMs?: number;
  /** Time after the end of an outage in which removals must be in force. Default: unlimited. */
  contactMs?: number;
  /** Time after a removal by a store in service in which it must be in force. Default: unlimited. */
  drainMs?: number;
}

export interface RemovalDelayListener {
  /** Called when the store has answered: removals that are delayed may be due earlier. */
  onAnswered?: () => void;
}

/** What is known of the store. */
export interface StoreObserver {
  /** A call has failed: whether the store is unavailable is not known before its next answer. */
  storeLost(): void;
  /** The first answer of the store to this process: entries may expire whose last write came before an outage. */
  storeFound(): void;
  /** The store answers again, and calls to it failed without an outage. */
  storeAnswered(): void;
  /** The store answers again, and has done so for `agoMs`; its outage ended at most `endedAtMostAgoMs` ago. */
  storeRecovered(agoMs?: number, endedAtMostAgoMs?: number): void;
}

export interface RemovalDelay extends StoreObserver {
  /** For how long a removal that is received now is delayed; 0 or less: not at all. */
  leftMs(): number;
}

/** Running servers write their entry again within about two seconds; 250 ms more for its delivery. */
const defaultExpiryGraceMs = 2_250;
/** Of both bounds. Allows for late timers and for requests that are already on their way. */
const marginMs = 200;

export function createRemovalDelay(
  options: RemovalDelayOptions & RemovalDelayListener = {},
): RemovalDelay {
  const { expiryGraceMs = defaultExpiryGraceMs, contactMs = Infinity } = options;
  const { drainMs = Infinity, onAnswered = () => undefined } = options;
  let isUnavailable = false;
  let graceEndsAtMs = -Infinity;

  return {
    storeLost() {
      isUnavailable = true;
    },
    storeFound() {
      isUnavailable = false;
      if (graceEndsAtMs === -Infinity) {
        graceEndsAtMs = monotonicNowMs() + Math.min(expiryGraceMs, drainMs - marginMs);
      }
      onAnswered();
    },
    storeAnswered() {
      isUnavailable = false;
      onAnswered();
    },
    storeRecovered(agoMs = 0, endedAtMostAgoMs = agoMs) {
      isUnavailable = false;
      const nowMs = monotonicNowMs();
      const byContactMs = nowMs - endedAtMostAgoMs + contactMs - marginMs;
      const endsAtMs = Math.min(nowMs - agoMs + expiryGraceMs, byContactMs);
      graceEndsAtMs = Math.max(graceEndsAtMs, endsAtMs);
      onAnswered();
    },
    leftMs: () => (isUnavailable ? expiryGraceMs : graceEndsAtMs - monotonicNowMs()),
  };
}
