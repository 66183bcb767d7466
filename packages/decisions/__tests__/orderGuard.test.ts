import test from 'ava';
import { createOrderGuard, orderDeadline } from '../src';

function order(fencingNumber: number, validUntilMs = 1000) {
  return { fencingNumber, validUntilMs };
}

// The agent restarts while a former holder still sends orders. Until it knows the current number it cannot
// tell which orders are stale, so it admits none.
test('admits no order before the current number is known', (t) => {
  const guard = createOrderGuard();
  t.is(guard.admit(order(5), 0).kind, 'not-ready');
  guard.learn(7);
  t.deepEqual(guard.admit(order(5), 0), { kind: 'stale', highestFencingNumber: 7 });
  t.is(guard.admit(order(7), 0).kind, 'admitted');
});

// A holder is paused, its lease ends, and another holder sends an order. When the first one resumes, its order
// must not take effect, whether or not the engine checks the number.
test('refuses a lower number than the highest seen', (t) => {
  const guard = createOrderGuard();
  guard.learn(0);
  t.is(guard.admit(order(2), 0).kind, 'admitted');
  t.is(guard.admit(order(1), 0).kind, 'stale');
  guard.learn(1);
  t.is(guard.highestFencingNumber(), 2);
});

// While an order waits behind a slow one, an order of a newer holder may arrive, or the sender's lease may
// end: the check on arrival is no longer valid then.
test('checks again right before sending', (t) => {
  const guard = createOrderGuard();
  guard.learn(1);
  t.is(guard.admit(order(1), 0).kind, 'admitted');
  t.is(guard.recheck(order(1), 999).kind, 'admitted');
  t.is(guard.recheck(order(1), 1000).kind, 'expired');
  guard.learn(2);
  t.is(guard.recheck(order(1), 999).kind, 'stale');
});

test('the deadline leaves a margin for the transit of the order', (t) => {
  t.is(orderDeadline(50, 1000, 100), 950);
});
