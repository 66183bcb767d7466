import test from 'ava';
import { createRetryBudget } from '../src/retryBudget';

// Guards against retries that keep a failing service down: each attempt fails, each failure causes a retry,
// and the load triples when it should fall. Without successes only the small floor remains.
test('a service that fails as a whole gets the floor, not a retry per request', (t) => {
  const budget = createRetryBudget({ ratio: 0.1, floorPerSecond: 0.5 });
  Array.from({ length: 1_000 }, () => budget.recordSuccess('s', 0));
  const granted = Array.from({ length: 60_000 }, (_, nowMs) => budget.tryTake('s', nowMs));
  const count = granted.filter(Boolean).length;
  // At most 50 saved, plus 30 from the floor in a minute.
  t.true(count >= 79 && count <= 81, `${count}`);
});

test('retries stay within a tenth of the successes, and services do not share', (t) => {
  const budget = createRetryBudget({ ratio: 0.1, floorPerSecond: 0 });
  const granted = Array.from({ length: 2_000 }, () => {
    budget.recordSuccess('s', 0);
    return budget.tryTake('s', 0);
  });
  const count = granted.filter(Boolean).length;
  t.true(count >= 199 && count <= 201, `${count}`);
  t.true(budget.tryTake('other', 0));
  t.false(budget.tryTake('other', 0));
});
