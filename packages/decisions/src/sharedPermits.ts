/**
 * Keeps requests to an overloaded backend server below the rate that it names, over all routers together. Guards
 * against overload of a server by many routers at once, each of which sees only its own small part of the load.
 *
 * A request to such a server needs a permit. A few routers issue the permits of one server, chosen by rendezvous
 * hashing; the others use other servers, or ask an issuer. So the load depends neither on the number of routers nor on
 * how fast they learn of each other.
 *
 * Largest number of permits in any time T, for a server that names L a second:
 * - One set of issuers: the buckets hold 2 + L together and fill at L, so 2 + L + L x T.
 * - At a change of the set (a router joins or leaves, or a rotation) the buckets of the new set add 2 + L once, since a
 *   bucket fills only while its router issues: 4 + 2L + L x T. In 4 s that is 6L + 4, of 6L + 5 tolerated.
 * - Isolated routers: a router that hears from nobody still counts the others for as long as it knows them, and issues
 *   no more than before. Only if it stays isolated for longer than that (a minute) does each side choose its own
 *   issuers.
 * - A router that is still discovering others takes as small a share as if there were 360 of them.
 */
import { rendezvousOrder } from '@bluebellhitch/shared';

/** A limit read in a server's response; without a rate, its responses no longer name one. */
export interface LimitObservation {
  serverId: string;
  requestsPerSecond?: number;
  /** Time since the router that observed it read the response. */
  ageMs: number;
}

export interface SharedPermitsOptions {
  nowMs: number;
  random?: () => number;
}

export interface SharedPermits {
  /** Sets all known routers, whether they are reachable at present or not. */
  setRouters(ownAddress: string, others: readonly string[], nowMs: number): void;
  /** Records the limit in a response read here; true if the other routers should learn of it at once. */
  note(serverId: string, requestsPerSecond: number | undefined, nowMs: number): boolean;
  /** Applies the observation of another router, unless a newer one is known. */
  applyRemote(observation: LimitObservation, nowMs: number): void;
  /** Requests per second that the server names; undefined if it names no limit. */
  limitOf(serverId: string): number | undefined;
  /** Whether `count` permits are available here; always true for a server without a limit. */
  mayTake(serverId: string, nowMs: number, count?: number): boolean;
  /** Takes granted permits first and the rest from this router's bucket; all `count` permits or none. */
  take(serverId: string, nowMs: number, count?: number): boolean;
  /** Takes one permit for another router; false if none is available. */
  grant(serverId: string, nowMs: number): boolean;
  /** Records a permit that another router has granted. */
  noteGranted(serverId: string, nowMs: number): void;
  /** The routers that currently issue the server's permits, without this one. */
  issuers(serverId: string, nowMs: number): readonly string[];
  /** Time until this router's bucket holds a permit; undefined if it issues none. */
  waitMs(serverId: string, nowMs: number): number | undefined;
  /** Limits that this router itself has observed since `sinceMs`. */
  observationsSince(sinceMs: number, nowMs: number): LimitObservation[];
  forget(serverId: string): void;
  limitedServerCount(): number;
}

interface LimitedServer {
  /** Absent once its responses no longer name a limit. */
  requestsPerSecond?: number;
  /** Time of the newest observation by any router. */
  observedAtMs: number;
  /** Time of the newest observation by this router. */
  ownObservedAtMs: number;
  level: number;
  filledAtMs: number;
  wasIssuer: boolean;
  /** Expiry times of the permits granted by other routers. */
  grantedUntilMs: number[];
  order?: { routersVersion: number; addresses: readonly string[] };
}

const msPerSecond = 1_000;
/** Requests beyond the rate that users tolerate from all routers together in four seconds. */
const toleratedRequests = 5;
const toleratedShare = 0.5;
const toleratedWindowS = 4;
/** Part of that for requests that are sent in one window and arrive in the next. */
const inFlightRequests = 1;
const minBucketSize = 2;
/** A server that names a lower rate still gets a request now and then: only a response can end its limit. */
const minRatePerSecond = 0.1;
/**
 * A router that has discovered no further router for this long is taken to know them all; in a large fleet discovery
 * takes many seconds. Until then it assumes the largest fleet, or it would take too large a share.
 */
const discoveryQuietMs = 2_500;
const maxWarmUpMs = 30_000;
const assumedRouterCount = 360;
/**
 * If no router has had a response of the server for this long, its issuers may all have stopped or lack callers: the
 * next routers in order become issuers, or the server would stay limited indefinitely.
 */
