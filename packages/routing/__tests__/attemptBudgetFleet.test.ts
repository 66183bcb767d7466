import test, { type ExecutionContext } from 'ava';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import { playAttemptFleet, type AttemptFleetOptions } from './support/attemptFleet';

const seeds = [1, 2, 3, 4, 5, 6];
const calm: AttemptFleetOptions = {
  seed: 0,
  routerCount: 4,
  allowance: 52,
  requestsPerSecond: 35,
  rejectedShare: 0,
  callMs: 100,
  failedShare: 0,
  maxWaitMs: 0,
};

function fullestShareOf(options: Partial<AttemptFleetOptions>): number {
  return Math.max(
    ...seeds.map((seed) => playAttemptFleet({ ...calm, ...options, seed }).fullestShare),
  );
}

test('prefill calls that are rejected while many are in progress stay within the budget', (t) => {
  // Calls that are only checked against the budget, and charged once they have failed, all pass on the same attempt.
  const share = fullestShareOf({ rejectedShare: 0.9, callMs: 1_500, requestsPerSecond: 60 });
  t.true(share <= 1, `fullest window ${share.toFixed(2)}`);
});

test('attempts that wait before they are sent stay within the budget', (t) => {
  // Attempts that are taken over several seconds and wait for memory may arrive at the same time.
  const burst = { fromMs: 4_000, untilMs: 9_000, factor: 6 };
  const share = fullestShareOf({
    ...{ routerCount: 24, allowance: 88, requestsPerSecond: 60 },
    ...{ failedShare: 0.9, maxWaitMs: 6_000, burst },
  });
  t.true(share <= 1, `fullest window ${share.toFixed(2)}`);
});

test('routers that are killed again and again stay within the budget', (t) => {
  // A restarted router does not know what it used before.
  const restartsAtMs = Array.from({ length: 12 }, (_none, index) => 5_000 + index * 1_500);
  const share = fullestShareOf({ failedShare: 0.9, restartsAtMs });
  t.true(share <= 1, `fullest window ${share.toFixed(2)}`);
});

/** Grows with the number of routers as on the users' platform. */
const allowanceOf = (routerCount: number) => 44 + 2 * routerCount;

test('routers that do not know each other yet, or no longer, stay within the budget', (t) => {
  // A router that knows its seeds only must not take the share of a router of so small a fleet.
  const shares = [24, 60, 120].flatMap((routerCount) => {
    const fleet = { routerCount, allowance: allowanceOf(routerCount), failedShare: 1 };
    return [
      fullestShareOf({ ...fleet, discoveryMs: 5_000, requestsPerSecond: 3 * routerCount }),
      fullestShareOf({ ...fleet, isolatedFromMs: 12_000, failsFromMs: 13_000 }),
    ];
  });
  t.true(Math.max(...shares) <= 1, `fullest windows ${shares.map((share) => share.toFixed(2))}`);
});

test('a fleet in which everything fails at once stays within the budget', (t) => {
  const shares = [4, 24, 60].map((routerCount) =>
    fullestShareOf({
      ...{ routerCount, allowance: routerCount + 48, requestsPerSecond: 6 * routerCount },
      ...{ rejectedShare: 0.6, callMs: 700, failedShare: 0.8, maxWaitMs: 3_000 },
      ...{ discoveryMs: 2_500, restartsAtMs: [8_000, 11_000, 14_000] },
      burst: { fromMs: 6_000, untilMs: 10_000, factor: 4 },
    }),
  );
  t.true(Math.max(...shares) <= 1, `fullest windows ${shares.map((share) => share.toFixed(2))}`);
});

