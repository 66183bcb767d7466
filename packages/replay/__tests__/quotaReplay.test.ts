import test from 'ava';
import {
  ordinaryQuotaLoad,
  quotaStrategies,
  runQuotaReplay,
  type QuotaLoad,
  type QuotaStep,
  type QuotaStrategy,
} from '@bluebellhitch/replay';
import { createSeededRandom, delay } from '@bluebellhitch/shared';

const base: QuotaLoad = { ...ordinaryQuotaLoad, seconds: 20 };
const flood: QuotaStep = { kind: 'demand', atMs: 4_000, forMs: 11_000, factor: 7.5 };
const seeds = [1, 2, 3, 4, 5];

function replay(over: Partial<QuotaLoad>, strategy: QuotaStrategy = quotaStrategies.account) {
  const all = seeds.map((seed) => runQuotaReplay({ load: { ...base, ...over }, strategy, seed }));
  const sum = (read: (figures: (typeof all)[number]) => number) =>
    all.reduce((total, figures) => total + read(figures), 0);
  return {
    worst: Math.max(...all.map(({ worstWindowShare }) => worstWindowShare)),
    owedShare: sum(({ owedAdmitted }) => owedAdmitted) / sum(({ owed }) => owed),
    admittedShare: sum(({ admitted }) => admitted) / sum(({ owed }) => owed),
  };
}

test('a workspace within its quota is rarely refused, however its requests are distributed', (t) => {
  // Guards against refusing requests within the quota. They arrive evenly, or most at one router, where an even share
  // of the rate would refuse half of them.
  t.true(replay({}).owedShare > 0.97);
  t.true(replay({ shareAtOne: 0.7 }).owedShare > 0.95);
  t.true(replay({ shareAtOne: 0.7 }, quotaStrategies.evenShares).owedShare < 0.5);
});

test('a workspace that sends four times its quota gets its quota and little more', (t) => {
  const { worst, admittedShare } = replay({ steps: [flood] });
  t.true(worst < 1);
  t.true(admittedShare > 0.95 && admittedShare < 1.05);
});

test('counting after admission exceeds the allowed overage once routers are partitioned', (t) => {
  const steps: QuotaStep[] = [flood, { kind: 'cut', atMs: 3_000, forMs: 12_000, share: 0.35 }];
  t.true(replay({ steps }, quotaStrategies.blockLater).worst > 1);
  t.true(replay({ steps }).worst < 1);
});

test('a limit that drops far below the demand is enforced', (t) => {
  const { worst, admittedShare } = replay({
    steps: [{ kind: 'limit', atMs: 6_000, factor: 0.15 }],
  });
  t.true(worst < 1);
  t.true(admittedShare > 0.9);
});

/** A random combination of faults while a workspace exceeds its quota. */
function randomLoad(seed: number): QuotaLoad {
  const random = createSeededRandom(seed);
  const between = (min: number, max: number) => min + (max - min) * random();
  const pickSome = (steps: QuotaStep[]) => steps.filter(() => random() < 0.5);
  const ratePerSecond = between(5_000, 400_000);
  return {
    ...base,
    routers: Math.round(2 * 180 ** random()),
    shareAtOne: random() < 0.3 ? random() : 0,
    seconds: 24,
    ratePerSecond,
    burst: ratePerSecond * between(0.5, 1.5),
    cost: { min: 200, max: Math.min(6_600, ratePerSecond / 2) },
    // As in the users' deployment, about four seconds of the rate.
    slack: { windowMs: 8_000, overageShare: 0.1, amount: 4 * ratePerSecond },
    delayMs: between(2, 30),
    lostShare: between(0, 0.05),
    steps: [
      { kind: 'demand', atMs: between(0, 6_000), forMs: 12_000, factor: between(2, 7.5) },
      ...pickSome([
        { kind: 'cut', atMs: between(0, 12_000), forMs: between(1_000, 9_000), share: 0.35 },
        { kind: 'split', atMs: between(0, 12_000), forMs: between(1_000, 9_000), groups: 2 },
        { kind: 'restart', atMs: between(0, 20_000), share: random() < 0.3 ? 1 : 0.3 },
        { kind: 'restart', atMs: between(0, 20_000), share: 0.3 },
        { kind: 'pause', atMs: between(0, 12_000), forMs: between(1_000, 6_000), share: 0.3 },
        { kind: 'limit', atMs: between(4_000, 20_000), factor: between(0.1, 1) },
      ]),
    ],
  };
}

Array.from({ length: 24 }, (_none, index) => index + 1).forEach((seed) => {
  test(`no window exceeds the allowed amount under random faults: seed ${seed}`, async (t) => {
    // A replay blocks the event loop for about a second; yield so that the runner can report each test as it ends.
    await delay(0);
    const load = randomLoad(seed);
    const { worstWindowShare } = runQuotaReplay({ load, strategy: quotaStrategies.account, seed });
    t.true(worstWindowShare <= 1, `${load.routers} routers: ${worstWindowShare}`);
  });
});
