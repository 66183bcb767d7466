/**
 * Limits a class's request rate over all entries without a call per request. Each entry refills its own
 * token bucket at its share of the rate: an even share, or, where the demand of other entries is known,
 * its max-min fair share, in which an entry with less demand leaves the rest to the others.
 */
import { createBoundedMap } from './boundedMap';

export interface RateLimit {
  /** Total over all entries. */
  requestsPerSecond: number;
  /** Bucket size over all entries; by default the requests of one second. */
  burst?: number;
}

export interface RateQuery {
  /** Identifies the bucket; see `rateKey`. */
  key: string;
  limit: RateLimit;
  nowMs: number;
}

export type RateDecision = { kind: 'admitted' } | { kind: 'limited'; retryAfterMs: number };

export interface RateLimiterOptions {
  /** Number of entries in the instance list, this one included. */
  entryCount?: number;
  maxBuckets?: number;
  /** A peer's demand report expires after this time. */
  demandLifetimeMs?: number;
}

export interface RateLimiter {
  take(query: RateQuery): RateDecision;
  setEntryCount(entryCount: number): void;
  /** Records the recent demand that a peer reported. */
  reportDemand(peerId: string, key: string, requestsPerSecond: number, nowMs: number): void;
  /** Recent demand at this entry in requests per second, admitted or not: what it reports to peers. */
  demand(key: string, nowMs: number): number;
  size(): number;
}

export interface DemandShareOptions {
  requestsPerSecond: number;
  ownDemand: number;
  /** Demands of the peers that reported; the others are assumed to need an even share. */
  peerDemands: readonly number[];
  entryCount: number;
}

interface Bucket {
  tokens: number;
  /** This entry's share of the rate, in (0, 1]. */
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

  /** Recomputed only every `shareLifetimeMs`, since it visits every peer. */
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
 * Computes this entry's max-min fair share of the rate. Entries that know the same demands together take
 * at most the rate. Each entry keeps at least half of its even share, so that new demand is not refused
 * until the next reports, and capacity without demand is divided evenly.
 */
export function shareByDemand(options: DemandShareOptions): number {
  const { requestsPerSecond, ownDemand, peerDemands, entryCount } = options;
  const evenShare = requestsPerSecond / entryCount;
  const known = peerDemands.slice(0, entryCount - 1);
  if (known.length === 0) {
    return evenShare;
  }
  const silentCount = entryCount - 1 - known.length;
  const withMinimum = (demand: number) => Math.max(demand, evenShare / 2);
  const demands = [
    withMinimum(ownDemand),
    ...known.map(withMinimum),
    ...Array.from({ length: silentCount }, () => evenShare),
  ];
  const fairLevel = maxMinLevel(demands, requestsPerSecond);
  const granted = demands.reduce((sum, demand) => sum + Math.min(demand, fairLevel), 0);
  const spare = Math.max(0, requestsPerSecond - granted) / entryCount;
  return Math.min(withMinimum(ownDemand), fairLevel) + spare;
}

/** The cap at which the capped demands add up to `capacity`; infinite if they all fit. */
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

/** Must be called before `refill`, which resets the time from which the demand decays. */
function countDemand(bucket: Bucket, nowMs: number): void {
  bucket.demandPerSecond = decayedDemand(bucket, nowMs) + 1_000 / demandWindowMs;
}

function decayedDemand(bucket: Bucket, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  return bucket.demandPerSecond * Math.exp(-elapsedMs / demandWindowMs);
}