/** Draws a fleet with its load, failures and restarts. */
function drawFleet(seed: number, random: Random): AttemptFleetOptions {
  const between = (min: number, max: number) => min + random() * (max - min);
  const maybe = <Value>(value: Value, other: Value) => (random() < 0.5 ? value : other);
  const routerCount = [2, 3, 4, 5, 12, 21, 24, 60][Math.floor(between(0, 8))] ?? 4;
  const burstFromMs = between(2_000, 18_000);
  const restartCount = maybe(0, Math.ceil(between(0, 5)));
  return {
    seed,
    routerCount,
    allowance: allowanceOf(routerCount),
    requestsPerSecond: routerCount * between(1, 11),
    rejectedShare: maybe(0, between(0, 1)),
    callMs: between(50, 2_050),
    failedShare: between(0.3, 1),
    maxWaitMs: maybe(0, between(0, 4_000)),
    burst: {
      fromMs: burstFromMs,
      untilMs: burstFromMs + between(2_000, 10_000),
      factor: between(1, 7),
    },
    restartsAtMs: Array.from({ length: restartCount }, () => Math.floor(between(300, 2_300)) * 10),
    discoveryMs: between(0, 5_000),
    failsFromMs: maybe(0, between(0, 15_000)),
  };
}

/** The first numbers of a generator with a small seed are close to 1 for every seed. */
function createVariedRandom(seed: number): Random {
  const random = createSeededRandom(seed);
  Array.from({ length: 64 }, random);
  return random;
}

/** Plays each fleet, and checks that enough of them come close to the budget. */
function assertWithinBudget(t: ExecutionContext, fleets: readonly AttemptFleetOptions[]): void {
  const shares = fleets.map((fleet) => playAttemptFleet(fleet).fullestShare);
  const fullest = Math.max(...shares);
  const { seed } = fleets[shares.indexOf(fullest)] ?? {};
  t.true(fullest <= 1, `seed ${seed}: fullest window ${fullest.toFixed(2)}`);
  // Otherwise the draws would prove little.
  t.true(shares.filter((share) => share > 0.5).length > fleets.length / 2);
}

const randomSeeds = Array.from({ length: 150 }, (_none, index) => index + 1);

test('random fleets of 60 routers stay within the budget', (t) => {
  // Attempts earned before a burst or a restart may meet those earned after it in one window.
  const fleets = randomSeeds.map((seed) => drawFleet(seed, createSeededRandom(seed)));
  t.true(fleets.every(({ routerCount }) => routerCount === 60));
  assertWithinBudget(t, fleets);
});

test('random fleets of all sizes stay within the budget', (t) => {
  const fleets = randomSeeds.map((seed) => drawFleet(seed, createVariedRandom(seed)));
  t.true(new Set(fleets.map(({ routerCount }) => routerCount)).size === 8);
  assertWithinBudget(t, fleets);
});

/** Lists when all routers are killed: around a burst once, at both its ends, or in series. */
function killTimes({ fromMs, untilMs }: NonNullable<AttemptFleetOptions['burst']>): number[][] {
  const betweenMs = (untilMs - fromMs) / 3;
  return [
    [fromMs],
    [(fromMs + untilMs) / 2],
    [untilMs - 300],
    [untilMs + 100],
    [fromMs, untilMs],
    [0, 1, 2, 3, 4, 5].map((index) => untilMs - 600 + index * 1_500),
    [0, 1, 2, 3].map((index) => fromMs + index * betweenMs),
  ];
}

test('random fleets whose routers are all killed around a burst stay within the budget', (t) => {
  // The window after the burst has fewer requests than the one whose attempts the killed routers have made.
  const fleets = randomSeeds.map((seed) => {
    const random = createVariedRandom(seed);
    const fleet = drawFleet(seed, random);
    const fromMs = fleet.burst?.fromMs ?? 0;
    const lengthMs = 8_500 + 1_500 * random();
    const burst = { fromMs, untilMs: fromMs + lengthMs, factor: 4 + 3 * random() };
    const times = killTimes(burst);
    return {
      ...{ ...fleet, burst, rejectedShare: 0.5 + 0.5 * random() },
      failsFromMs: fromMs + lengthMs * random(),
      restartsAtMs: times[seed % times.length]?.map((atMs) => Math.round(atMs / 10) * 10),
    };
  });
  assertWithinBudget(t, fleets);
});

test('the random fleet of seed 583 stays within the budget', (t) => {
  // All routers are killed at the end of a burst: attempts that it earned meet those that follow the restart.
  const fullest = playAttemptFleet(drawFleet(583, createVariedRandom(583))).fullestShare;
  t.true(fullest <= 1, `fullest window ${fullest.toFixed(3)}`);
});
