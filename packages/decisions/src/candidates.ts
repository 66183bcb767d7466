/**
 * Picks the two or three workers that are asked for a bid. The first is the home of the prompt's
 * prefix (rendezvous with bounded load), where its KV cache most likely is; the others are
 * power-of-two picks by aged load hints out of this entry's subset. Workers of the same data centre
 * come first; remote ones join only where no local candidate can serve without a wait, or where a
 * lone one could fail to bid.
 */
import type { Random } from '@bluebellhitch/shared';
import type { LoadHints } from './loadHints';
import {
  createWorkerPool,
  hash32,
  roleServes,
  workerNeeds,
  type CandidateInstance,
  type WorkerNeed,
  type WorkerPool,
} from './workerPools';

export const candidateReasons = {
  prefixHome: 'prefix-home',
  lowLoad: 'low-load',
  remote: 'remote',
} as const;
export type CandidateReason = (typeof candidateReasons)[keyof typeof candidateReasons];

export interface Candidate {
  instanceId: string;
  dataCentre: string;
  reason: CandidateReason;
}

export interface CandidateSelectorOptions {
  /** Seeds the subset. */
  entryId: string;
  /** Where this entry runs. */
  dataCentre: string;
  hints: LoadHints;
  random: Random;
  /** Candidates per decision. */
  count?: number;
  /** Workers that this entry prefers, per need and locality. */
  subsetSize?: number;
  /** A home may have this many times the subset's average pressure. */
  loadBound?: number;
  /** Expected wait from which a local worker does not count as able to serve. */
  spillWaitMs?: number;
}

export interface CandidateQuery {
  /** Instances of one service; only looked at when `membershipVersion` changed. */
  instances: readonly CandidateInstance[];
  membershipVersion: number;
  need: WorkerNeed;
  /** From `prefixKey`; absent where the prompt has no full block. */
  key?: string;
  /** Ejected servers, servers already tried, servers beside which the request must not run. */
  excluded?: ReadonlySet<string>;
  nowMs: number;
}

/** One per service: it caches what it derived from the last membership version. */
export interface CandidateSelector {
  select(query: CandidateQuery): Candidate[];
}

export type SelectCandidatesOptions = CandidateSelectorOptions &
  Omit<CandidateQuery, 'membershipVersion'>;

interface Assessed {
  instance: CandidateInstance;
  pressure: number;
}

interface NeedPools {
  local: WorkerPool;
  remote: WorkerPool;
}

/**
 * A lone local worker that is paused makes no bid, and its hints look well until then. With a second
 * one asked, wherever it is, the request goes on without it.
 */
const fewestBidders = 2;
/** Blocks that choose a home: longer prefixes would scatter prompts that share a template. */
const keyBlocks = 4;

/** The routing key of a prompt: its service and its first blocks. */
export function prefixKey(service: string, prefixBlocks: readonly string[]): string | undefined {
  const block = prefixBlocks[Math.min(prefixBlocks.length, keyBlocks) - 1];
  return block === undefined ? undefined : `${service}\u0000${block}`;
}

