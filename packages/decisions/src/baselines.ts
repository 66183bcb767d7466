/**
 * Placement policies. All but `default` are baselines for benchmarks: they place requests without
 * bids, or start a prefill before decode memory is reserved. Nothing else depends on them.
 */
import { assertNever, type Random } from '@bluebellhitch/shared';
import type { ReserveExpectation } from './bidChoice';
import type { LinkRates } from './linkRate';
import { loadPressure, type LoadHints } from './loadHints';
import type { PhaseModel } from './phaseModel';
import { roleServes, type CandidateInstance, type WorkerNeed } from './workerPools';

export const placementPolicies = {
  /** Workers by bids; decode memory is reserved before the prefill starts. */
  default: 'default',
  /** Random prefill and decode workers; decode memory is reserved once the prefill is done. */
  random: 'random',
  /** Workers whose last load hint is the lowest; decode memory is reserved first, as in `default`. */
  leastLoaded: 'least-loaded',
  /** Workers by bids as in `default`, but decode memory is reserved once the prefill is done. */
  prefillFirst: 'prefill-first',
} as const;
export type PlacementPolicy = (typeof placementPolicies)[keyof typeof placementPolicies];

/** How a policy selects workers, and in which order it uses them. */
export interface PolicyPlan {
  workers: 'bids' | 'random' | 'last-hint';
  /** Whether decode memory is reserved before the prefill starts. */
  reservesFirst: boolean;
}

export function resolvePolicyPlan(policy: PlacementPolicy): PolicyPlan {
  switch (policy) {
    case 'default':
      return { workers: 'bids', reservesFirst: true };
    case 'random':
      return { workers: 'random', reservesFirst: false };
    case 'least-loaded':
      return { workers: 'last-hint', reservesFirst: true };
    case 'prefill-first':
      return { workers: 'bids', reservesFirst: false };
    default:
      return assertNever(policy);
  }
}

export interface RankOptions {
  by: 'random' | 'last-hint';
  instances: readonly CandidateInstance[];
  need: WorkerNeed;
  hints: Pick<LoadHints, 'get' | 'role'>;
  excluded: ReadonlySet<string>;
  random: Random;
  nowMs: number;
}

/** All workers that serve the need, in order of preference. */
export function rankWorkers(options: RankOptions): CandidateInstance[] {
  const { by, instances, need, hints, excluded, random, nowMs } = options;
  const eligible = instances.filter(
    ({ id, role, state }) =>
      state === 'live' && !excluded.has(id) && roleServes(hints.role(id) ?? role, need),
  );
  const shuffled = shuffle(eligible, random);
  switch (by) {
    case 'random':
      return shuffled;
    case 'last-hint':
      return sortBy(shuffled, ({ id }) => lastPressure(hints, id, nowMs));
    default:
      return assertNever(by);
  }
}

export interface NominalExpectationOptions {
  promptTokens: number;
  /** Time left until the first-token target. */
  remainingMs: number;
  model: PhaseModel;
  linkRates: LinkRates;
  decodeId: string;
  /** Absent where the decode worker prefills. */
  prefillId?: string;
}

/** Expected outcome for policies that do not use bids: average durations without waiting. */
export function nominalExpectation(options: NominalExpectationOptions): ReserveExpectation {
  const { promptTokens, remainingMs, model, linkRates, decodeId, prefillId } = options;
  const location = prefillId === undefined ? 'decode-worker' : 'prefill-worker';
  const prefillMs = promptTokens * model.prefillMsPerToken[location];
  const kvBytes = promptTokens * model.kvBytesPerToken;
  const transferMs =
    prefillId === undefined ? 0 : linkRates.transferMs(prefillId, decodeId, kvBytes);
  return {
    firstTokenMs: prefillMs + transferMs,
    probability: 1,
    value: 0,
    usableInMs: 0,
    neededInMs: prefillId === undefined ? 0 : prefillMs,
    waitLimitMs: Math.max(0, remainingMs),
    uncachedTokens: promptTokens,
    late: false,
    prediction: {
      overlapsWait: prefillId !== undefined,
      usableInMs: 0,
      prefillWaitMs: 0,
      prefillMs,
      transferMs,
      stepMs: 0,
    },
  };
}

/** Pressure by the last hint regardless of its age; a worker that never sent one counts as idle. */
function lastPressure(hints: RankOptions['hints'], id: string, nowMs: number): number {
  const aged = hints.get(id, nowMs);
  return aged === undefined ? 0 : loadPressure(aged.hint);
}

function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
  return sortBy(items, () => random());
}

function sortBy<Item>(items: readonly Item[], keyOf: (item: Item) => number): Item[] {
  return items
    .map((item) => ({ item, key: keyOf(item) }))
    .sort((left, right) => left.key - right.key)
    .map(({ item }) => item);
}
