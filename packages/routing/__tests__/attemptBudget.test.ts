import fc from 'fast-check';
import test from 'ava';
import { createAttemptBudget } from '@bluebellhitch/routing';

/** The budget of a process that has been running for longer than a window. */
function createRunningBudget(ratio: number, allowance: number) {
  return createAttemptBudget({
    ratio,
    allowance: () => ({ initial: 0, full: allowance }),
    windowMs: 1_000,
    startedAtMs: -1_000,
  });
}

test('further attempts stay within the share of requests and the allowance in every window', (t) => {
  const windowMs = 1_000;
  const step = fc.record({ gapMs: fc.integer({ min: 0, max: 200 }), isRequest: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const budget = createRunningBudget(0.2, 3);
      const requests: number[] = [];
      const taken: number[] = [];
      let nowMs = 0;
      steps.forEach(({ gapMs, isRequest }) => {
        nowMs += gapMs;
        if (isRequest) {
          requests.push(nowMs);
          budget.recordRequest('s', nowMs);
        } else if (budget.tryTake('s', nowMs)) {
          taken.push(nowMs);
        }
      });
      taken.forEach((endMs) => {
        const within = (timeMs: number) => timeMs > endMs - windowMs && timeMs <= endMs;
        const asked = requests.filter((timeMs) => within(timeMs)).length;
        t.true(taken.filter(within).length <= asked * 0.2 + 3);
      });
    }),
    { seed: 11 },
  );
});

test('services do not share a budget', (t) => {
  const budget = createRunningBudget(0, 1);
  t.true(budget.tryTake('a', 0));
  t.false(budget.tryTake('a', 0));
  t.true(budget.tryTake('b', 0));
  t.true(budget.tryTake('a', 1_000));
});

test('first calls in progress count, and those that failed count from then on', (t) => {
  // Calls that are only checked all pass on the same attempt, and an engine may reject all of them at once.
  const budget = createRunningBudget(0, 2);
  const [first, second] = [budget.reserve('a', 0), budget.reserve('a', 0)];
  t.is(budget.reserve('a', 0), undefined);
  t.false(budget.tryTake('a', 0));
  first?.release();
  second?.use(100);
  t.truthy(budget.reserve('a', 200));
  t.is(budget.reserve('a', 1_050), undefined);
  t.truthy(budget.reserve('a', 1_101));
});

test('a process that starts has its initial allowance, and the full one after a window', (t) => {
  const budget = createAttemptBudget({
    ratio: 0,
    allowance: () => ({ initial: 1, full: 5 }),
    windowMs: 1_000,
    startedAtMs: 0,
  });
  const takeAll = (nowMs: number) =>
    Array.from({ length: 10 }, () => budget.tryTake('s', nowMs)).filter(Boolean).length;
  t.is(takeAll(0), 1);
  t.is(takeAll(500), 1);
  t.is(takeAll(1_600), 5);
});

test('processes that are killed at any moment stay within the limit of all together in every window', (t) => {
  // Requests of a burst earned the attempts of a process before a kill; the window that also held those of its successor
  // had fewer requests.
  const windowMs = 1_000;
  const machines = [0, 1, 2];
  const maxStarts = 2;
  const allowance = { initial: 0.25, full: 0.5 };
  const step = fc.record({
    gapMs: fc.integer({ min: 0, max: 150 }),
    requestCount: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 60 })),
    machine: fc.constantFrom(...machines),
    wantedCount: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 20 })),
    isKill: fc.integer({ min: 0, max: 19 }).map((value) => value === 0),
  });
  const start = (startedAtMs: number) =>
    createAttemptBudget({ ratio: 0.2, allowance: () => allowance, windowMs, startedAtMs });
  fc.assert(
    fc.property(fc.array(step, { minLength: 60, maxLength: 120 }), (steps) => {
      const budgets = machines.map(() => start(-windowMs));
      const requests: number[] = [];
      const taken: number[] = [];
      let startCount = 0;
      let nowMs = 0;
      steps.forEach(({ gapMs, requestCount, machine, wantedCount, isKill }) => {
        nowMs += gapMs;
        if (isKill && startCount < maxStarts) {
          startCount += 1;
          budgets.forEach((_killed, index) => {
            budgets[index] = start(nowMs);
          });
        }
        Array.from({ length: requestCount }, () => {
          requests.push(nowMs);
          return budgets[machine]?.recordRequest('s', nowMs);
        });
        Array.from({ length: wantedCount }, () => budgets[machine]?.tryTake('s', nowMs))
          .filter(Boolean)
          .forEach(() => taken.push(nowMs));
      });
      const total = 2 * machines.length * allowance.full;
      for (let endMs = 0; endMs <= nowMs + windowMs; endMs += 10) {
        const countUntil = (timesMs: number[], untilMs: number) =>
          timesMs.filter((timeMs) => timeMs > untilMs - windowMs && timeMs <= untilMs).length;
        const asked = [0, windowMs / 2, windowMs].map((shiftMs) =>
          countUntil(requests, endMs - shiftMs),
        );
        if (countUntil(taken, endMs) > Math.max(...asked) * 0.2 + total) {
          return false;
        }
      }
      return true;
    }),
    { seed: 12, numRuns: 60, endOnFailure: true },
  );
  t.pass();
});
