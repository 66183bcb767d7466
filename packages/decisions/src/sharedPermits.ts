/**
 * Keeps requests to a backend server in need below the rate that it names, over all routers together. Answers servers
 * that are overloaded by many routers at once, each of which sees only its own small part of what they get.
 *
 * A request to such a server needs a permit. Few routers issue the permits of one server, chosen by rendezvous hashing;
 * the others use other servers, or ask an issuer. So what is sent hangs neither on how many routers there are, nor on how
 * fast they hear of each other.
 *
 * Largest number of permits in any time T, for a server that names L a second:
 * - One set of issuers: the buckets hold 2 + L together and fill at L, so 2 + L + L x T.
 * - At a change of the set (a router comes or goes, or a turn ends) the buckets of the new one add 2 + L once, since a
 *   bucket fills only while its router issues: 4 + 2L + L x T. In 4 s that is 6L + 4, of 6L + 5 tolerated.
 * - Cut off: a router that hears nobody still counts the others for as long as it knows them, and issues no more than
 *   before. Only where a cut outlasts that time (a minute) each side chooses issuers of its own.
 * - A router that still hears of others that it did not know takes as small a part as if there were 360 of them.
 */
import { rendezvousOrder } from '@bluebellhitch/shared';

/** What a server's answers say; without a rate they no longer name a limit. */
export interface LimitSighting {
  serverId: string;
  requestsPerSecond?: number;
  /** Since the answer was read, by the router that read it. */
  ageMs: number;
}

export interface SharedPermitsOptions {
  nowMs: number;
  random?: () => number;
}

export interface SharedPermits {
  /** All routers that are known, whether they are heard at this time or not. */
  setRouters(ownAddress: string, others: readonly string[], nowMs: number): void;
  /** An answer read here says so; true where the other routers should learn it at once. */
  note(serverId: string, requestsPerSecond: number | undefined, nowMs: number): boolean;
  /** Another router has read it. */
  hear(sighting: LimitSighting, nowMs: number): void;
  /** The rate that the server names; undefined where it names none. */
  limitOf(serverId: string): number | undefined;
  /** Whether so many permits may be had here: of a server without a limit always. */
  mayTake(serverId: string, nowMs: number, count?: number): boolean;
  /** Takes permits that other routers have granted, and the rest out of this router's bucket; all or none. */
  take(serverId: string, nowMs: number, count?: number): boolean;
  /** Takes one for another router. */
  grant(serverId: string, nowMs: number): boolean;
  /** Another router has granted one. */
  noteGranted(serverId: string, nowMs: number): void;
  /** The routers that issue the server's permits at this time, without this one. */
  issuers(serverId: string, nowMs: number): readonly string[];
  /** Until this router's bucket holds a permit; undefined where it issues none. */
  waitMs(serverId: string, nowMs: number): number | undefined;
  /** What this router has read itself since a moment. */
  sightingsSince(sinceMs: number, nowMs: number): LimitSighting[];
  forget(serverId: string): void;
  limitedCount(): number;
}

interface LimitedServer {
  /** Absent once its answers no longer name one. */
  requestsPerSecond?: number;
  /** Of the newest word, here or elsewhere. */
  seenAtMs: number;
  /** Of the newest word that this router has read itself. */
  ownSeenAtMs: number;
  level: number;
  filledAtMs: number;
  wasIssuer: boolean;
  /** Granted by others, each with the time at which it is void. */
  grantedUntilMs: number[];
  order?: { routersVersion: number; addresses: readonly string[] };
}

const msPerSecond = 1_000;
/** Beyond the rate, what users tolerate of all routers together in four seconds. */
const toleratedRequests = 5;
const toleratedShare = 0.5;
const toleratedWindowS = 4;
/** Of that, for requests that are sent in one window and arrive in the next. */
const onTheWay = 1;
const leastBucket = 2;
/** A server that asks for less still gets a request now and then: no other answer could end its limit. */
const leastRate = 0.1;
/**
 * A router that has heard of no further one for this long knows the others; in large fleets news of all of them take many
 * seconds to come. Before that it counts with the largest fleet, or it would take itself for one of few.
 */
const settledMs = 2_500;
const mostYoungMs = 30_000;
const assumedRouters = 360;
/**
 * Where nobody has had an answer of the server for so long, its issuers may all be gone, or have no callers: others take
 * their turn, or the server would stay limited for ever.
 */
