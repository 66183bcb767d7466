/**
 * Decides which routers watch the platform, for how long each time, and which ones are asked for a proof that the
 * configuration is current. Keeps large fleets affordable: calls to the platform grow with the number of changes plus
 * the number of shards, not with their product.
 */
import { chooseRelays } from '@bluebellhitch/decisions';
import type { Random } from '@bluebellhitch/shared';

export interface WatchPlanOptions {
  /** Undefined until this process knows its own address. */
  peers: () => { address: string; livePeers(): readonly string[] } | undefined;
  /** Maximum time until a change must be noticed. */
  contactMs: number;
  /** No request may run that is sent this long after its key was revoked; infinite if there is no such bound. */
  revocationMs: number;
  random?: Random;
}

export interface WatchPlan {
  /** The routers of this shard that watch the platform and relay its changes. */
  relays(): readonly string[];
  /** Whether this router relays changes to others. */
  isRelaying(): boolean;
  /** Whether other routers relay changes to this one. */
  hasRelays(): boolean;
  /** Duration of the next watch of objects that need no proof. */
  watchWaitMs(): number;
  /** Duration of the next watch of the configuration, if API keys depend on its proof. */
  proofWatchWaitMs(): number;
  /** How long a proof of this age may still be used before this router renews it with a call of its own. */
  proofLeftMs(ageMs: number): number;
  /** Whether a proof of this age is recent enough to run a request with a key. */
  isFresh(ageMs: number): boolean;
  /** Routers to ask for a proof if the current one has this age. */
  proofSources(ageMs: number): readonly string[];
  /** How long relayed changes count as current. */
  relayTimeoutMs: number;
}

/** Share of `contactMs`: a watch of this duration leaves time for a second attempt. */
const watchShare = 0.6;
/** As watches of different routers end at different times, this many of them replace one short watch. */
const staggeredWatches = 3;
/** Lower bound of the random factor that makes watches of different routers end at different times. */
const minWatchShare = 0.6;
const maxWatchMs = 20_000;
/**
 * Share of `revocationMs`. Routers that watch the platform call it this often, so that two calls may be lost before
 * requests are refused.
 */
const proofWatchShare = 0.25;
/**
 * Share of `revocationMs`. A router whose proof is older than this calls the platform itself; the rest of the time
 * covers one lost call. With a bound of 5 s, proofs from other routers are at most 3.4 s old while all of them can be
 * reached.
 */
const ownProofShare = 0.7;
/** Allows for the time from the caller's sending to the check here, measured on two clocks. */
const proofMarginMs = 200;
/** Live routers that are asked in addition to the relays. */
const maxExtraSources = 4;

export function createWatchPlan(options: WatchPlanOptions): WatchPlan {
  const { peers, contactMs, revocationMs, random = Math.random } = options;
  let chosenForKey = '';
  let chosenRelays: readonly string[] = [];

  /** Cached for each set of routers, as it is called many times per second. */
  function relays(): readonly string[] {
    const own = peers();
    if (own === undefined) {
      return [];
    }
    const liveAddresses = own.livePeers();
    const key = liveAddresses.join(' ');
    if (key !== chosenForKey || chosenRelays.length === 0) {
      chosenForKey = key;
      chosenRelays = chooseRelays({ ownAddress: own.address, liveAddresses });
    }
    return chosenRelays;
  }

  function isRelay(): boolean {
    const own = peers();
    return own !== undefined && relays().includes(own.address);
  }

  function watchWaitMs(): number {
    const share = watchShare * Math.max(1, relays().length / staggeredWatches);
    const spread = minWatchShare + (1 - minWatchShare) * random();
    return Math.min(maxWatchMs, contactMs * share * spread);
  }

  const isLate = (ageMs: number) => ageMs >= revocationMs * ownProofShare;

  return {
    relays,
    isRelaying: () => isRelay() && relays().length <= (peers()?.livePeers().length ?? 0),
    hasRelays: () => peers() !== undefined && !isRelay(),
    watchWaitMs,
    proofWatchWaitMs: () => Math.min(watchWaitMs(), revocationMs * proofWatchShare),
    proofLeftMs: (ageMs) => revocationMs * ownProofShare - ageMs,
    isFresh: (ageMs) => ageMs < revocationMs - proofMarginMs,
    proofSources(ageMs) {
      const live = peers()?.livePeers() ?? [];
      const sources = isLate(ageMs) ? [...relays(), ...live.slice(0, maxExtraSources)] : relays();
      return [...new Set(sources)].filter((other) => other !== peers()?.address);
    },
    relayTimeoutMs: contactMs * watchShare,
  };
}
