import fc from 'fast-check';
import test from 'ava';
import { createAttemptLoans } from '@bluebellhitch/decisions';
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
  t.is(takeAll(500), 2);
  t.is(takeAll(1_600), 5);
});

test('without loans, each decision is the same as without the exchange of loans', (t) => {
  // A router alone, or one whose peers have nothing to lend, must behave as before.
  const step = fc.record({ gapMs: fc.integer({ min: 0, max: 200 }), kind: fc.nat({ max: 2 }) });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const options = {
        ...{ ratio: 0.2, windowMs: 1_000, startedAtMs: 0 },
        allowance: () => ({ initial: 1, full: 3.5 }),
      };
      const plain = createAttemptBudget(options);
      const lending = createAttemptBudget({
        ...options,
        loans: createAttemptLoans({ windowMs: 1_000 }),
      });
      const play = (budget: typeof plain) => {
        let nowMs = 0;
        return steps.map(({ gapMs, kind }) => {
          nowMs += gapMs;
          if (kind === 0) {
            budget.recordRequest('s', nowMs);
            return undefined;
          }
          return kind === 1 ? budget.tryTake('s', nowMs) : budget.reserve('s', nowMs) !== undefined;
        });
      };
      t.deepEqual(play(lending), play(plain));
    }),
    { seed: 12 },
  );
});

test('what is lent counts as used, and no more than the allowance and half of the rest is lent', (t) => {
  // What requests earn must be used in their own window, and a lender keeps some for itself.
  const loans = createAttemptLoans({ windowMs: 1_000 });
  const budget = createAttemptBudget({
    ...{ ratio: 1, windowMs: 1_000, startedAtMs: -1_000, loans },
    allowance: () => ({ initial: 0, full: 4 }),
  });
  const lend = (number: number, nowMs: number) =>
    budget.lend({ borrower: 'b', number, serviceName: 's', count: 9, lifetimeMs: 200 }, nowMs);
  t.is(lend(1, 0), 2);
  t.is(lend(2, 0), 1);
  Array.from({ length: 20 }, () => budget.recordRequest('s', 1));
  t.is(lend(3, 1), 1);
  t.is(lend(4, 1), 0);
  const taken = Array.from({ length: 30 }, () => budget.tryTake('s', 2)).filter(Boolean).length;
  t.is(taken, 17);
});
