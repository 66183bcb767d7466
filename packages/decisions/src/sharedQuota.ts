/**
 * Enforces each workspace's quota over all routers together, without a call per request. Guards against workspaces that
 * send far more than their quota through every router at once, also while routers are isolated from each other,
 * restarted or frozen. Each router keeps the whole token bucket of a workspace (filled at the rate, with the burst as
 * its size) and debits what it admits itself and what other routers announce. Announcements carry totals over one
 * incarnation of a router, never differences, so that the next one makes up for a lost or late one.
 *
 * Upper bound of what n routers of a shard admit in any time T, with E = overage x (rate x T + burst) + slack:
 * - Known: a bucket whose level is at least zero after a request has admitted at most rate x T + burst, as far as this
 *   router knows.
 * - Not yet propagated: what the others admit before this router learns of it. Within `propagationMs` each of them
 *   spends at most the larger of the burst and half of E, divided by n, or one request. What is announced only with the
 *   next heartbeat is a quarter of the remaining level, divided by n.
 * - Unreachable: a router without contact for `silenceTimeoutMs` is assumed to spend its even share, rate / n, and
 *   spends no more than that once it counts all others as unreachable itself. Before that, each side spends as fast as
 *   callers ask: with 8 of 24 routers isolated and callers spread evenly, at most the rate x 1.5 s x 1/3.
 * - Restarted: a router that starts adds its even share of the burst, and adopts the levels of the first older router
 *   that it hears from. If all routers start together there is one more burst, which is less than E.
 * Not bounded: if all n routers are isolated from each other at the same moment, while callers of one workspace ask
 * each of them for its whole rate, n times the rate may be admitted for the first 1.5 s.
 */
import { createBoundedMap } from './boundedMap';
import { createQuotaRouters, type QuotaRouter } from './quotaRouters';

export interface Quota {
  ratePerSecond: number;
  burst: number;
}

/** What may run beyond rate and burst in any window. Reserved for what routers do not learn in time. */
export interface QuotaSlack {
  windowMs: number;
  overageShare: number;
  amount: number;
}

export interface NamedQuota extends Quota {
  name: string;
}

/** What one router has admitted for one workspace since it started. */
export interface QuotaUse {
  name: string;
  /** Total admitted, less refunds. */
  sum: number;
  /** Level of its bucket; absent while it is warming up and does not know. */
  level?: number;
}

/** What another router announces. */
export interface QuotaAnnouncement {
  router: string;
  /** Identifies the incarnation of the router. */
  life: string;
  /** The router has just started and does not know what was admitted before. */
  isYoung: boolean;
  uses: readonly QuotaUse[];
}

export type QuotaDecision =
  | { kind: 'admitted' }
  /** `retryAfterMs` is absent if the bucket can never hold as much. */
  | { kind: 'limited'; retryAfterMs?: number };

export interface SharedQuotaOptions {
  nowMs: number;
  slack?: QuotaSlack;
  random?: () => number;
}

export interface SharedQuota {
  /** Replaces all quotas; workspaces without one are not limited. */
  setQuotas(quotas: readonly NamedQuota[], nowMs: number): void;
  /** Sets the other routers of this router's shard, and the number of routers in all shards. */
  setRouters(shardPeers: readonly string[], routerCount: number): void;
  take(name: string, cost: number, nowMs: number): QuotaDecision;
  /** Refunds the cost of a request that has certainly not run. */
  refund(name: string, cost: number, nowMs: number): void;
  /** A message of the router arrived, so everything that it has admitted up to now is known. */
  noteContact(router: string, nowMs: number): void;
  applyRemote(announcement: QuotaAnnouncement, nowMs: number): void;
  /** This router has just started and does not know what was admitted before. */
  isWarmingUp(nowMs: number): boolean;
  /** The router has stopped and admits nothing more. */
  noteStopped(router: string): void;
  /** Totals that changed since `sinceMs`, latest first. */
  usesSince(sinceMs: number, nowMs: number): QuotaUse[];
  /** Whether spending that is not announced yet could soon matter to other routers. */
  isUrgent(name: string, nowMs: number): boolean;
  /** All spending so far has been announced. */
  noteAnnounced(): void;
  /** Level of a workspace's bucket; undefined if it has no quota. */
  level(name: string, nowMs: number): number | undefined;
}

