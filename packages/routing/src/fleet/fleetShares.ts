/**
 * This router's shares of limits that apply to the whole fleet: an equal share among the routers that it knows, capped
 * at a fixed share because a partitioned router knows only a few.
 */
import type { FleetShard } from '../servers/fleetShard';
import type { AttemptAllowance } from './attemptBudget';

export interface FleetSharesOptions {
  fleetShard: Pick<FleetShard, 'shardPeers' | 'shardCount'>;
  /** Number of routers in all shards, including this one. */
  routerCount: () => number;
}

export interface FleetShares {
  /** How many of the connections that one server accepts from all callers this router may hold. */
  connections(fleetTotal: number): number;
  /** How many of the further attempts that the fleet may make in a window, beyond the ratio to its requests. */
  furtherAttempts(fleetTotal: number): AttemptAllowance;
}

const usedConnectionShare = 0.75;
/** The rest is for restarts: each process that starts anew adds its initial attempts in the same window. */
const usedAttemptShare = 0.5;
const initialAttemptShare = 0.25;
const maxInitialAttempts = 1;
const maxShare = 1 / 8;
const minConnections = 2;

export function createFleetShares({ fleetShard, routerCount }: FleetSharesOptions): FleetShares {
  let largestRouterCount = 0;

  /**
   * A router that loses contact with the others forgets them after a while, but they go on using their shares. A fleet
   * that shrinks leaves its routers with shares that are too small until they restart.
   */
  function attemptUsers(): number {
    largestRouterCount = Math.max(largestRouterCount, routerCount());
    return largestRouterCount;
  }

  const ownShare = (users: number, usedShare: number) => Math.min(maxShare, usedShare / users);

  return {
    connections(fleetTotal) {
      // Routers of this shard and of the shard that uses this one's servers as spare.
      const shardsPerServer = fleetShard.shardCount() > 1 ? 2 : 1;
      const users = shardsPerServer * (fleetShard.shardPeers().length + 1);
      const share = ownShare(users, usedConnectionShare);
      return Math.max(minConnections, Math.floor(fleetTotal * share));
    },
    furtherAttempts(fleetTotal) {
      const users = attemptUsers();
      const initial = fleetTotal * ownShare(users, initialAttemptShare);
      return {
        initial: Math.min(maxInitialAttempts, initial),
        full: fleetTotal * ownShare(users, usedAttemptShare),
      };
    },
  };
}
