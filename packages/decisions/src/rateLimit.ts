/**
 * Limits a class's request rate over all entries without a call per request. Each entry fills its own
 * token bucket at its share of the rate: the even share, unless entries' demands are known, in which
 * case an entry that asks for less leaves the rest to the others (max-min fairness).
 */
import { createBoundedMap } from './boundedMap';

export interface RateLimit {
  /** Over all entries. */
  requestsPerSecond: number;
  /** Requests above the rate at once, over all entries; default one second's worth. */
  burst?: number;
}

export interface RateQuery {
  /** Names the bucket, for example by `rateKey`. */
  key: string;
  limit: RateLimit;
  nowMs: number;
}

export type RateDecision = { kind: 'admitted' } | { kind: 'limited'; retryAfterMs: number };

export interface RateLimiterOptions {
  /** Entries by the instance list, this one included. */
  entryCount?: number;
  maxBuckets?: number;
  /** A peer's report counts for this long. */
  demandLifetimeMs?: number;
}

export interface RateLimiter {
  take(query: RateQuery): RateDecision;
  setEntryCount(entryCount: number): void;
  /** What a peer was asked for lately, where peers tell each other. */
  reportDemand(peerId: string, key: string, requestsPerSecond: number, nowMs: number): void;
  /** What this entry was asked for lately, admitted or not: its report to peers. */
  demand(key: string, nowMs: number): number;
  size(): number;
}

export interface DemandShareOptions {
  requestsPerSecond: number;
  ownDemand: number;
  /** Demands of the peers that reported; the others are taken to want an even share. */
  peerDemands: readonly number[];
  entryCount: number;
}

interface Bucket {
  tokens: number;
  /** This entry's part of the rate, in (0, 1]. */
  share: number;
  shareUntilMs: number;
  refilledAtMs: number;
  demandPerSecond: number;
  peers: ReturnType<typeof createPeerDemands>;
}

interface PeerDemand {
  requestsPerSecond: number;
  reportedAtMs: number;
}

const demandWindowMs = 1_000;
const shareLifetimeMs = 250;
const maxPeersPerBucket = 512;

export function rateKey(institution: string, service: string, className: string): string {
  return `${institution}\u0000${service}\u0000${className}`;
}

export function createRateLimiter(options: RateLimiterOptions = {}): RateLimiter {
  const { maxBuckets = 8192, demandLifetimeMs = 10_000 } = options;
  let entryCount = Math.max(1, options.entryCount ?? 1);
  const buckets = createBoundedMap<string, Bucket>({ maxEntries: maxBuckets });

  /** Computed now and then only: it looks at every peer. */
  function updateShare(bucket: Bucket, limit: RateLimit, nowMs: number): void {
    if (nowMs < bucket.shareUntilMs) {
      return;
    }
    const { requestsPerSecond } = limit;
    const peerDemands = bucket.peers.recent(nowMs - demandLifetimeMs);
    const ownDemand = decayedDemand(bucket, nowMs);
    const ratePerSecond = shareByDemand({ requestsPerSecond, ownDemand, peerDemands, entryCount });
    bucket.share = ratePerSecond / requestsPerSecond;
    bucket.shareUntilMs = nowMs + shareLifetimeMs;
  }

  function take({ key, limit, nowMs }: RateQuery): RateDecision {
    const bucket = buckets.getOrCreate(key, () => createBucket(nowMs));
    countDemand(bucket, nowMs);
    updateShare(bucket, limit, nowMs);
    const ratePerSecond = bucket.share * limit.requestsPerSecond;
    const capacity = Math.max(1, bucket.share * (limit.burst ?? limit.requestsPerSecond));
    refill(bucket, ratePerSecond, capacity, nowMs);
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return { kind: 'admitted' };
    }
    return { kind: 'limited', retryAfterMs: ((1 - bucket.tokens) / ratePerSecond) * 1_000 };
  }

  return {
    take,
    setEntryCount: (count) => {
      entryCount = Math.max(1, count);
      [...buckets.entries()].forEach(([, bucket]) => {
        bucket.shareUntilMs = -Infinity;
      });
    },
    reportDemand: (peerId, key, requestsPerSecond, nowMs) => {
      const bucket = buckets.getOrCreate(key, () => createBucket(nowMs));
      bucket.peers.report(peerId, { requestsPerSecond, reportedAtMs: nowMs });
    },
    demand: (key, nowMs) => {
      const bucket = buckets.get(key);
      return bucket === undefined ? 0 : decayedDemand(bucket, nowMs);
    },
    size: () => buckets.size(),
  };
}

/**
 * This entry's part of the rate by max-min fairness. Entries that know the same demands take at most
 * the rate together. Everyone keeps at least half of the even share, so that new demand is not
 * refused until the next reports, and what nobody asks for is split evenly.
 */
export function shareByDemand(options: DemandShareOptions): number {
  const { requestsPerSecond, ownDemand, peerDemands, entryCount } = options;
  const evenShare = requestsPerSecond / entryCount;
  const known = peerDemands.slice(0, entryCount - 1);
  if (known.length === 0) {
    return evenShare;
  }
  const silentCount = entryCount - 1 - known.length;
  const atLeastHalf = (demand: number) => Math.max(demand, evenShare / 2);
  const demands = [
    atLeastHalf(ownDemand),
    ...known.map(atLeastHalf),
    ...Array.from({ length: silentCount }, () => evenShare),
  ];
  const level = maxMinLevel(demands, requestsPerSecond);
  const granted = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
  const spare = Math.max(0, requestsPerSecond - granted) / entryCount;
  return Math.min(atLeastHalf(ownDemand), level) + spare;
}

/** The level at which demands, cut off at it, add up to `capacity`; infinite where they fit. */
function maxMinLevel(demands: readonly number[], capacity: number): number {
  const ascending = [...demands].sort((left, right) => left - right);
  let remaining = capacity;
  const limited = ascending.findIndex((demand, index) => {
    const level = remaining / (ascending.length - index);
    if (demand > level) {
      return true;
    }
    remaining -= demand;
    return false;
  });
  return limited === -1 ? Infinity : remaining / (ascending.length - limited);
}

function createBucket(nowMs: number): Bucket {
  return {
    tokens: Infinity,
    share: 1,
    shareUntilMs: -Infinity,
    refilledAtMs: nowMs,
    demandPerSecond: 0,
    peers: createPeerDemands(),
  };
}

function createPeerDemands() {
  const demands = createBoundedMap<string, PeerDemand>({ maxEntries: maxPeersPerBucket });
  return {
    report: (peerId: string, demand: PeerDemand) => demands.set(peerId, demand),
    recent: (sinceMs: number) =>
      [...demands.entries()]
        .filter(([, demand]) => demand.reportedAtMs >= sinceMs)
        .map(([, demand]) => demand.requestsPerSecond),
  };
}

function refill(bucket: Bucket, ratePerSecond: number, capacity: number, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  bucket.tokens = Math.min(capacity, bucket.tokens + (elapsedMs / 1_000) * ratePerSecond);
  bucket.refilledAtMs = nowMs;
}

/** Called before `refill`, which moves the time that the decay counts from. */
function countDemand(bucket: Bucket, nowMs: number): void {
  bucket.demandPerSecond = decayedDemand(bucket, nowMs) + 1_000 / demandWindowMs;
}

function decayedDemand(bucket: Bucket, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  return bucket.demandPerSecond * Math.exp(-elapsedMs / demandWindowMs);
}
