/**
 * Selects the two or three workers that are asked for a bid. The first is the home of the prompt's
 * prefix (rendezvous hashing with bounded loads), where its KV cache most likely is. The others are
 * chosen by power of two choices, by aged load hints, from this entry process's subset. Workers of
 * the same data centre are preferred. Remote ones are added only if no local candidate can serve
 * without a wait, or if a single local candidate could fail to bid.
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
  /** Data centre of this entry process. */
  dataCentre: string;
  hints: LoadHints;
  random: Random;
  /** Candidates per decision. */
  count?: number;
  /** Workers in this entry process's subset, per need and locality. */
  subsetSize?: number;
  /** A prefix home is skipped above this multiple of the subset's average pressure. */
  loadBound?: number;
  /** Expected wait above which a local worker counts as saturated. */
  spillWaitMs?: number;
}

export interface CandidateQuery {
  /** Instances of one service; read only when `membershipVersion` or a reported role has changed. */
  instances: readonly CandidateInstance[];
  membershipVersion: number;
  need: WorkerNeed;
  /** From `prefixKey`; absent where the prompt has no full block. */
  key?: string;
  /** Servers that were ejected, were tried already, or must not run the request. */
  excluded?: ReadonlySet<string>;
  nowMs: number;
}

/** One per service: it caches the worker pools derived from the last membership version. */
export interface CandidateSelector {
  select(query: CandidateQuery): Candidate[];
}

export type SelectCandidatesOptions = CandidateSelectorOptions &
  Omit<CandidateQuery, 'membershipVersion'>;

interface AssessedInstance {
  instance: CandidateInstance;
  pressure: number;
}

interface NeedPools {
  local: WorkerPool;
  remote: WorkerPool;
}

/**
 * A paused worker sends no bid, but its last hints still look healthy. If it were the only candidate, the
 * request would fail; a second candidate in any data centre lets it proceed.
 */
const minBidders = 2;
/** Leading blocks that determine the home: more would scatter prompts that share a template. */
const prefixKeyBlocks = 4;

/** The routing key of a prompt: its service and its first blocks. */
export function prefixKey(service: string, prefixBlocks: readonly string[]): string | undefined {
  const block = prefixBlocks[Math.min(prefixBlocks.length, prefixKeyBlocks) - 1];
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
    const needPools = pools.get(query.need) ?? buildPools(query, options);
    pools.set(query.need, needPools);
    return needPools;
  }

  function select(query: CandidateQuery): Candidate[] {
    const { local, remote } = poolsFor(query);
    const chosen = pick(local, query, count, candidateReasons.lowLoad);
    const hasCapacity = chosen.some(
      ({ instanceId }) => !hints.isSaturated(instanceId, spillWaitMs, query.nowMs),
    );
    const minCandidates = query.need === workerNeeds.plain ? 1 : Math.min(minBidders, count);
    if (hasCapacity && chosen.length >= minCandidates) {
      return chosen;
    }
    const remoteCount = hasCapacity
      ? minCandidates - chosen.length
      : Math.max(1, count - chosen.length);
    const remotes = pick(remote, query, remoteCount, candidateReasons.remote);
    return [...chosen.slice(0, count - remotes.length), ...remotes];
  }

  function pick(
    pool: WorkerPool,
    query: CandidateQuery,
    pickCount: number,
    reason: CandidateReason,
  ): Candidate[] {
    const members = assess(pool.subset, query);
    const home = findHome(pool, members, query);
    const others = members.filter(({ instance }) => instance.id !== home?.id);
    const picks = pickByPressure(others, home === undefined ? pickCount : pickCount - 1);
    const homeReason =
      reason === candidateReasons.remote ? candidateReasons.remote : candidateReasons.prefixHome;
    return [
      ...(home === undefined ? [] : [toCandidate(home, homeReason)]),
      ...picks.map(({ instance }) => toCandidate(instance, reason)),
    ];
  }

  /** The instances that may serve the request, with their expected pressure. */
  function assess(
    instances: readonly CandidateInstance[],
    query: CandidateQuery,
  ): AssessedInstance[] {
    const { excluded, nowMs } = query;
    return instances.flatMap((instance) => {
      const { pressure, leaving } = hints.estimateLoad(instance.id, nowMs);
      return leaving || excluded?.has(instance.id) ? [] : { instance, pressure };
    });
  }

  /** The first worker in the key's rendezvous order that is not overloaded. */
  function findHome(
    pool: WorkerPool,
    members: readonly AssessedInstance[],
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

  /** Power of two choices: repeatedly draws two at random and keeps the one with less pressure. */
  function pickByPressure(
    members: readonly AssessedInstance[],
    pickCount: number,
  ): AssessedInstance[] {
    const remaining = [...members];
    const randomIndex = () => Math.floor(random() * remaining.length);
    return Array.from({ length: Math.min(pickCount, members.length) }, () => {
      const first = randomIndex();
      const other = randomIndex();
      const lessLoaded =
        pressureAt(remaining, first) <= pressureAt(remaining, other) ? first : other;
      return remaining.splice(lessLoaded, 1);
    }).flat();
  }

  return { select };
}

/** A single selection without a cache, for tests and tools. */
export function selectCandidates(options: SelectCandidatesOptions): Candidate[] {
  return createCandidateSelector(options).select({ ...options, membershipVersion: 0 });
}

function buildPools(query: CandidateQuery, options: CandidateSelectorOptions): NeedPools {
  const { entryId, dataCentre, hints, subsetSize = 16 } = options;
  const eligible = query.instances.filter(
    ({ id, role, state }) => state === 'live' && roleServes(hints.role(id) ?? role, query.need),
  );
  const poolOf = (workers: CandidateInstance[]) =>
    createWorkerPool({ workers, entryId, subsetSize });
  return {
    local: poolOf(eligible.filter((instance) => instance.dataCentre === dataCentre)),
    remote: poolOf(eligible.filter((instance) => instance.dataCentre !== dataCentre)),
  };
}

function pressureAt(members: readonly AssessedInstance[], index: number): number {
  return members[index]?.pressure ?? Infinity;
}

function toCandidate(instance: CandidateInstance, reason: CandidateReason): Candidate {
  return { instanceId: instance.id, dataCentre: instance.dataCentre, reason };
}
