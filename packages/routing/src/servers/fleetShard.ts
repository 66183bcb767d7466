/**
 * Assigns a router to a shard of a large fleet. Routers that place work at the same servers have to exchange their
 * state, so messages and placement cost per router would grow with the fleet. Routers and servers are therefore
 * divided into the same number of shards: a router uses the servers of its own shard, and those of one other shard if
 * most of its own have failed. Every router computes the assignment from addresses and ids alone. While views differ,
 * a few servers are used by routers that do not exchange state; the servers' own reservations still enforce the
 * limits.
 */
import { hash64 } from '@bluebellhitch/shared';
import type { BackendServer, Stage } from '../model';
import type { ServerDirectory } from './serverDirectory';

export interface FleetShardOptions {
  directory: ServerDirectory;
}

/** The servers that a router may use: those of its own shard, and spare ones. */
export interface ServerPools {
  /** Servers that may get new requests. */
  usable(serviceName: string, stage?: Stage): readonly BackendServer[];
  /** Servers of another shard, for use when most servers of the own shard have failed; empty in a small fleet. */
  spare(serviceName: string, stage?: Stage): readonly BackendServer[];
  /** Servers of all shards that may get new requests. */
  ofAllShards(serviceName: string, stage?: Stage): readonly BackendServer[];
  /** Whether a server of this software version is listed and is not leaving, in any shard and stage. */
  hasVersion(serviceName: string, softwareVersion: string): boolean;
}

export interface FleetShard extends ServerPools {
  /** Sets the addresses of all known routers, with or without `ownAddress`. */
  setRouters(ownAddress: string, addresses: readonly string[]): void;
  /** The other routers of this one's shard. */
  shardPeers(): readonly string[];
  shardCount(): number;
}

/**
 * Bounds the messages that a router sends. When each of 21 routers sent its state to only 16, many streams were placed
 * where other routers had just placed theirs: knowing some of the others is little better than knowing none, so all
 * routers of a shard exchange state. Larger shards share capacity better: in replays of 68 routers, two shards served
 * 2,926 of 2,981 streams on time, four shards 2,896.
 */
const maxRoutersPerShard = 40;
/** A shrinking fleet keeps its shards until they are this small: the hysteresis prevents repeated resharding. */
const minRoutersPerShard = 12;
/** A pool is not divided into smaller shards: one failed server must not be a large share of its shard. */
const minServersPerShard = 8;

interface CachedPools {
  directoryVersion: number;
  routersVersion: number;
  own: readonly BackendServer[];
  spare: readonly BackendServer[];
}

export function createFleetShard({ directory }: FleetShardOptions): FleetShard {
  const weights = new Map<string, number>();
  const cachedPools = new Map<string, CachedPools>();
  let shardCount = 1;
  let ownShard = 0;
  let peers: readonly string[] = [];
  let routersVersion = 0;

  /** Caches the weight of a listed server; those of removed servers are dropped in `forgetRemoved`. */
  function weightOf(id: string): number {
    const known = weights.get(id);
    if (known !== undefined) {
      return known;
    }
    const weight = hashWeight(id);
    weights.set(id, weight);
    return weight;
  }

  function assignRouters(ownAddress: string, addresses: readonly string[]): void {
    const routers = orderByWeight([...new Set([ownAddress, ...addresses])], hashWeight);
    shardCount = nextShardCount(shardCount, routers.length);
    ownShard = shardOf(routers.indexOf(ownAddress), routers.length, shardCount);
    const next = sliceShard(routers, ownShard, shardCount).filter((peer) => peer !== ownAddress);
    peers = next;
    routersVersion += 1;
  }

  function poolsOf(serviceName: string, stage?: Stage): CachedPools {
    const key = `${serviceName}/${stage ?? ''}`;
    const cached = cachedPools.get(key);
    const directoryVersion = directory.version();
    if (
      cached?.directoryVersion === directoryVersion &&
      (cached.routersVersion === routersVersion || shardCount === 1)
    ) {
      return cached;
    }
    const pools = { directoryVersion, routersVersion, ...splitPool(serviceName, stage) };
    cachedPools.set(key, pools);
    return pools;
  }

  function splitPool(serviceName: string, stage?: Stage): Pick<CachedPools, 'own' | 'spare'> {
    const pool = directory.usable(serviceName, stage);
    const poolShardCount = Math.min(
      shardCount,
      Math.max(1, Math.floor(pool.length / minServersPerShard)),
    );
    if (poolShardCount === 1) {
      return { own: pool, spare: [] };
    }
    const ordered = orderByWeight(pool, ({ id }) => weightOf(id));
    const shard = Math.floor((ownShard * poolShardCount) / shardCount);
    const spareShard = (shard + 1) % poolShardCount;
    return {
      own: sliceShard(ordered, shard, poolShardCount),
      spare: sliceShard(ordered, spareShard, poolShardCount),
    };
  }

  function forgetRemoved(): void {
    [...weights.keys()]
      .filter((id) => directory.get(id) === undefined)
      .forEach((id) => weights.delete(id));
  }

  return {
    usable: (serviceName, stage) => poolsOf(serviceName, stage).own,
    spare: (serviceName, stage) => poolsOf(serviceName, stage).spare,
    ofAllShards: directory.usable,
    hasVersion: (serviceName, softwareVersion) =>
      directory.usable(serviceName).some((server) => server.softwareVersion === softwareVersion),
    setRouters(ownAddress, addresses) {
      assignRouters(ownAddress, addresses);
      forgetRemoved();
    },
    shardPeers: () => peers,
    shardCount: () => shardCount,
  };
}

function nextShardCount(current: number, routerCount: number): number {
  let count = current;
  while (routerCount > maxRoutersPerShard * count) {
    count *= 2;
  }
  while (count > 1 && routerCount < minRoutersPerShard * count) {
    count /= 2;
  }
  return count;
}

/** The shard of the member at this index in the order; shard sizes differ by at most one. */
function shardOf(index: number, size: number, count: number): number {
  return Math.min(count - 1, Math.floor(((index + 0.5) * count) / size));
}

function sliceShard<Member>(
  ordered: readonly Member[],
  shard: number,
  count: number,
): readonly Member[] {
  return ordered.filter((_member, index) => shardOf(index, ordered.length, count) === shard);
}

function orderByWeight<Member>(
  members: readonly Member[],
  weightOf: (member: Member) => number,
): Member[] {
  return members
    .map((member) => ({ member, weight: weightOf(member) }))
    .sort((left, right) => left.weight - right.weight)
    .map(({ member }) => member);
}

function hashWeight(text: string): number {
  return Number(BigInt.asUintN(52, hash64(text)));
}
