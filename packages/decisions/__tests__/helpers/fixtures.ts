/** Values shared by the tests of this package. */
import type { Bid, LoadHint } from '@bluebellhitch/protocol';
import type { CandidateInstance, PhasePrediction, PrefillDecisionOptions } from '../../src';

export const fixedSeed = { seed: 20_261, numRuns: 200 };

export function loadHint(overrides: Partial<LoadHint> = {}): LoadHint {
  return {
    role: 'decode',
    freeKvBytes: 50,
    capacityKvBytes: 100,
    activeCount: 10,
    queuedCount: 0,
    queueWaitMs: 0,
    stepMs: 15,
    leaving: false,
    ...overrides,
  };
}

export function bid(overrides: Partial<Bid> = {}, load: Partial<LoadHint> = {}): Bid {
  return {
    incarnation: 'first',
    load: loadHint(load),
    cachedPrefixTokens: 0,
    usableInMs: 0,
    ...overrides,
  };
}

export function instances(
  count: number,
  overrides: Partial<CandidateInstance> = {},
): CandidateInstance[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${overrides.dataCentre ?? 'north'}-${index}`,
    dataCentre: 'north',
    role: 'decode',
    state: 'live',
    ...overrides,
  }));
}

export function decisionOptions(
  prediction: Partial<PhasePrediction> = {},
  overrides: Partial<PrefillDecisionOptions> = {},
): PrefillDecisionOptions {
  return {
    weights: { goodput: 1, wastedPrefill: 0.25 },
    targets: { firstTokenMs: 620, betweenTokensMs: 28 },
    prediction: {
      overlapsWait: true,
      usableInMs: 0,
      prefillWaitMs: 0,
      prefillMs: 200,
      transferMs: 50,
      stepMs: 15,
      ...prediction,
    },
    elapsedMs: 0,
    uncachedTokens: 2_000,
    averagePrefillTokens: 2_000,
    firstTokenDeviation: 0.2,
    betweenTokensDeviation: 0.2,
    ...overrides,
  };
}
