/**
 * Chooses the relays of a shard: the routers that watch the platform's objects and tell the other routers what changed.
 * If each router of a large fleet watched for itself, every change of an object would cause a call by each router, and
 * calls would grow with routers times changes. Each router computes the choice from the addresses that it hears from;
 * where views differ for a moment there are a few more relays, or a router knows of none and watches for itself.
 */
import { rendezvousOrder } from '@bluebellhitch/shared';

export interface RelayChoiceOptions {
  ownAddress: string;
  /** Other routers of the shard that are reachable. */
  liveAddresses: readonly string[];
}

/** One may stop and one lose the platform, and the shard still learns of changes within milliseconds. */
const relayCount = 3;
/** In a smaller shard this would save few calls, so each router watches for itself. */
const minRouters = 9;
/** Hashed with the addresses; must be the same at all routers. */
const choiceKey = 'followers';

/** Returns the same order at all routers that know the same addresses. */
export function chooseRelays(options: RelayChoiceOptions): readonly string[] {
  const routers = [options.ownAddress, ...options.liveAddresses];
  return routers.length < minRouters
    ? routers
    : rendezvousOrder(choiceKey, routers, (address) => address).slice(0, relayCount);
}
