/**
 * Placement policies. All but `default` exist only to be measured against: routers that serve without
 * bids, or that start a prefill before decode memory is reserved. Nothing else depends on them.
 */
import { assertNever, type Random } from '@bluebellhitch/shared';
import type { ReserveExpectation } from './bidChoice';
import type { LinkRates } from './linkRate';
import { loadPressure, type LoadHints } from './loadHints';
import type { PhaseModel } from './phaseModel';
import { roleServes, type CandidateInstance, type WorkerNeed } from './workerPools';

export const placementPolicies = {
  /** Bids, decode memory first, then the prefill. */
  default: 'default',
  /** Any prefill worker, then any decode worker; decode memory is reserved once the prefill is done. */
  random: 'random',
  /** The workers that reported the least load last; decode memory first, as in `default`. */
  leastLoaded: 'least-loaded',
  /** Bids as in `default`, but decode memory is reserved once the prefill is done. */
  prefillFirst: 'prefill-first',
} as const;
export type PlacementPolicy = (typeof placementPolicies)[keyof typeof placementPolicies];

/** How a policy finds workers, and in which order it uses them. */
export interface PolicyPlan {
  workers: 'bids' | 'random' | 'last-hint';
  /** Whether decode memory is reserved before the prefill starts. */
  reservesFirst: boolean;
}

export function planOf(policy: PlacementPolicy): PolicyPlan {
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

/** All workers that serve the need, the one to use first in front. */
export function rankWorkers(options: RankOptions): CandidateInstance[] {
  const { by, instances, need, hints, excluded, random, nowMs } = options;
  const serving = instances.filter(
    ({ id, role, state }) =>
      state === 'live' && !excluded.has(id) && roleServes(hints.role(id) ?? role, need),
  );
  const shuffled = shuffle(serving, random);
  switch (by) {
    case 'random':
      return shuffled;
    case 'last-hint':
      return sortBy(shuffled, ({ id }) => lastPressure(hints, id, nowMs));
    default:
      return assertNever(by);
  }
}

export interface UnjudgedOptions {
  promptTokens: number;
  /** Time that is left until the first token is late. */
  remainingMs: number;
  model: PhaseModel;
  linkRates: LinkRates;
  decodeId: string;
  /** Absent: the decode worker prefills itself. */
  prefillId?: string;
}

/** What a policy that does not judge its choices expects: usual durations and no waiting. */
export function expectUnjudged(options: UnjudgedOptions): ReserveExpectation {
  const { promptTokens, remainingMs, model, linkRates, decodeId, prefillId } = options;
  const place = prefillId === undefined ? 'decode-worker' : 'prefill-worker';
  const prefillMs = promptTokens * model.prefillMsPerToken[place];
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

/** The report itself, however old; a worker that never reported counts as idle. */
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
