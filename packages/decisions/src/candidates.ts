/**
 * Picks the two or three workers that are asked for a bid. The first is the home of the prompt's
 * prefix (rendezvous with bounded load), where its KV cache most likely is; the others are
 * power-of-two picks by aged load hints out of this entry's subset. Workers of the same data centre
 * come first; remote ones join only where no local candidate can serve without a wait.
 */
import type { Random } from '@bluebellhitch/shared';
import type { LoadHints } from './loadHints';
import {
  createWorkerPool,
  hash32,
  roleServes,
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

interface NeedPools {
  local: WorkerPool;
  remote: WorkerPool;
}

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
  let poolsVersion: string | undefined;

  function poolsFor(query: CandidateQuery): NeedPools {
    const version = `${query.membershipVersion}/${hints.roleRevision()}`;
    if (version !== poolsVersion) {
      pools = new Map();
      poolsVersion = version;
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
    if (able) {
      return chosen;
    }
    const wantedRemote = Math.max(1, count - chosen.length);
    const remotes = pick(remote, query, wantedRemote, candidateReasons.remote);
    return [...chosen.slice(0, count - remotes.length), ...remotes];
  }

  function pick(
    pool: WorkerPool,
    query: CandidateQuery,
    wanted: number,
    reason: CandidateReason,
  ): Candidate[] {
    const { excluded, nowMs } = query;
    const usable = ({ id }: CandidateInstance) => !excluded?.has(id) && !hints.isLeaving(id, nowMs);
    const subset = pool.subset.filter(usable);
    const home = findHome(pool, subset, query, usable);
    const rest = subset.filter((instance) => instance !== home);
    const picks = pickByPressure(rest, home === undefined ? wanted : wanted - 1, nowMs);
    const homeReason =
      reason === candidateReasons.remote ? candidateReasons.remote : candidateReasons.prefixHome;
    return [
      ...(home === undefined ? [] : [toCandidate(home, homeReason)]),
      ...picks.map((instance) => toCandidate(instance, reason)),
    ];
  }

  /** The first worker in the key's rendezvous order that is not overloaded. */
  function findHome(
    pool: WorkerPool,
    subset: readonly CandidateInstance[],
    query: CandidateQuery,
    usable: (instance: CandidateInstance) => boolean,
  ): CandidateInstance | undefined {
    if (query.key === undefined) {
      return undefined;
    }
    const pressures = subset.map(({ id }) => hints.pressure(id, query.nowMs));
    const average = pressures.reduce((sum, value) => sum + value, 0) / Math.max(1, subset.length);
    const bound = average === 0 ? Infinity : loadBound * average;
    const homes = pool.homes(hash32(query.key)).filter(usable);
    return homes.find(({ id }) => hints.pressure(id, query.nowMs) <= bound) ?? homes[0];
  }

  /** Repeats: take two at random, keep the one under less pressure. */
  function pickByPressure(
    members: readonly CandidateInstance[],
    wanted: number,
    nowMs: number,
  ): CandidateInstance[] {
    const remaining = members.map((instance) => ({
      instance,
      pressure: hints.pressure(instance.id, nowMs),
    }));
    const randomIndex = () => Math.floor(random() * remaining.length);
    return Array.from({ length: Math.min(wanted, members.length) }, () => {
      const pair = [randomIndex(), randomIndex()];
      const [lighter = 0] = pair.sort(
        (left, right) => pressureAt(remaining, left) - pressureAt(remaining, right),
      );
      return remaining.splice(lighter, 1);
    }).flatMap((picked) => picked.map(({ instance }) => instance));
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

function pressureAt(members: readonly { pressure: number }[], index: number): number {
  return members[index]?.pressure ?? Infinity;
}

function toCandidate(instance: CandidateInstance, reason: CandidateReason): Candidate {
  return { instanceId: instance.id, dataCentre: instance.dataCentre, reason };
}
