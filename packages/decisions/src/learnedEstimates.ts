/**
 * Estimates of one quantity by server, such as its speed, learned from own samples and from peers' summaries. Samples
 * lose weight with their age and expire, so that a server whose last samples are old counts as unknown again. Times are
 * monotonic.
 */
import { createBoundedMap } from './boundedMap';

/** What one router knows of one server. */
export interface EstimateSummary {
  serverId: string;
  value: number;
  /** Weight of the samples behind it. */
  weight: number;
  /** Time since the newest sample. */
  ageMs: number;
}

export interface LearnedEstimatesOptions {
  /** Weight of a new sample against older ones of this router, in (0, 1]. */
  smoothing?: number;
  /** Samples older than this are not used. */
  lifetimeMs?: number;
  /** Age at which a sample has lost half of its weight. */
  halfLifeMs?: number;
  maxServers?: number;
  /** Upper bound of the peers whose summaries are kept for one server. */
  maxPeers?: number;
}

export interface LearnedEstimates {
  /** Adds a sample; values that are not finite are ignored. */
  observe(serverId: string, value: number, nowMs: number): void;
  /** Replaces what this peer has told of these servers. */
  applyRemote(peerAddress: string, summaries: readonly EstimateSummary[], nowMs: number): void;
  dropPeer(peerAddress: string): void;
  /** Own and peers' samples, weighted by their number and age; undefined if none is recent enough. */
  estimate(serverId: string, nowMs: number): number | undefined;
  /** Median over the servers with an estimate, up to 100 ms old; undefined if there is none. */
  typical(nowMs: number): number | undefined;
  /** This router's own summaries with samples newer than `sinceMs`. */
  ownSince(sinceMs: number, nowMs: number): EstimateSummary[];
  forget(serverId: string): void;
}

interface WeightedMean {
  value: number;
  weight: number;
  /** When the newest sample was taken. */
  sampledAtMs: number;
}

interface ServerEstimates {
  own?: WeightedMean;
  peers: Map<string, WeightedMean>;
}

const defaultLifetimeMs = 30_000;
const defaultHalfLifeMs = 5_000;
const defaultSmoothing = 0.25;
const defaultMaxServers = 4_096;
const defaultMaxPeers = 128;
/** The median is over all servers, so it is not computed for each request. */
const typicalRefreshMs = 100;

export function createLearnedEstimates(options: LearnedEstimatesOptions = {}): LearnedEstimates {
  const { smoothing = defaultSmoothing, lifetimeMs = defaultLifetimeMs } = options;
  const { halfLifeMs = defaultHalfLifeMs, maxPeers = defaultMaxPeers } = options;
  const { maxServers = defaultMaxServers } = options;
  const servers = createBoundedMap<string, ServerEstimates>({ maxEntries: maxServers });
  let lastTypical: { value: number; computedAtMs: number } | undefined;

  const create = (): ServerEstimates => ({ peers: new Map() });

  function weightAt({ weight, sampledAtMs }: WeightedMean, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - sampledAtMs);
    return ageMs > lifetimeMs ? 0 : weight * 0.5 ** (ageMs / halfLifeMs);
  }

  function observe(serverId: string, value: number, nowMs: number): void {
    if (!Number.isFinite(value)) {
      return;
    }
    const server = servers.getOrCreate(serverId, create);
    const before = server.own;
    const oldWeight = before === undefined ? 0 : (1 - smoothing) * weightAt(before, nowMs);
    const weight = oldWeight + 1;
    const mean = ((before?.value ?? 0) * oldWeight + value) / weight;
    server.own = { value: mean, weight, sampledAtMs: nowMs };
  }

  function applySummary(peerAddress: string, summary: EstimateSummary, nowMs: number): void {
    const { serverId, value, weight, ageMs } = summary;
    if (!Number.isFinite(value) || weight <= 0 || ageMs > lifetimeMs) {
      return;
    }
    const { peers } = servers.getOrCreate(serverId, create);
    peers.delete(peerAddress);
    // A sender can't be newer than its message, nor outweigh a router whose every sample is recent.
    const sampledAtMs = nowMs - Math.max(0, ageMs);
    peers.set(peerAddress, { value, weight: Math.min(weight, 1 / smoothing), sampledAtMs });
    if (peers.size > maxPeers) {
      [...peers.keys()].slice(0, 1).forEach((oldest) => peers.delete(oldest));
    }
  }

  function mergedValue({ own, peers }: ServerEstimates, nowMs: number): number | undefined {
    let weights = 0;
    let sum = 0;
    const add = (mean: WeightedMean) => {
      const weight = weightAt(mean, nowMs);
      weights += weight;
      sum += weight * mean.value;
    };
    peers.forEach(add);
    if (own !== undefined) {
      add(own);
    }
    return weights > 0 ? sum / weights : undefined;
  }

  /** Drops what has expired, so that servers and peers that are gone leave nothing behind. */
  function prune(nowMs: number): void {
    [...servers.entries()].forEach(([serverId, server]) => {
      [...server.peers].forEach(([address, mean]) => {
        if (weightAt(mean, nowMs) === 0) {
          server.peers.delete(address);
        }
      });
      if (server.own !== undefined && weightAt(server.own, nowMs) === 0) {
        server.own = undefined;
      }
      if (server.own === undefined && server.peers.size === 0) {
        servers.delete(serverId);
      }
    });
  }

  function typical(nowMs: number): number | undefined {
    if (lastTypical !== undefined && nowMs - lastTypical.computedAtMs < typicalRefreshMs) {
      return lastTypical.value;
    }
    prune(nowMs);
    const value = median(
      [...servers.entries()].flatMap(([, server]) => mergedValue(server, nowMs) ?? []),
    );
    lastTypical = value === undefined ? undefined : { value, computedAtMs: nowMs };
    return value;
  }

  return {
    observe,
    applyRemote: (peerAddress, summaries, nowMs) =>
      summaries.forEach((summary) => applySummary(peerAddress, summary, nowMs)),
    dropPeer: (peerAddress) =>
      [...servers.entries()].forEach(([, { peers }]) => peers.delete(peerAddress)),
    estimate(serverId, nowMs) {
      const server = servers.get(serverId);
      return server === undefined ? undefined : mergedValue(server, nowMs);
    },
    typical,
    ownSince: (sinceMs, nowMs) =>
      [...servers.entries()].flatMap(([serverId, { own }]) =>
        own === undefined || own.sampledAtMs <= sinceMs || nowMs - own.sampledAtMs > lifetimeMs
          ? []
          : [{ serverId, value: own.value, weight: own.weight, ageMs: nowMs - own.sampledAtMs }],
      ),
    forget: (serverId) => {
      servers.delete(serverId);
    },
  };
}

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  const upper = Math.floor(sorted.length / 2);
  const lower = Math.floor((sorted.length - 1) / 2);
  const [low, high] = [sorted[lower], sorted[upper]];
  return low === undefined || high === undefined ? undefined : (low + high) / 2;
}