interface Bucket {
  quota: NamedQuota;
  level: number;
  refilledAtMs: number;
  /** Spending of this router that others may not know of yet. */
  unpropagated: number;
  /** Spending of this router since its last announcement. */
  unannounced: number;
  /** Largest cost of a single request so far. */
  largestCost: number;
}

interface AnnouncedLevel {
  level: number;
  atMs: number;
}

interface OwnUsage {
  sum: number;
  changedAtMs: number;
}

const msPerSecond = 1_000;
const noSlack: QuotaSlack = { windowMs: 0, overageShare: 0, amount: 0 };
/** From spending until other routers have applied it: coalescing, transit, and processing at the receiver. */
const propagationMs = 100;
/** Part of the slack for spending not yet propagated; the rest is for routers that are isolated or start. */
const propagationSlackShare = 0.5;
/** Part of the slack divided like the burst: without it, one of 24 routers could hold less than most model requests. */
const groupSlackShare = 0.25;
/** Spending is announced at once if the same by every router would use up this part of the remaining level. */
const urgentShare = 0.25;
/** Spreads the retries of requests refused together: up to this part is added to their waiting time. */
const retryJitter = 0.5;
const maxBuckets = 8_192;

export function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const { slack = noSlack, random = Math.random } = options;
  const buckets = new Map<string, Bucket>();
  const ownUsage = createBoundedMap<string, OwnUsage>({ maxEntries: maxBuckets });
  const routers = createQuotaRouters(options.nowMs);
  /** Levels announced for workspaces whose quota is not configured here yet. */
  const announcedLevels = createBoundedMap<string, AnnouncedLevel>({ maxEntries: maxBuckets });
  /** Levels were adopted from a router that was running before this one. */
  let hasAdoptedLevels = false;

  const rateOf = ({ quota }: Bucket) => quota.ratePerSecond * routers.shardShare();
  const burstOf = ({ quota }: Bucket) => quota.burst * routers.shardShare();

  /**
   * Routers that are isolated from the others have only their share of the burst and of the slack. One request must
   * fit, or callers would get a retry time at which there is never room.
   */
  function maxLevel(bucket: Bucket, nowMs: number): number {
    const burst = burstOf(bucket);
    const groupLevel = routers.reachableShare(nowMs) * (burst + groupSlackShare * slackOf(bucket));
    return Math.min(burst, Math.max(groupLevel, bucket.largestCost));
  }

  /** What all routers of the shard may admit in one window beyond rate and burst. */
  function slackOf({ quota }: Bucket): number {
    const allowed = (quota.ratePerSecond * slack.windowMs) / msPerSecond + quota.burst;
    return routers.shardShare() * (slack.overageShare * allowed + slack.amount);
  }

  function refillPerMs(bucket: Bucket, nowMs: number): number {
    return (rateOf(bucket) * routers.reachableShare(nowMs)) / msPerSecond;
  }

  function refill(bucket: Bucket, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
    const refilled = refillPerMs(bucket, nowMs) * elapsedMs;
    bucket.level = Math.min(maxLevel(bucket, nowMs), bucket.level + refilled);
    bucket.unpropagated = Math.max(
      0,
      bucket.unpropagated - (unpropagatedLimit(bucket, nowMs) * elapsedMs) / propagationMs,
    );
    bucket.refilledAtMs = nowMs;
  }

  function unpropagatedLimit(bucket: Bucket, nowMs: number): number {
    const count = routers.count(nowMs);
    return count === 1 && !routers.isWarmingUp(nowMs)
      ? Infinity
      : Math.max(burstOf(bucket), propagationSlackShare * slackOf(bucket)) / count;
  }

  /** Only a false announcement causes a debt beyond the slack: it must not lock a workspace out for long. */
  function debit(bucket: Bucket, amount: number, nowMs: number): void {
    refill(bucket, nowMs);
    const minLevel = -Math.max(slackOf(bucket), burstOf(bucket));
    bucket.level = Math.min(burstOf(bucket), Math.max(minLevel, bucket.level - amount));
  }

  function createBucket(quota: NamedQuota, nowMs: number): Bucket {
    const bucket: Bucket = {
      quota,
      level: 0,
      refilledAtMs: nowMs,
      unpropagated: 0,
      unannounced: 0,
      largestCost: 0,
    };
    bucket.level = routers.isWarmingUp(nowMs) ? initialLevel(bucket, nowMs) : burstOf(bucket);
    return bucket;
  }

  /** The level announced by an older router, or the shares of the known routers if all have started together. */
  function initialLevel(bucket: Bucket, nowMs: number): number {
    const announced = announcedLevels.get(bucket.quota.name);
    const currentLevel =
      announced === undefined
        ? burstOf(bucket)
        : announced.level + ((nowMs - announced.atMs) * rateOf(bucket)) / msPerSecond;
    return Math.min(maxLevel(bucket, nowMs), currentLevel);
  }

  function setQuotas(quotas: readonly NamedQuota[], nowMs: number): void {
    const wanted = new Set(quotas.map(({ name }) => name));
    [...buckets.keys()].filter((name) => !wanted.has(name)).forEach((name) => buckets.delete(name));
    quotas.slice(0, maxBuckets).forEach((quota) => {
      const bucket = buckets.get(quota.name);
      if (bucket === undefined) {
        buckets.set(quota.name, createBucket(quota, nowMs));
        return;
      }
      refill(bucket, nowMs);
      bucket.quota = quota;
      bucket.level = Math.min(bucket.level, burstOf(bucket));
    });
  }

  function take(name: string, cost: number, nowMs: number): QuotaDecision {
    const bucket = buckets.get(name);
    if (bucket !== undefined) {
      bucket.largestCost = Math.max(bucket.largestCost, cost);
      refill(bucket, nowMs);
      const decision = decide(bucket, cost, nowMs);
      if (decision.kind === 'limited') {
        return decision;
      }
    }
    spend(name, cost, nowMs);
    return { kind: 'admitted' };
  }

  function decide(bucket: Bucket, cost: number, nowMs: number): QuotaDecision {
    if (cost > burstOf(bucket)) {
      return { kind: 'limited' };
    }
    if (bucket.level < cost) {
      const waitMs = (cost - bucket.level) / refillPerMs(bucket, nowMs);
      return { kind: 'limited', retryAfterMs: waitMs * (1 + retryJitter * random()) };
    }
    const exceedsUnpropagated =
      bucket.unpropagated > 0 && bucket.unpropagated + cost > unpropagatedLimit(bucket, nowMs);
    return exceedsUnpropagated
      ? { kind: 'limited', retryAfterMs: propagationMs * (1 + retryJitter * random()) }
      : { kind: 'admitted' };
  }

  function spend(name: string, amount: number, nowMs: number): void {
    const use = ownUsage.get(name);
    ownUsage.set(name, { sum: (use?.sum ?? 0) + amount, changedAtMs: nowMs });
    const bucket = buckets.get(name);
    if (bucket !== undefined) {
      debit(bucket, amount, nowMs);
      bucket.unpropagated = Math.max(0, bucket.unpropagated + amount);
      bucket.unannounced += amount;
    }
  }

  /** Spending that was debited in advance for a router while it was unreachable. */
  function assumedSpending(
    bucket: Bucket,
    { assumedSpendingMs }: QuotaRouter,
    nowMs: number,
  ): number {
    return (assumedSpendingMs * rateOf(bucket)) / routers.count(nowMs) / msPerSecond;
  }

  /** Called before an unreachable router counts as reachable again: until now its even share was set aside. */
  function refillAll(nowMs: number): void {
    buckets.forEach((bucket) => refill(bucket, nowMs));
  }

  function applyUse({ name, sum }: QuotaUse, router: QuotaRouter, nowMs: number): void {
    const increase = sum - (router.sums.get(name) ?? 0);
    router.sums.set(name, sum);
    const bucket = buckets.get(name);
    if (bucket === undefined) {
      adjustAnnouncedLevel(name, -increase);
    } else {
      debit(
        bucket,
        increase > 0 ? Math.max(0, increase - assumedSpending(bucket, router, nowMs)) : increase,
        nowMs,
      );
    }
  }

  /** An older router's level includes all spending except what this router has not announced yet. */
  function adoptLevel({ name, sum, level }: QuotaUse, router: QuotaRouter, nowMs: number): void {
    router.sums.set(name, sum);
    const bucket = buckets.get(name);
    if (level === undefined) {
      return;
    }
    if (bucket === undefined) {
      announcedLevels.set(name, { level, atMs: nowMs });
      return;
    }
    refill(bucket, nowMs);
    const remaining = level - bucket.unannounced;
    bucket.level =
      routers.isWarmingUp(nowMs) && !hasAdoptedLevels
        ? remaining
        : Math.min(bucket.level, remaining);
  }

  function adjustAnnouncedLevel(name: string, change: number): void {
    const announced = announcedLevels.get(name);
    if (announced !== undefined) {
      announced.level += change;
    }
  }

  /** Routers that start together pool their shares of the burst. */
  function addNewRouterBurst(nowMs: number): void {
    buckets.forEach((bucket) => {
      refill(bucket, nowMs);
      const contribution = burstOf(bucket) / routers.count(nowMs);
      bucket.level = Math.min(maxLevel(bucket, nowMs), bucket.level + contribution);
    });
  }

  function applyRemote(
    { router: address, life: incarnation, isYoung: isSenderWarmingUp, uses }: QuotaAnnouncement,
    nowMs: number,
  ): void {
    const previousIncarnation = routers.get(address)?.incarnation;
    const isNewIncarnation = previousIncarnation !== incarnation;
    const router = noteContact(address, nowMs);
    if (isNewIncarnation) {
      routers.noteIncarnation(address, incarnation);
    }
    if (isNewIncarnation && isSenderWarmingUp && routers.isWarmingUp(nowMs) && !hasAdoptedLevels) {
      addNewRouterBurst(nowMs);
    }
    const isOlderRouter = previousIncarnation === undefined && !isSenderWarmingUp;
    const applyOne = isOlderRouter ? adoptLevel : applyUse;
    uses.slice(0, maxBuckets).forEach((use) => applyOne(use, router, nowMs));
    hasAdoptedLevels ||= isOlderRouter;
    router.assumedSpendingMs = 0;
  }

  function noteContact(address: string, nowMs: number): QuotaRouter {
    if (routers.isSilent(address, nowMs)) {
      refillAll(nowMs);
    }
    return routers.noteContact(address, nowMs);
  }

  function levelOf(name: string, nowMs: number): number | undefined {
    const bucket = buckets.get(name);
    if (bucket === undefined) {
      return undefined;
    }
    refill(bucket, nowMs);
    return bucket.level;
  }

  function levelToAnnounce(name: string, nowMs: number): number | undefined {
    return routers.isWarmingUp(nowMs) ? undefined : levelOf(name, nowMs);
  }

  return {
    setQuotas,
    setRouters: routers.set,
    take,
    refund: (name, cost, nowMs) => spend(name, -cost, nowMs),
    noteContact,
    applyRemote,
    isWarmingUp: routers.isWarmingUp,
    noteStopped: routers.noteStopped,
    usesSince: (sinceMs, nowMs) =>
      [...ownUsage.entries()]
        .filter(([, { changedAtMs }]) => changedAtMs >= sinceMs)
        .reverse()
        .map(([name, { sum }]) => ({ name, sum, level: levelToAnnounce(name, nowMs) })),
    isUrgent(name, nowMs) {
      const bucket = buckets.get(name);
      const shardUnannounced = (bucket?.unannounced ?? 0) * routers.count(nowMs);
      return bucket !== undefined && shardUnannounced > urgentShare * Math.max(0, bucket.level);
    },
    noteAnnounced: () =>
      buckets.forEach((bucket) => {
        bucket.unannounced = 0;
      }),
    level: levelOf,
  };
}
