/**
 * Which routers watch the platform, for how long each time, and who is asked how fresh the configuration is. Answers
 * fleets of many routers: calls of the platform grow with its changes and parts, not with their product.
 */
import { chooseFollowers } from '@bluebellhitch/decisions';
import type { Random } from '@bluebellhitch/shared';

export interface WatchPlanOptions {
  /** Undefined until this process has its own address. */
  peers: () => { address: string; livePeers(): readonly string[] } | undefined;
  /** Within this time a change must be noticed. */
  contactMs: number;
  /** No request may run that is sent this long after its key was taken away; infinite where nothing is promised. */
  revocationMs: number;
  random?: Random;
}

export interface WatchPlan {
  /** The routers of this part that follow the platform. */
  followers(): readonly string[];
  /** Others leave the watching to this router. */
  isTelling(): boolean;
  /** Others watch for this router. */
  isToldByOthers(): boolean;
  /** For the next watch of what need not be proved. */
  watchWaitMs(): number;
  /** For the next watch of the configuration, where keys hang on it. */
  provingWaitMs(): number;
  /** For so long a proof of this age need not be renewed by a call of this router's own. */
  proofLeftMs(ageMs: number): number;
  /** A proof of this age is good enough to let a request with a key run. */
  isFresh(ageMs: number): boolean;
  /** Routers to ask for a proof, where the one at hand has this age. */
  witnesses(ageMs: number): readonly string[];
  /** News of others count for this long. */
  newsLifetimeMs: number;
}

/** Of the time in which a process must notice a change: a watch this long leaves room for another try. */
const watchShare = 0.6;
/** Routers whose watches end at different moments are worth one short watch together. */
const watchesTogether = 3;
/** Watches of one router end at different moments than those of others. */
const leastWatchShare = 0.6;
const longestWatchMs = 20_000;
/**
 * Of the time in which keys that were taken away must stop. Those that follow the platform call it this often: a call
 * may be lost, and one more, before requests are refused.
 */
const proofWatchShare = 0.25;
/**
 * A router that was told nothing for this part calls the platform itself; the rest is for one call that is lost. What
 * others tell is 3.4 s old at the most while all are heard, with 5 s for keys to stop.
 */
const ownProofShare = 0.7;
/** From the caller's sending to the check here, on two clocks. */
const proofMarginMs = 200;
/** Besides those that follow the platform. */
const mostWitnesses = 4;

export function createWatchPlan(options: WatchPlanOptions): WatchPlan {
  const { peers, contactMs, revocationMs, random = Math.random } = options;
  let chosenOf = '';
  let chosen: readonly string[] = [];

  /** Worked out once for each set of routers: it is asked for many times a second. */
  function followers(): readonly string[] {
    const own = peers();
    if (own === undefined) {
      return [];
    }
    const liveAddresses = own.livePeers();
    const key = liveAddresses.join(' ');
    if (key !== chosenOf || chosen.length === 0) {
      chosenOf = key;
      chosen = chooseFollowers({ ownAddress: own.address, liveAddresses });
    }
    return chosen;
  }

  function isFollower(): boolean {
    const own = peers();
    return own !== undefined && followers().includes(own.address);
  }

  function watchWaitMs(): number {
    const share = watchShare * Math.max(1, followers().length / watchesTogether);
    const spread = leastWatchShare + (1 - leastWatchShare) * random();
    return Math.min(longestWatchMs, contactMs * share * spread);
  }

  const isLate = (ageMs: number) => ageMs >= revocationMs * ownProofShare;

  return {
    followers,
    isTelling: () => isFollower() && followers().length <= (peers()?.livePeers().length ?? 0),
    isToldByOthers: () => peers() !== undefined && !isFollower(),
    watchWaitMs,
    provingWaitMs: () => Math.min(watchWaitMs(), revocationMs * proofWatchShare),
    proofLeftMs: (ageMs) => revocationMs * ownProofShare - ageMs,
    isFresh: (ageMs) => ageMs < revocationMs - proofMarginMs,
    witnesses(ageMs) {
      const live = peers()?.livePeers() ?? [];
      const asked = isLate(ageMs) ? [...followers(), ...live.slice(0, mostWitnesses)] : followers();
      return [...new Set(asked)].filter((other) => other !== peers()?.address);
    },
    newsLifetimeMs: contactMs * watchShare,
  };
}
