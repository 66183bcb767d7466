/**
 * Chooses the single request that may be sent with a part of a prompt whose quarantine is to be tested. One router, which
 * all know by rendezvous hashing, sends it.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';
import { monotonicNowMs, rendezvousOrder } from '@bluebellhitch/shared';
import type { QuarantineChannel } from './crashAnnouncements';

export interface PartTrials {
  /** Whether the holder's request may be the trial; true again once it is. */
  mayTake(partFingerprint: string, holder: object): boolean;
  /** Makes the holder's request the trial; only if it may be. */
  take(partFingerprint: string, holder: object): void;
}

interface Trial {
  holder: object;
  takenAtMs: number;
}

/** A trial without an outcome by then has shown nothing; another request may be sent. */
const trialTimeoutMs = 10_000;
const maxTrials = 256;

export function createPartTrials(channel: () => QuarantineChannel | undefined): PartTrials {
  const trials = createBoundedMap<string, Trial>({ maxEntries: maxTrials });

  function isOurs(partFingerprint: string): boolean {
    const open = channel();
    if (open === undefined) {
      return true;
    }
    const routers = [open.address, ...open.knownPeers()];
    return rendezvousOrder(partFingerprint, routers, (address) => address)[0] === open.address;
  }

  return {
    mayTake(partFingerprint, holder) {
      const current = trials.get(partFingerprint);
      const isInProgress =
        current !== undefined && current.takenAtMs + trialTimeoutMs > monotonicNowMs();
      return current?.holder === holder || (!isInProgress && isOurs(partFingerprint));
    },
    take(partFingerprint, holder) {
      if (trials.get(partFingerprint)?.holder !== holder) {
        trials.set(partFingerprint, { holder, takenAtMs: monotonicNowMs() });
      }
    },
  };
}
