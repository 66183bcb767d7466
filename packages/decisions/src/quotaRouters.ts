/**
 * Tracks the other routers that enforce the same quotas: which exist, which were in contact lately, and their totals.
 */
import { createBoundedMap } from './boundedMap';

export interface QuotaRouter {
  incarnation?: string;
  lastContactAtMs: number;
  /** Time for which its even share was set aside, since its last announcement. */
  assumedSpendingMs: number;
  /** Announced total of each workspace, in its current incarnation. */
  sums: Map<string, number>;
}

export interface QuotaRouters {
  /** Sets the other routers of this router's shard, and the number of routers in all shards. */
  set(shardPeers: readonly string[], routerCount: number): void;
  get(address: string): QuotaRouter | undefined;
  /** Counts the router as reachable from now on. */
  noteContact(address: string, nowMs: number): QuotaRouter;
  isSilent(address: string, nowMs: number): boolean;
  /** The router has stopped; it counts again with its next incarnation. */
  noteStopped(address: string): void;
  noteIncarnation(address: string, incarnation: string): void;
  /** Number of routers in the shard, this one included; an estimate while this one is warming up. */
  count(nowMs: number): number;
  /** Share of rate and burst for the reachable routers; the unreachable ones are assumed to spend the rest. */
  reachableShare(nowMs: number): number;
  /** Share of this router's shard among all routers. */
  shardShare(): number;
  /** This router has just started and may not have heard from all others yet. */
  isWarmingUp(nowMs: number): boolean;
}

/** Routers send a heartbeat each second; half a second is added for its transit. */
const silenceTimeoutMs = 1_500;
/** Routers hear from all others of their shard within this time of their start. */
const warmUpMs = 2_500;
/** Routers assumed while the number is still unknown: about as many as a shard may have. */
const assumedRouterCount = 32;
const maxRouters = 512;

export function createQuotaRouters(startedAtMs: number): QuotaRouters {
  const routers = createBoundedMap<string, QuotaRouter>({ maxEntries: maxRouters });
  const stopped = new Set<string>();
  let shardPeers: readonly string[] = [];
  let shardShare = 1;

  const isWarmingUp = (nowMs: number) => nowMs - startedAtMs < warmUpMs;

  function isSilent(address: string, nowMs: number): boolean {
    const router = routers.get(address);
    return router === undefined || nowMs - router.lastContactAtMs > silenceTimeoutMs;
  }

  function count(nowMs: number): number {
    return Math.max(shardPeers.length + 1, isWarmingUp(nowMs) ? assumedRouterCount : 1);
  }

  function noteContact(address: string, nowMs: number): QuotaRouter {
    const router = routers.getOrCreate(address, () => ({
      lastContactAtMs: nowMs,
      assumedSpendingMs: 0,
      sums: new Map(),
    }));
    router.assumedSpendingMs += Math.max(0, nowMs - router.lastContactAtMs - silenceTimeoutMs);
    router.lastContactAtMs = Math.max(router.lastContactAtMs, nowMs);
    return router;
  }

  return {
    set(next, routerCount) {
      shardPeers = next.filter((address) => !stopped.has(address));
      shardShare = Math.min(1, (next.length + 1) / Math.max(1, routerCount));
    },
    get: routers.get,
    noteContact,
    isSilent,
    noteStopped(address) {
      stopped.add(address);
      shardPeers = shardPeers.filter((peer) => peer !== address);
    },
    noteIncarnation(address, incarnation) {
      stopped.delete(address);
      const router = routers.get(address);
      if (router !== undefined) {
        router.incarnation = incarnation;
        router.sums.clear();
      }
    },
    count,
    reachableShare(nowMs) {
      const reachable = shardPeers.filter((address) => !isSilent(address, nowMs)).length;
      return Math.min(1, (reachable + 1) / count(nowMs));
    },
    shardShare: () => shardShare,
    isWarmingUp,
  };
}
