/** Strategies by which routers can enforce a shared quota; a replay compares them under the same loads. */
import {
  createSharedPermits,
  createSharedQuota,
  shareByDemand,
  type Quota,
  type QuotaAnnouncement,
  type QuotaSlack,
  type QuotaUse,
} from '@bluebellhitch/decisions';

export const quotaStrategies = {
  /** One token bucket, replicated at all routers: the strategy that the router uses for quotas. */
  account: 'account',
  /** Each router enforces an even share of rate and burst. */
  evenShares: 'even-shares',
  /** Each router enforces a share proportional to its demand. */
  demandShares: 'demand-shares',
  /** Admits first, counts afterwards in a rolling window, and refuses while the window is full. */
  blockLater: 'block-later',
  /**
   * Only a few routers issue permits and admit: the router's strategy for limits of servers, without permit requests.
   */
  fewRouters: 'few-routers',
  /** As before, and the other routers request a permit from one of the issuers for each request. */
  permits: 'permits',
} as const;
export type QuotaStrategy = (typeof quotaStrategies)[keyof typeof quotaStrategies];

export interface QuotaLimiterOptions {
  nowMs: number;
  slack: QuotaSlack;
  /** Addresses of the routers in this router's shard, including its own. */
  routers: readonly string[];
  /** Addresses of the routers in all shards. */
  allRouters: readonly string[];
  ownAddress: string;
  random: () => number;
}

/** One router's side of a strategy. */
export interface QuotaLimiter {
  setLimit(limit: Quota, nowMs: number): void;
  take(cost: number, nowMs: number): boolean;
  isUrgent(nowMs: number): boolean;
  /** Uses to announce to the other routers. */
  collectUses(nowMs: number): QuotaUse[];
  isWarmingUp(nowMs: number): boolean;
  applyRemote(announcement: QuotaAnnouncement, nowMs: number): void;
  /** Routers that can issue a permit to this one. */
  issuers?(nowMs: number): readonly string[];
  /** Issues a permit for one request of another router. */
  grant?(nowMs: number): boolean;
}

const workspace = 'w';
const repeatWindowMs = 4_000;
const msPerSecond = 1_000;

export function createQuotaLimiter(
  strategy: QuotaStrategy,
  options: QuotaLimiterOptions,
): QuotaLimiter {
  switch (strategy) {
    case quotaStrategies.account:
      return createTokenBucketLimiter(options);
    case quotaStrategies.evenShares:
      return createEvenShareLimiter(options);
    case quotaStrategies.demandShares:
      return createDemandShareLimiter(options);
    case quotaStrategies.blockLater:
      return createRollingWindowLimiter(options);
    case quotaStrategies.fewRouters:
      return { ...createPermitLimiter(options), issuers: () => [] };
    case quotaStrategies.permits:
      return createPermitLimiter(options);
  }
}

function createTokenBucketLimiter(options: QuotaLimiterOptions): QuotaLimiter {
  const { nowMs, slack, routers, allRouters, ownAddress, random } = options;
  const quota = createSharedQuota({ nowMs, slack, random });
  const others = routers.filter((router) => router !== ownAddress);
  quota.setRouters(others, allRouters.length);
  return {
    setLimit: (limit, atMs) => quota.setQuotas([{ name: workspace, ...limit }], atMs),
    take: (cost, atMs) => quota.take(workspace, cost, atMs).kind === 'admitted',
    isUrgent: (atMs) => quota.isUrgent(workspace, atMs),
    collectUses(atMs) {
      quota.noteAnnounced();
      return quota.usesSince(atMs - repeatWindowMs, atMs);
    },
    isWarmingUp: quota.isWarmingUp,
    applyRemote: quota.applyRemote,
  };
}

interface Bucket {
  take(cost: number, nowMs: number, share: number): boolean;
  setLimit(limit: Quota): void;
}

function createBucket(startMs: number): Bucket {
  let quota: Quota = { ratePerSecond: 0, burst: 0 };
  let level = Infinity;
  let filledAtMs = startMs;
  return {
    setLimit(limit) {
      quota = limit;
    },
    take(cost, nowMs, share) {
      const refill = ((nowMs - filledAtMs) * quota.ratePerSecond * share) / msPerSecond;
      // With a share smaller than the cost of one request, the request could never be admitted.
      level = Math.min(Math.max(quota.burst * share, cost), level + refill);
      filledAtMs = nowMs;
      if (level < cost) {
        return false;
      }
      level -= cost;
      return true;
    },
  };
}