export function createCandidateSelector(options: CandidateSelectorOptions): CandidateSelector {
  const { hints, random, count = 3, loadBound = 1.25, spillWaitMs = 40 } = options;
  let pools = new Map<WorkerNeed, NeedPools>();
  let membershipVersion: number | undefined;
  let roleRevision: number | undefined;

  function poolsFor(query: CandidateQuery): NeedPools {
    if (query.membershipVersion !== membershipVersion || hints.roleRevision() !== roleRevision) {
      pools = new Map();
      membershipVersion = query.membershipVersion;
      roleRevision = hints.roleRevision();
    }
    const known = pools.get(query.need) ?? buildPools(query, options);
    pools.set(query.need, known);
    return known;
  }

  function select(query: CandidateQuery): Candidate[] {
    const { local, remote } = poolsFor(query);
    const chosen = pick(local, query, count, candidateReasons.lowLoad);
    const able = chosen.some(
      ({ instanceId }) => !hints.isSaturated(instanceId, spillWaitMs, query.nowMs),
    );
    const fewest = query.need === workerNeeds.plain ? 1 : Math.min(fewestBidders, count);
    if (able && chosen.length >= fewest) {
      return chosen;
    }
    const wantedRemote = able ? fewest - chosen.length : Math.max(1, count - chosen.length);
    const remotes = pick(remote, query, wantedRemote, candidateReasons.remote);
    return [...chosen.slice(0, count - remotes.length), ...remotes];
  }

  function pick(
    pool: WorkerPool,
    query: CandidateQuery,
    wanted: number,
    reason: CandidateReason,
  ): Candidate[] {
    const members = assess(pool.subset, query);
    const home = findHome(pool, members, query);
    const others = members.filter(({ instance }) => instance.id !== home?.id);
    const picks = pickByPressure(others, home === undefined ? wanted : wanted - 1);
    const homeReason =
      reason === candidateReasons.remote ? candidateReasons.remote : candidateReasons.prefixHome;
    return [
      ...(home === undefined ? [] : [toCandidate(home, homeReason)]),
      ...picks.map(({ instance }) => toCandidate(instance, reason)),
    ];
  }

  /** The instances that may take the request, with their expected pressure. */
  function assess(instances: readonly CandidateInstance[], query: CandidateQuery): Assessed[] {
    const { excluded, nowMs } = query;
    return instances.flatMap((instance) => {
      const { pressure, leaving } = hints.outlook(instance.id, nowMs);
      return leaving || excluded?.has(instance.id) ? [] : { instance, pressure };
    });
  }

  /** The first worker in the key's rendezvous order that is not overloaded. */
  function findHome(
    pool: WorkerPool,
    members: readonly Assessed[],
    query: CandidateQuery,
  ): CandidateInstance | undefined {
    if (query.key === undefined) {
      return undefined;
    }
    const total = members.reduce((sum, { pressure }) => sum + pressure, 0);
    const bound = total === 0 ? Infinity : (loadBound * total) / members.length;
    const homes = assess(pool.homes(hash32(query.key)), query);
    return (homes.find(({ pressure }) => pressure <= bound) ?? homes[0])?.instance;
  }

  /** Repeats: take two at random, keep the one under less pressure. */
  function pickByPressure(members: readonly Assessed[], wanted: number): Assessed[] {
    const remaining = [...members];
    const randomIndex = () => Math.floor(random() * remaining.length);
    return Array.from({ length: Math.min(wanted, members.length) }, () => {
      const first = randomIndex();
      const other = randomIndex();
      const lighter = pressureAt(remaining, first) <= pressureAt(remaining, other) ? first : other;
      return remaining.splice(lighter, 1);
    }).flat();
  }

  return { select };
}

/** A single decision without a cache, for tests and tools. */
export function selectCandidates(options: SelectCandidatesOptions): Candidate[] {
  return createCandidateSelector(options).select({ ...options, membershipVersion: 0 });
}

function buildPools(query: CandidateQuery, options: CandidateSelectorOptions): NeedPools {
  const { entryId, dataCentre, hints, subsetSize = 16 } = options;
  const serving = query.instances.filter(
    ({ id, role, state }) => state === 'live' && roleServes(hints.role(id) ?? role, query.need),
  );
  const poolOf = (workers: CandidateInstance[]) =>
    createWorkerPool({ workers, entryId, subsetSize });
  return {
    local: poolOf(serving.filter((instance) => instance.dataCentre === dataCentre)),
    remote: poolOf(serving.filter((instance) => instance.dataCentre !== dataCentre)),
  };
}

function pressureAt(members: readonly Assessed[], index: number): number {
  return members[index]?.pressure ?? Infinity;
}

function toCandidate(instance: CandidateInstance, reason: CandidateReason): Candidate {
  return { instanceId: instance.id, dataCentre: instance.dataCentre, reason };
}
