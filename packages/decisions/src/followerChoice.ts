/**
 * Which routers of a part follow the platform's objects closely and tell the rest what changed. Answers fleets of many
 * routers: if each watched for itself, every change of one object would be a call of each router, so that calls would
 * grow with routers times changes. Each works the choice out from the addresses that it hears; where views differ for a
 * moment there are a few followers more, or a router hears of none and follows for itself.
 */
import { rendezvousOrder } from '@bluebellhitch/shared';

export interface FollowerChoiceOptions {
  ownAddress: string;
  /** Other routers of the part that are heard. */
  liveAddresses: readonly string[];
}

/** One may stop and one be cut off from the platform, and the part still hears of changes within milliseconds. */
const followerCount = 3;
/** In smaller parts the calls saved would be few, and each router follows for itself. */
const fewestRouters = 9;
const choiceKey = 'followers';

/** In the same order at all routers that hear the same addresses. */
export function chooseFollowers(options: FollowerChoiceOptions): readonly string[] {
  const routers = [options.ownAddress, ...options.liveAddresses];
  return routers.length < fewestRouters
    ? routers
    : rendezvousOrder(choiceKey, routers, (address) => address).slice(0, followerCount);
}