const minRotationMs = 10_000;
/** A rotation lasts long enough for each issuer to use this many permits. */
const permitsPerRotation = 2;
/** An observation reaches all routers within about a second, in large fleets later. */
const rotationMsPerRouter = 200;
const grantLifetimeMs = 300;
const maxServers = 4_096;
/** A change of the rate by less than this part waits for the next regular announcement. */
const significantChange = 0.2;

export function createSharedPermits(options: SharedPermitsOptions): SharedPermits {
  const { random = Math.random } = options;
  const startedAtMs = options.nowMs;
  const servers = new Map<string, LimitedServer>();
  let routers: readonly string[] = [];
  let selfAddress = '';
  let routersVersion = 0;
  /** When a router that was not known before was last discovered. */
  let lastDiscoveryAtMs = startedAtMs;
  let isWarm = false;

  const rateOf = ({ requestsPerSecond = 0 }: LimitedServer) =>
    Math.max(minRatePerSecond, requestsPerSecond);

  /** Capacity of all buckets of one set of issuers: half of what is tolerated, as one set may replace another. */
  function burstOf({ requestsPerSecond = 0 }: LimitedServer): number {
    const tolerated = toleratedRequests - inFlightRequests;
    return (tolerated + toleratedShare * toleratedWindowS * requestsPerSecond) / 2;
  }

  /**
   * Each bucket holds at least two permits. With one, twice as many routers issue, and a router that asks two of them
   * finds both empty more often: in replays with less demand than the rate, 60 of 100 requests were admitted instead of
   * 85.
   */
  function issuerCount(server: LimitedServer): number {
    return Math.max(1, Math.min(routers.length, Math.floor(burstOf(server) / minBucketSize)));
  }

  function orderOf(serverId: string, server: LimitedServer): readonly string[] {
    if (server.order?.routersVersion !== routersVersion) {
      const addresses = rendezvousOrder(serverId, routers, (address) => address);
      Object.assign(server, { order: { routersVersion, addresses } });
    }
    return server.order?.addresses ?? [];
  }

  function rotationMs(server: LimitedServer): number {
    const useMs = (permitsPerRotation * issuerCount(server) * msPerSecond) / rateOf(server);
    return Math.max(minRotationMs, useMs, routers.length * rotationMsPerRouter);
  }

  function issuersOf(serverId: string, server: LimitedServer, nowMs: number): readonly string[] {
    const count = issuerCount(server);
    const order = orderOf(serverId, server);
    const rotation = Math.floor(Math.max(0, nowMs - server.observedAtMs) / rotationMs(server));
    const first = (rotation * count) % Math.max(1, order.length);
    return Array.from(
      { length: count },
      (_, index) => order[(first + index) % order.length] ?? selfAddress,
    );
  }

  const warmAtMs = () => Math.min(lastDiscoveryAtMs + discoveryQuietMs, startedAtMs + maxWarmUpMs);

  /** A router that has warmed up stays warm, also when it discovers further routers. */
  function isWarmingUp(nowMs: number): boolean {
    isWarm ||= nowMs >= warmAtMs();
    return !isWarm;
  }

  /** Refills the bucket up to now; returns whether this router issues permits. */
  function refill(serverId: string, server: LimitedServer, nowMs: number): boolean {
    const isIssuer = isWarmingUp(nowMs) || issuersOf(serverId, server, nowMs).includes(selfAddress);
    const count = isWarmingUp(nowMs) ? assumedRouterCount : issuerCount(server);
    if (isIssuer && server.wasIssuer) {
      const elapsedMs = Math.max(0, nowMs - server.filledAtMs);
      server.level += (elapsedMs * rateOf(server)) / count / msPerSecond;
    }
    server.level = Math.min(server.level, burstOf(server) / count);
    server.filledAtMs = nowMs;
    server.wasIssuer = isIssuer;
    return isIssuer;
  }

  function limitedServer(serverId: string): LimitedServer | undefined {
    const server = servers.get(serverId);
    return server?.requestsPerSecond === undefined ? undefined : server;
  }

  function dropExpiredGrants(server: LimitedServer, nowMs: number): void {
    server.grantedUntilMs = server.grantedUntilMs.filter((untilMs) => untilMs > nowMs);
  }

  function getOrCreateServer(serverId: string, nowMs: number): LimitedServer {
    const known = servers.get(serverId);
    if (known !== undefined) {
      return known;
    }
    const server: LimitedServer = {
      ...{
        observedAtMs: -Infinity,
        ownObservedAtMs: -Infinity,
        filledAtMs: nowMs,
        wasIssuer: false,
      },
      // A random level: issuers that learn of the limit at the same time must not all send at once.
      ...{ level: random(), grantedUntilMs: [] },
    };
    if (servers.size < maxServers) {
      servers.set(serverId, server);
    }
    return server;
  }

  function setLimit(
    serverId: string,
    server: LimitedServer,
    requestsPerSecond: number | undefined,
    observedAtMs: number,
    nowMs: number,
  ): void {
    refill(serverId, server, nowMs);
    Object.assign(server, { requestsPerSecond, observedAtMs });
  }

  function note(serverId: string, requestsPerSecond: number | undefined, nowMs: number): boolean {
    if (requestsPerSecond === undefined && limitedServer(serverId) === undefined) {
      return false;
    }
    const server = getOrCreateServer(serverId, nowMs);
    const before = server.requestsPerSecond;
    setLimit(serverId, server, requestsPerSecond, nowMs, nowMs);
    server.ownObservedAtMs = nowMs;
    return isSignificant(before, requestsPerSecond);
  }

  function applyRemote(
    { serverId, requestsPerSecond, ageMs }: LimitObservation,
    nowMs: number,
  ): void {
    const observedAtMs = nowMs - Math.max(0, ageMs);
    if (requestsPerSecond === undefined && limitedServer(serverId) === undefined) {
      return;
    }
    const server = getOrCreateServer(serverId, nowMs);
    if (observedAtMs > server.observedAtMs) {
      setLimit(serverId, server, requestsPerSecond, observedAtMs, nowMs);
    }
  }

  /** Permits available here: those granted by others, and the bucket while this router issues. */
  function available(serverId: string, server: LimitedServer, nowMs: number): number {
    dropExpiredGrants(server, nowMs);
    const inBucket = refill(serverId, server, nowMs) ? Math.floor(server.level) : 0;
    return server.grantedUntilMs.length + inBucket;
  }

  function mayTake(serverId: string, nowMs: number, count = 1): boolean {
    const server = limitedServer(serverId);
    return server === undefined || available(serverId, server, nowMs) >= count;
  }

  function take(serverId: string, nowMs: number, count = 1): boolean {
    const server = limitedServer(serverId);
    if (server === undefined) {
      return true;
    }
    if (available(serverId, server, nowMs) < count) {
      return false;
    }
    const granted = server.grantedUntilMs.splice(0, count).length;
    server.level -= count - granted;
    return true;
  }

  return {
    setRouters(ownAddress, others, nowMs) {
      const known = new Set(routers);
      if (others.some((address) => !known.has(address))) {
        lastDiscoveryAtMs = nowMs;
      }
      selfAddress = ownAddress;
      routers = [...new Set([ownAddress, ...others])];
      routersVersion += 1;
    },
    note,
    applyRemote,
    limitOf: (serverId) => servers.get(serverId)?.requestsPerSecond,
    mayTake,
    take,
    grant(serverId, nowMs) {
      const server = limitedServer(serverId);
      if (server === undefined || !refill(serverId, server, nowMs) || server.level < 1) {
        return false;
      }
      server.level -= 1;
      return true;
    },
    noteGranted(serverId, nowMs) {
      limitedServer(serverId)?.grantedUntilMs.push(nowMs + grantLifetimeMs);
    },
    issuers(serverId, nowMs) {
      const server = limitedServer(serverId);
      return server === undefined
        ? []
        : issuersOf(serverId, server, nowMs).filter((address) => address !== selfAddress);
    },
    waitMs(serverId, nowMs) {
      const server = limitedServer(serverId);
      if (server === undefined || !refill(serverId, server, nowMs)) {
        return server === undefined ? 0 : undefined;
      }
      const perMs = rateOf(server) / issuerCount(server) / msPerSecond;
      const untilWarmMs = isWarmingUp(nowMs) ? warmAtMs() - nowMs : 0;
      return Math.max(untilWarmMs, Math.max(0, 1 - server.level) / perMs);
    },
    observationsSince: (sinceMs, nowMs) =>
      [...servers]
        .filter(([, { ownObservedAtMs }]) => ownObservedAtMs >= sinceMs)
        .map(([serverId, { requestsPerSecond, ownObservedAtMs }]) => ({
          ...{ serverId, requestsPerSecond, ageMs: nowMs - ownObservedAtMs },
        })),
    forget(serverId) {
      servers.delete(serverId);
    },
    limitedServerCount: () =>
      [...servers.values()].filter(({ requestsPerSecond }) => requestsPerSecond !== undefined)
        .length,
  };
}

function isSignificant(before: number | undefined, now: number | undefined): boolean {
  if (before === undefined || now === undefined) {
    return before !== now;
  }
  return Math.abs(now - before) > significantChange * before;
}
