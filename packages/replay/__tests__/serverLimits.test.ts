import test from 'ava';
import {
  quotaStrategies,
  runQuotaReplay,
  serverLimitLoads,
  type QuotaLoad,
  type QuotaStep,
  type QuotaStrategy,
} from '@bluebellhitch/replay';
import { createSeededRandom, delay } from '@bluebellhitch/shared';

const seeds = [1, 2, 3];

function replay(load: QuotaLoad, strategy: QuotaStrategy = quotaStrategies.permits) {
  const all = seeds.map((seed) => runQuotaReplay({ load, strategy, seed }));
  const sum = (read: (figures: (typeof all)[number]) => number) =>
    all.reduce((total, figures) => total + read(figures), 0);
  return {
    worst: Math.max(...all.map(({ worstWindowShare }) => worstWindowShare)),
    admittedShare: sum(({ admitted }) => admitted) / sum(({ owed }) => owed),
  };
}

test('under router faults an overloaded server gets most of its announced rate, and no more than is tolerated', (t) => {
  // Guards against overload of the server, whose requests would time out. The loads: bursts, partitions, restarts,
  // freezes, and a limit that drops.
  Object.entries(serverLimitLoads).forEach(([name, load]) => {
    const { worst, admittedShare } = replay(load);
    t.true(worst <= 1, `${name}: ${worst} of the tolerated amount`);
    t.true(admittedShare > 0.75, `${name}: ${admittedShare} of what one token bucket admits`);
  });
});

test('even shares exceed a small limit in a large fleet, a replicated token bucket in partitioned fleets', (t) => {
  t.true(replay(serverLimitLoads.largeFleet, quotaStrategies.evenShares).worst > 2);
  t.true(replay(serverLimitLoads.allRestartWhileFlooded, quotaStrategies.evenShares).worst > 1);
  t.true(replay(serverLimitLoads.floodWhileCut, quotaStrategies.account).worst > 1);
});

/** A random combination of faults while a server announces a limit. */
function randomLoad(seed: number): QuotaLoad {
  const random = createSeededRandom(seed);
  const between = (min: number, max: number) => min + (max - min) * random();
  const pickSome = (steps: QuotaStep[]) => steps.filter(() => random() < 0.5);
  const ratePerSecond = 0.3 * 200 ** random();
  return {
    ...serverLimitLoads.ordinary,
    routers: Math.round(2 * 180 ** random()),
    shareAtOne: random() < 0.3 ? random() : 0,
    seconds: 40,
    ratePerSecond,
    delayMs: between(2, 30),
    lostShare: between(0, 0.05),
    steps: [
      { kind: 'demand', atMs: between(0, 12_000), forMs: 20_000, factor: between(2, 20) },
      ...pickSome([
        { kind: 'cut', atMs: between(0, 24_000), forMs: between(1_000, 9_000), share: 0.35 },
        { kind: 'split', atMs: between(0, 24_000), forMs: between(1_000, 9_000), groups: 2 },
        { kind: 'restart', atMs: between(0, 36_000), share: random() < 0.3 ? 1 : 0.3 },
        { kind: 'restart', atMs: between(0, 36_000), share: 0.3 },
        { kind: 'pause', atMs: between(0, 24_000), forMs: between(1_000, 6_000), share: 0.3 },
        { kind: 'limit', atMs: between(0, 12_000), factor: between(0.05, 1) },
        { kind: 'limit', atMs: between(16_000, 36_000), factor: between(0.2, 3) },
      ]),
    ],
  };
}

test('under random loads and faults no window of four seconds exceeds the tolerated amount', async (t) => {
  for (let seed = 1; seed <= 16; seed += 1) {
    const load = randomLoad(seed);
    const { worstWindowShare } = runQuotaReplay({ load, strategy: quotaStrategies.permits, seed });
    t.true(worstWindowShare <= 1, `seed ${seed}, ${load.routers} routers: ${worstWindowShare}`);
    await delay(0);
  }
});