const leastTurnMs = 10_000;
/** A turn is long against the time that issuers need to use their permits. */
const permitsPerTurn = 2;
/** News of an answer reach all within a second or so, in large fleets within more. */
const turnMsPerRouter = 200;
const grantLifetimeMs = 300;
const maxServers = 4_096;
/** A change of the rate by less than this part is told with the next regular news. */
const notableChange = 0.2;

export function createSharedPermits(options: SharedPermitsOptions): SharedPermits {
  const { random = Math.random } = options;
  const startedAtMs = options.nowMs;
  const servers = new Map<string, LimitedServer>();
  let routers: readonly string[] = [];
  let own = '';
  let routersVersion = 0;
  /** When the last router was heard of that was not known before. */
  let newestAtMs = startedAtMs;
  let isOld = false;

  const rateOf = ({ requestsPerSecond = 0 }: LimitedServer) =>
    Math.max(leastRate, requestsPerSecond);

  /** What all buckets of one set hold together: half of what is tolerated, as two sets may follow each other. */
  function burstOf({ requestsPerSecond = 0 }: LimitedServer): number {
    const tolerated = toleratedRequests - onTheWay;
    return (tolerated + toleratedShare * toleratedWindowS * requestsPerSecond) / 2;
  }

  /**
   * Each bucket holds two permits at least. With one, twice as many routers issue, and who asks two of them finds both
   * empty more often: in replays with less asked than the server takes, 60 of 100 were admitted, now 85.
   */
  function issuerCount(server: LimitedServer): number {
    return Math.max(1, Math.min(routers.length, Math.floor(burstOf(server) / leastBucket)));
  }

  function orderOf(serverId: string, server: LimitedServer): readonly string[] {
    if (server.order?.routersVersion !== routersVersion) {
      const addresses = rendezvousOrder(serverId, routers, (address) => address);
      Object.assign(server, { order: { routersVersion, addresses } });
    }
    return server.order?.addresses ?? [];
  }

  function turnMs(server: LimitedServer): number {
    const useMs = (permitsPerTurn * issuerCount(server) * msPerSecond) / rateOf(server);
    return Math.max(leastTurnMs, useMs, routers.length * turnMsPerRouter);
  }

  function issuersOf(serverId: string, server: LimitedServer, nowMs: number): readonly string[] {
    const count = issuerCount(server);
    const order = orderOf(serverId, server);
    const turn = Math.floor(Math.max(0, nowMs - server.seenAtMs) / turnMs(server));
    const first = (turn * count) % Math.max(1, order.length);
    return Array.from({ length: count }, (_none, at) => order[(first + at) % order.length] ?? own);
  }

  const oldAtMs = () => Math.min(newestAtMs + settledMs, startedAtMs + mostYoungMs);

  /** Once it knows the others a router stays old, whoever comes later. */
  function isYoung(nowMs: number): boolean {
    isOld ||= nowMs >= oldAtMs();
    return !isOld;
  }

  /** Whether this router issues permits, with its bucket filled up to now. */
  function refill(serverId: string, server: LimitedServer, nowMs: number): boolean {
    const isIssuer = isYoung(nowMs) || issuersOf(serverId, server, nowMs).includes(own);
    const count = isYoung(nowMs) ? assumedRouters : issuerCount(server);
    if (isIssuer && server.wasIssuer) {
      const elapsedMs = Math.max(0, nowMs - server.filledAtMs);
      server.level += (elapsedMs * rateOf(server)) / count / msPerSecond;
    }
    server.level = Math.min(server.level, burstOf(server) / count);
    server.filledAtMs = nowMs;
    server.wasIssuer = isIssuer;
    return isIssuer;
  }

  function limited(serverId: string): LimitedServer | undefined {
    const server = servers.get(serverId);
    return server?.requestsPerSecond === undefined ? undefined : server;
  }

  function dropVoidGrants(server: LimitedServer, nowMs: number): void {
    server.grantedUntilMs = server.grantedUntilMs.filter((untilMs) => untilMs > nowMs);
  }

  function knowServer(serverId: string, nowMs: number): LimitedServer {
    const known = servers.get(serverId);
    if (known !== undefined) {
      return known;
    }
    const server: LimitedServer = {
      ...{ seenAtMs: -Infinity, ownSeenAtMs: -Infinity, filledAtMs: nowMs, wasIssuer: false },
      // Issuers that learn of the limit together must not send together.
      ...{ level: random(), grantedUntilMs: [] },
    };
    if (servers.size < maxServers) {
      servers.set(serverId, server);
    }
    return server;
  }

  function setWord(
    serverId: string,
    server: LimitedServer,
    requestsPerSecond: number | undefined,
    seenAtMs: number,
    nowMs: number,
  ): void {
    refill(serverId, server, nowMs);
    Object.assign(server, { requestsPerSecond, seenAtMs });
  }

  function note(serverId: string, requestsPerSecond: number | undefined, nowMs: number): boolean {
    if (requestsPerSecond === undefined && limited(serverId) === undefined) {
      return false;
    }
    const server = knowServer(serverId, nowMs);
    const before = server.requestsPerSecond;
    setWord(serverId, server, requestsPerSecond, nowMs, nowMs);
    server.ownSeenAtMs = nowMs;
    return isNotable(before, requestsPerSecond);
  }

  function hear({ serverId, requestsPerSecond, ageMs }: LimitSighting, nowMs: number): void {
    const seenAtMs = nowMs - Math.max(0, ageMs);
    if (requestsPerSecond === undefined && limited(serverId) === undefined) {
      return;
    }
    const server = knowServer(serverId, nowMs);
    if (seenAtMs > server.seenAtMs) {
      setWord(serverId, server, requestsPerSecond, seenAtMs, nowMs);
    }
  }

  /** Permits to be had here: those granted by others, and what the bucket holds while this router issues. */
  function available(serverId: string, server: LimitedServer, nowMs: number): number {
    dropVoidGrants(server, nowMs);
    const inBucket = refill(serverId, server, nowMs) ? Math.floor(server.level) : 0;
    return server.grantedUntilMs.length + inBucket;
  }

  function mayTake(serverId: string, nowMs: number, count = 1): boolean {
    const server = limited(serverId);
    return server === undefined || available(serverId, server, nowMs) >= count;
  }

  function take(serverId: string, nowMs: number, count = 1): boolean {
    const server = limited(serverId);
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
        newestAtMs = nowMs;
      }
      own = ownAddress;
      routers = [...new Set([ownAddress, ...others])];
      routersVersion += 1;
    },
    note,
    hear,
    limitOf: (serverId) => servers.get(serverId)?.requestsPerSecond,
    mayTake,
    take,
    grant(serverId, nowMs) {
      const server = limited(serverId);
      if (server === undefined || !refill(serverId, server, nowMs) || server.level < 1) {
        return false;
      }
      server.level -= 1;
      return true;
    },
    noteGranted(serverId, nowMs) {
      limited(serverId)?.grantedUntilMs.push(nowMs + grantLifetimeMs);
    },
    issuers(serverId, nowMs) {
      const server = limited(serverId);
      return server === undefined
        ? []
        : issuersOf(serverId, server, nowMs).filter((address) => address !== own);
    },
    waitMs(serverId, nowMs) {
      const server = limited(serverId);
      if (server === undefined || !refill(serverId, server, nowMs)) {
        return server === undefined ? 0 : undefined;
      }
      const perMs = rateOf(server) / issuerCount(server) / msPerSecond;
      const untilOldMs = isYoung(nowMs) ? oldAtMs() - nowMs : 0;
      return Math.max(untilOldMs, Math.max(0, 1 - server.level) / perMs);
    },
    sightingsSince: (sinceMs, nowMs) =>
      [...servers]
        .filter(([, { ownSeenAtMs }]) => ownSeenAtMs >= sinceMs)
        .map(([serverId, { requestsPerSecond, ownSeenAtMs }]) => ({
          ...{ serverId, requestsPerSecond, ageMs: nowMs - ownSeenAtMs },
        })),
    forget(serverId) {
      servers.delete(serverId);
    },
    limitedCount: () =>
      [...servers.values()].filter(({ requestsPerSecond }) => requestsPerSecond !== undefined)
        .length,
  };
}

function isNotable(before: number | undefined, now: number | undefined): boolean {
  if (before === undefined || now === undefined) {
    return before !== now;
  }
  return Math.abs(now - before) > notableChange * before;
}
