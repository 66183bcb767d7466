/** Ways in which routers may keep a quota together; they are compared by the same loads. */
import {
  createSharedPermits,
  createSharedQuota,
  shareByDemand,
  type Quota,
  type QuotaAnnouncement,
  type QuotaSlack,
  type QuotaUse,
} from '@bluebellhitch/decisions';

export const quotaWays = {
  /** One account, kept by all: the router's own way. */
  account: 'account',
  /** Each router has an even share of rate and burst. */
  evenShares: 'even-shares',
  /** Shares by what each router is asked for. */
  demandShares: 'demand-shares',
  /** Let through, count behind the request in a rolling window, and refuse while the window is full. */
  blockLater: 'block-later',
  /** A few routers admit, and the others do not: the router's own way where servers name limits, without its questions. */
  fewRouters: 'few-routers',
  /** The same, and the others ask one of the few for each request. */
  permits: 'permits',
} as const;
export type QuotaWay = (typeof quotaWays)[keyof typeof quotaWays];

export interface WayOptions {
  nowMs: number;
  slack: QuotaSlack;
  /** Addresses of the routers of this one's part, this one's too. */
  routers: readonly string[];
  /** Of all parts. */
  allRouters: readonly string[];
  ownAddress: string;
  random: () => number;
}

/** One router's part of a way. */
export interface QuotaKeeper {
  setLimit(limit: Quota, nowMs: number): void;
  take(cost: number, nowMs: number): boolean;
  isUrgent(nowMs: number): boolean;
  /** What the others are told. */
  tell(nowMs: number): QuotaUse[];
  isYoung(nowMs: number): boolean;
  hear(news: QuotaAnnouncement, nowMs: number): void;
  /** Routers that may admit for this one. */
  issuers?(nowMs: number): readonly string[];
  /** Admits one request for another router. */
  grant?(nowMs: number): boolean;
}

const workspace = 'w';
const repeatMs = 4_000;
const msPerSecond = 1_000;

export function createQuotaKeeper(way: QuotaWay, options: WayOptions): QuotaKeeper {
  switch (way) {
    case quotaWays.account:
      return createAccountKeeper(options);
    case quotaWays.evenShares:
      return createShareKeeper(options);
    case quotaWays.demandShares:
      return createDemandKeeper(options);
    case quotaWays.blockLater:
      return createWindowKeeper(options);
    case quotaWays.fewRouters:
      return { ...createPermitKeeper(options), issuers: () => [] };
    case quotaWays.permits:
      return createPermitKeeper(options);
  }
}

function createAccountKeeper(options: WayOptions): QuotaKeeper {
  const { nowMs, slack, routers, allRouters, ownAddress, random } = options;
  const quota = createSharedQuota({ nowMs, slack, random });
  const others = routers.filter((router) => router !== ownAddress);
  quota.setRouters(others, allRouters.length);
  return {
    setLimit: (limit, atMs) => quota.setQuotas([{ name: workspace, ...limit }], atMs),
    take: (cost, atMs) => quota.take(workspace, cost, atMs).kind === 'admitted',
    isUrgent: (atMs) => quota.isUrgent(workspace, atMs),
    tell(atMs) {
      quota.noteAnnounced();
      return quota.usesSince(atMs - repeatMs, atMs);
    },
    isYoung: quota.isWarmingUp,
    hear: quota.applyRemote,
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
      const more = ((nowMs - filledAtMs) * quota.ratePerSecond * share) / msPerSecond;
      // A share below one request would never let it through.
      level = Math.min(Math.max(quota.burst * share, cost), level + more);
      filledAtMs = nowMs;
      if (level < cost) {
        return false;
      }
      level -= cost;
      return true;
    },
  };
}

function createShareKeeper({ nowMs, allRouters }: WayOptions): QuotaKeeper {
  const bucket = createBucket(nowMs);
  return {
    setLimit: bucket.setLimit,
    take: (cost, atMs) => bucket.take(cost, atMs, 1 / allRouters.length),
    isUrgent: () => false,
    tell: () => [],
    isYoung: () => false,
    hear: () => undefined,
  };
}

const demandWindowMs = 1_000;
const demandLifetimeMs = 10_000;

function createDemandKeeper({ nowMs, routers }: WayOptions): QuotaKeeper {
  const bucket = createBucket(nowMs);
  const heard = new Map<string, { demand: number; atMs: number }>();
  let rate = 1;
  let demand = 0;
  let askedAtMs = nowMs;
  const decayed = (atMs: number) => demand * Math.exp((askedAtMs - atMs) / demandWindowMs);
  return {
    setLimit(limit) {
      rate = limit.ratePerSecond;
      bucket.setLimit(limit);
    },
    take(cost, atMs) {
      demand = decayed(atMs) + (cost * msPerSecond) / demandWindowMs;
      askedAtMs = atMs;
      const peerDemands = [...heard.values()]
        .filter((told) => told.atMs > atMs - demandLifetimeMs)
        .map((told) => told.demand);
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
    tell: (atMs) => [{ name: workspace, sum: decayed(atMs) }],
    isYoung: () => false,
    hear({ router, uses }, atMs) {
      heard.set(router, { demand: uses[0]?.sum ?? 0, atMs });
    },
  };
}

function createWindowKeeper({ slack }: WayOptions): QuotaKeeper {
  /** What was admitted by anyone, when it became known here. */
  const known: { atMs: number; amount: number }[] = [];
  const sums = new Map<string, { life: string; sum: number }>();
  let limit = Infinity;
  let own = 0;
  const add = (amount: number, atMs: number) => known.push({ atMs, amount });
  return {
    setLimit({ ratePerSecond, burst }) {
      limit = (ratePerSecond * slack.windowMs) / msPerSecond + burst;
    },
    take(cost, atMs) {
      const fromMs = atMs - slack.windowMs;
      while ((known[0]?.atMs ?? Infinity) < fromMs) {
        known.shift();
      }
      const inWindow = known.reduce((sum, { amount }) => sum + amount, 0);
      if (inWindow >= limit) {
        return false;
      }
      own += cost;
      add(cost, atMs);
      return true;
    },
    isUrgent: () => true,
    tell: () => [{ name: workspace, sum: own }],
    isYoung: () => false,
    hear({ router, life, uses }, atMs) {
      const before = sums.get(router);
      const sum = uses[0]?.sum ?? 0;
      const baseSum = before?.life === life ? before.sum : 0;
      sums.set(router, { life, sum });
      add(Math.max(0, sum - baseSum), atMs);
    },
  };
}

const server = 's';

/** Counts requests, whatever they cost. */
function createPermitKeeper(options: WayOptions): QuotaKeeper {
  const { nowMs, allRouters, ownAddress, random } = options;
  const permits = createSharedPermits({ nowMs, random });
  permits.setRouters(ownAddress, allRouters, nowMs);
  return {
    setLimit({ ratePerSecond }, atMs) {
      permits.note(server, ratePerSecond, atMs);
    },
    take: (_cost, atMs) => permits.take(server, atMs),
    isUrgent: () => false,
    tell: () => [],
    isYoung: () => false,
    hear: () => undefined,
    issuers: (atMs) => permits.issuers(server, atMs),
    grant: (atMs) => permits.grant(server, atMs),
  };
}
