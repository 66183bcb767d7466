/**
 * This router's shares of limits that apply to the whole fleet: an equal share among the routers that it knows, capped
 * at a fixed share because a partitioned router knows only a few.
 */
import type { FleetShard } from './fleetShard';

export interface FleetSharesOptions {
  fleetShard: Pick<FleetShard, 'shardPeers' | 'shardCount'>;
  /** Number of routers in all shards, including this one. */
  routerCount: () => number;
}

export interface FleetShares {
  /** How many of the connections that one server accepts from all callers this router may hold. */
  connections(fleetTotal: number): number;
  /** How many of the further attempts that the fleet may make in a window, beyond the ratio to its requests. */
  furtherAttempts(fleetTotal: number): number;
}

const usedShare = 0.75;
const maxAttemptShare = 1 / 16;
const maxConnectionShare = 1 / 8;
const minConnections = 2;

export function createFleetShares({ fleetShard, routerCount }: FleetSharesOptions): FleetShares {
  const ownShare = (users: number, maxShare: number) => Math.min(maxShare, usedShare / users);

  return {
    connections(fleetTotal) {
      // Routers of this shard and of the shard that uses this one's servers as spare.
      const shardsPerServer = fleetShard.shardCount() > 1 ? 2 : 1;
      const users = shardsPerServer * (fleetShard.shardPeers().length + 1);
      const share = ownShare(users, maxConnectionShare);
      return Math.max(minConnections, Math.floor(fleetTotal * share));
    },
    furtherAttempts: (fleetTotal) =>
      Math.floor(fleetTotal * ownShare(routerCount(), maxAttemptShare)),
  };
}
