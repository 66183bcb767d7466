/**
 * Chooses the single request that may be sent with a part of a prompt whose quarantine is to be tested. One router, which
 * all know by rendezvous hashing, sends it.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';
import { monotonicNowMs, rendezvousOrder } from '@bluebellhitch/shared';
import type { QuarantineChannel } from './crashAnnouncements';

export interface PartTrials {
  /**
   * Whether the holder's request may be the trial; true again once it is. A crash of a request that is suspected beside the part
   * would show nothing of the part, so it may be the trial only if no other one has come for a while.
   */
  mayTake(partFingerprint: string, holder: object, isSuspected: boolean): boolean;
  /** Makes the holder's request the trial; only if it may be. */
  take(partFingerprint: string, holder: object): void;
}

interface Trial {
  holder: object;
  takenAtMs: number;
}

/** A trial without an outcome by then has shown nothing; another request may be sent. */
const trialTimeoutMs = 10_000;
/** Time in which most services get many requests. */
const unsuspectedWaitMs = 10_000;
const maxTrials = 256;

export function createPartTrials(channel: () => QuarantineChannel | undefined): PartTrials {
  const trials = createBoundedMap<string, Trial>({ maxEntries: maxTrials });
  /** Since when a suspected request could have been the trial. */
  const waitingSinceMs = createBoundedMap<string, number>({ maxEntries: maxTrials });

  function isOurs(partFingerprint: string): boolean {
    const open = channel();
    if (open === undefined) {
      return true;
    }
    const routers = [open.address, ...open.knownPeers()];
    return rendezvousOrder(partFingerprint, routers, (address) => address)[0] === open.address;
  }

  function hasWaited(partFingerprint: string): boolean {
    const nowMs = monotonicNowMs();
    return nowMs - waitingSinceMs.getOrCreate(partFingerprint, () => nowMs) >= unsuspectedWaitMs;
  }

  return {
    mayTake(partFingerprint, holder, isSuspected) {
      const current = trials.get(partFingerprint);
      if (current?.holder === holder) {
        return true;
      }
      const isInProgress =
        current !== undefined && current.takenAtMs + trialTimeoutMs > monotonicNowMs();
      if (isInProgress || !isOurs(partFingerprint)) {
        return false;
      }
      return !isSuspected || hasWaited(partFingerprint);
    },
    take(partFingerprint, holder) {
      if (trials.get(partFingerprint)?.holder !== holder) {
        trials.set(partFingerprint, { holder, takenAtMs: monotonicNowMs() });
        waitingSinceMs.delete(partFingerprint);
      }
    },
  };
}
