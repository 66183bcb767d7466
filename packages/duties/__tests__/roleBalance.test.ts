import test from 'ava';
import {
  balanceRoles,
  measurePressure,
  type PoolPressure,
  type RoleBalanceState,
} from '../src/roleBalance';

const targets = { firstTokenMs: 600, betweenTokensMs: 28 };

function hint(role: 'prefill' | 'decode', queueWaitMs: number, stepMs = 10) {
  const counts = { activeCount: 1, queuedCount: 0, freeKvBytes: 0, capacityKvBytes: 1 };
  return { role, queueWaitMs, stepMs, leaving: false, ...counts };
}

/** Passes one pressure every 10 s and returns the target number of prefill workers after each. */
function observe(pressures: PoolPressure[], prefillCount = 2, workerCount = 8): number[] {
  let state: RoleBalanceState = {};
  return pressures.map((pressure, index) => {
    const nowMs = index * 10_000;
    const balance = balanceRoles({ pressure, prefillCount, workerCount, state, nowMs });
    state = balance.state;
    return balance.targetPrefillWorkers;
  });
}

test('pressure is the waiting time as a share of the target; slow steps count in the decode pool', (t) => {
  const loads = [hint('prefill', 300), hint('prefill', 900), hint('decode', 60, 42)];
  t.deepEqual(measurePressure(loads, targets), { prefill: 1, decode: 0.5 });
  t.is(measurePressure([hint('decode', 60)], targets), undefined);
});

test('a lasting difference moves one worker, and the next only after the cooldown', (t) => {
  const pressed = Array.from({ length: 18 }, () => ({ prefill: 1, decode: 0.1 }));
  t.deepEqual(observe(pressed), [2, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 4, 4, 4]);
});

test('a burst moves nothing, and neither does overload on both sides', (t) => {
  const burst = [1, 1, 1, 0, 1, 1, 1, 0].map((prefill) => ({ prefill, decode: 0 }));
  t.true(observe(burst).every((wanted) => wanted === 2));
  const overload = Array.from({ length: 20 }, () => ({ prefill: 3, decode: 1 }));
  t.true(observe(overload).every((wanted) => wanted === 2));
});

test('neither pool becomes empty', (t) => {
  const decodePressed = Array.from({ length: 60 }, () => ({ prefill: 0, decode: 2 }));
  t.is(observe(decodePressed).at(-1), 1);
  const prefillPressed = Array.from({ length: 60 }, () => ({ prefill: 2, decode: 0 }));
  t.is(observe(prefillPressed, 2, 4).at(-1), 3);
});
