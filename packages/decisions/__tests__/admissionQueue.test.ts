import test from 'ava';
import { createAdmissionQueue, type Waiter } from '../src';

function waiter(id: string, overrides: Partial<Waiter> = {}): Waiter {
  return {
    id,
    institution: 'halloran-voss',
    className: 'standard',
    cost: 1,
    deadlineAtMs: 1000,
    waitUntilMs: 1000,
    ...overrides,
  };
}

function takeAll(queue: ReturnType<typeof createAdmissionQueue>): string[] {
  return Array.from({ length: queue.size() }, () => queue.take()?.id ?? '');
}

test('serves the earliest deadline of a flow first', (t) => {
  const queue = createAdmissionQueue();
  queue.offer(waiter('late', { deadlineAtMs: 900 }));
  queue.offer(waiter('early', { deadlineAtMs: 300 }));
  queue.offer(waiter('middle', { deadlineAtMs: 600 }));
  t.deepEqual(takeAll(queue), ['early', 'middle', 'late']);
});

// Without a fair order, all other institutions would wait behind the whole burst.
test('a burst of one institution does not delay another', (t) => {
  const queue = createAdmissionQueue();
  Array.from({ length: 5 }, (_, index) => queue.offer(waiter(`burst-${index}`)));
  queue.offer(waiter('other', { institution: 'sahlat', deadlineAtMs: 5000 }));
  t.true(takeAll(queue).indexOf('other') <= 1);
});

test('classes are served in proportion to their weights', (t) => {
  const queue = createAdmissionQueue({
    classes: new Map([
      ['urgent', { weight: 3, queueLimit: 64 }],
      ['bulk', { weight: 1, queueLimit: 64 }],
    ]),
  });
  Array.from({ length: 12 }, (_, index) => {
    queue.offer(waiter(`urgent-${index}`, { className: 'urgent' }));
    queue.offer(waiter(`bulk-${index}`, { className: 'bulk' }));
  });
  const firstEight = takeAll(queue).slice(0, 8);
  t.is(firstEight.filter((id) => id.startsWith('urgent')).length, 6);
});

test('each class has its own queue limit', (t) => {
  const queue = createAdmissionQueue({
    classes: new Map([['bulk', { weight: 1, queueLimit: 1 }]]),
  });
  t.is(queue.offer(waiter('a', { className: 'bulk' })).kind, 'queued');
  t.is(queue.offer(waiter('b', { className: 'bulk' })).kind, 'queue-full');
  t.is(queue.offer(waiter('c', { className: 'bulk', institution: 'x' })).kind, 'queue-full');
  t.is(queue.offer(waiter('d')).kind, 'queued');
  queue.remove('a');
  t.is(queue.offer(waiter('b', { className: 'bulk' })).kind, 'queued');
});

test('returns expired waiters once', (t) => {
  const queue = createAdmissionQueue();
  queue.offer(waiter('a', { waitUntilMs: 100 }));
  queue.offer(waiter('b', { waitUntilMs: 200 }));
  t.deepEqual(
    queue.expire(150).map(({ id }) => id),
    ['a'],
  );
  t.deepEqual(queue.expire(150), []);
  t.is(queue.size(), 1);
  t.is(queue.totalCost(), 1);
});
