/**
 * The part of a large fleet that a router keeps to. Routers that place work at the same servers have to hear of each
 * other's, and what each says and looks at would grow with the fleet. So routers and servers are divided into as
 * many parts: a router uses the servers of its own part, and those of one other where most of its own have failed. Each
 * works the division out from addresses and ids alone. Where views differ for a moment, a few servers have users
 * that do not hear each other; the servers' own reservations keep what must hold.
 */
import { hash64 } from '@bluebellhitch/shared';
import type { BackendServer, Stage } from './model';
import type { ServerDirectory } from './serverDirectory';

export interface FleetPartOptions {
  directory: ServerDirectory;
}

/** Where work may go: the servers of a router's own part, and the spare ones. */
export interface ServerPools {
  /** Servers that may get new requests. */
  usable(serviceName: string, stage?: Stage): readonly BackendServer[];
  /** Servers of another part, for when most of the own have failed; none in a small fleet. */
  spare(serviceName: string, stage?: Stage): readonly BackendServer[];
}

export interface FleetPart extends ServerPools {
  /** Takes the addresses of all routers that are known; `ownAddress` is among them or not. */
  setRouters(ownAddress: string, addresses: readonly string[]): void;
  /** The other routers of this one's part. */
  companions(): readonly string[];
  partCount(): number;
}

/**
 * Bounds what a router says. Of 21 routers each telling 16, many streams were placed where others had just placed
 * theirs: a part of the others is worth little more than none, so a part has all of its routers hear each other. Larger
 * parts lend each other room: in replays of 68 routers two parts served 2,926 of 2,981 streams on time, four 2,896.
 */
const mostRouters = 40;
/** A fleet that shrinks keeps its parts until they are this small, so that they do not change to and fro. */
const fewestRouters = 12;
/** A pool is divided no further than this: one server that fails must not be a large share of its part. */
const fewestServers = 8;

interface Division {
  directoryVersion: number;
  routersVersion: number;
  own: readonly BackendServer[];
  spare: readonly BackendServer[];
}

export function createFleetPart({ directory }: FleetPartOptions): FleetPart {
  const weights = new Map<string, number>();
  const divisions = new Map<string, Division>();
  let count = 1;
  let ownPart = 0;
  let companions: readonly string[] = [];
  let routersVersion = 0;

  /** Of a server that is listed; others are forgotten. */
  function weightOf(id: string): number {
    const known = weights.get(id);
    if (known !== undefined) {
      return known;
    }
    const weight = weigh(id);
    weights.set(id, weight);
    return weight;
  }

  function divideRouters(ownAddress: string, addresses: readonly string[]): void {
    const routers = orderByWeight([...new Set([ownAddress, ...addresses])], weigh);
    count = nextCount(count, routers.length);
    ownPart = partOf(routers.indexOf(ownAddress), routers.length, count);
    const next = slicePart(routers, ownPart, count).filter((address) => address !== ownAddress);
    companions = next;
    routersVersion += 1;
  }

  function divide(serviceName: string, stage?: Stage): Division {
    const key = `${serviceName}/${stage ?? ''}`;
    const known = divisions.get(key);
    const directoryVersion = directory.version();
    if (
      known?.directoryVersion === directoryVersion &&
      (known.routersVersion === routersVersion || count === 1)
    ) {
      return known;
    }
    const division = { directoryVersion, routersVersion, ...cut(serviceName, stage) };
    divisions.set(key, division);
    return division;
  }

  function cut(serviceName: string, stage?: Stage): Pick<Division, 'own' | 'spare'> {
    const pool = directory.usable(serviceName, stage);
    const poolCount = Math.min(count, Math.max(1, Math.floor(pool.length / fewestServers)));
    if (poolCount === 1) {
      return { own: pool, spare: [] };
    }
    const ordered = orderByWeight(pool, ({ id }) => weightOf(id));
    const part = Math.floor((ownPart * poolCount) / count);
    const next = (part + 1) % poolCount;
    return { own: slicePart(ordered, part, poolCount), spare: slicePart(ordered, next, poolCount) };
  }

  function forgetRemoved(): void {
    [...weights.keys()]
      .filter((id) => directory.get(id) === undefined)
      .forEach((id) => weights.delete(id));
  }

  return {
    usable: (serviceName, stage) => divide(serviceName, stage).own,
    spare: (serviceName, stage) => divide(serviceName, stage).spare,
    setRouters(ownAddress, addresses) {
      divideRouters(ownAddress, addresses);
      forgetRemoved();
    },
    companions: () => companions,
    partCount: () => count,
  };
}

function nextCount(current: number, routerCount: number): number {
  let count = current;
  while (routerCount > mostRouters * count) {
    count *= 2;
  }
  while (count > 1 && routerCount < fewestRouters * count) {
    count /= 2;
  }
  return count;
}

/** The part of the member at this place in the order; parts differ by one member at most. */
function partOf(place: number, size: number, count: number): number {
  return Math.min(count - 1, Math.floor(((place + 0.5) * count) / size));
}

function slicePart<Member>(
  ordered: readonly Member[],
  part: number,
  count: number,
): readonly Member[] {
  return ordered.filter((_member, place) => partOf(place, ordered.length, count) === part);
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

function weigh(text: string): number {
  return Number(BigInt.asUintN(52, hash64(text)));
}