function createEvenShareLimiter({ nowMs, allRouters }: QuotaLimiterOptions): QuotaLimiter {
  const bucket = createBucket(nowMs);
  return {
    setLimit: bucket.setLimit,
    take: (cost, atMs) => bucket.take(cost, atMs, 1 / allRouters.length),
    isUrgent: () => false,
    collectUses: () => [],
    isWarmingUp: () => false,
    applyRemote: () => undefined,
  };
}

const demandWindowMs = 1_000;
const demandLifetimeMs = 10_000;

function createDemandShareLimiter({ nowMs, routers }: QuotaLimiterOptions): QuotaLimiter {
  const bucket = createBucket(nowMs);
  const peerAnnouncements = new Map<string, { demand: number; atMs: number }>();
  let rate = 1;
  let demand = 0;
  let lastRequestAtMs = nowMs;
  const decayed = (atMs: number) => demand * Math.exp((lastRequestAtMs - atMs) / demandWindowMs);
  return {
    setLimit(limit) {
      rate = limit.ratePerSecond;
      bucket.setLimit(limit);
    },
    take(cost, atMs) {
      demand = decayed(atMs) + (cost * msPerSecond) / demandWindowMs;
      lastRequestAtMs = atMs;
      const peerDemands = [...peerAnnouncements.values()]
        .filter((peer) => peer.atMs > atMs - demandLifetimeMs)
        .map((peer) => peer.demand);
      const share =
        shareByDemand({
          requestsPerSecond: rate,
          ownDemand: demand,
          peerDemands,
          entryCount: routers.length,
        }) / rate;
      return bucket.take(cost, atMs, share);
    },
    isUrgent: () => false,
    collectUses: (atMs) => [{ name: workspace, sum: decayed(atMs) }],
    isWarmingUp: () => false,
    applyRemote({ router, uses }, atMs) {
      peerAnnouncements.set(router, { demand: uses[0]?.sum ?? 0, atMs });
    },
  };
}

function createRollingWindowLimiter({ slack }: QuotaLimiterOptions): QuotaLimiter {
  /** Admissions of all routers, with the time at which this router learned of them. */
  const admissions: { atMs: number; amount: number }[] = [];
  const peerSums = new Map<string, { incarnation: string; sum: number }>();
  let limit = Infinity;
  let ownSum = 0;
  const record = (amount: number, atMs: number) => admissions.push({ atMs, amount });
  return {
    setLimit({ ratePerSecond, burst }) {
      limit = (ratePerSecond * slack.windowMs) / msPerSecond + burst;
    },
    take(cost, atMs) {
      const fromMs = atMs - slack.windowMs;
      while ((admissions[0]?.atMs ?? Infinity) < fromMs) {
        admissions.shift();
      }
      const inWindow = admissions.reduce((sum, { amount }) => sum + amount, 0);
      if (inWindow >= limit) {
        return false;
      }
      ownSum += cost;
      record(cost, atMs);
      return true;
    },
    isUrgent: () => true,
    collectUses: () => [{ name: workspace, sum: ownSum }],
    isWarmingUp: () => false,
    applyRemote({ router, life: incarnation, uses }, atMs) {
      const before = peerSums.get(router);
      const sum = uses[0]?.sum ?? 0;
      const baseSum = before?.incarnation === incarnation ? before.sum : 0;
      peerSums.set(router, { incarnation, sum });
      record(Math.max(0, sum - baseSum), atMs);
    },
  };
}

const server = 's';

/** Counts requests, regardless of their cost. */
function createPermitLimiter(options: QuotaLimiterOptions): QuotaLimiter {
  const { nowMs, allRouters, ownAddress, random } = options;
  const permits = createSharedPermits({ nowMs, random });
  permits.setRouters(ownAddress, allRouters, nowMs);
  return {
    setLimit({ ratePerSecond }, atMs) {
      permits.note(server, ratePerSecond, atMs);
    },
    take: (_cost, atMs) => permits.take(server, atMs),
    isUrgent: () => false,
    collectUses: () => [],
    isWarmingUp: () => false,
    applyRemote: () => undefined,
    issuers: (atMs) => permits.issuers(server, atMs),
    grant: (atMs) => permits.grant(server, atMs),
  };
}
