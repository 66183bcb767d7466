import test from 'ava';
import { createPlacementQueue, type QueuedRequest } from '../src/servers/placementQueue';

const request = (overrides: Partial<QueuedRequest> = {}): QueuedRequest => ({
  serviceName: 's',
  priority: 1,
  isResumed: false,
  arrivedAtMs: 0,
  latestStartAtMs: 800,
  expectedHoldMs: 1_000,
  ...overrides,
});

function createQueue(waiting: readonly QueuedRequest[]) {
  const queue = createPlacementQueue({ random: () => 0.5 });
  waiting.forEach(queue.add);
  return queue;
}

test('a request that has waited half of its time goes before more urgent ones, one in five times', (t) => {
  // Otherwise requests of low priority wait until they are late while urgent ones keep arriving.
  const urgent = request({ priority: 0, arrivedAtMs: 100, latestStartAtMs: 900 });
  const [first, second] = [request(), request({ arrivedAtMs: 1, latestStartAtMs: 801 })];
  const queue = createQueue([urgent, first, second]);
  t.deepEqual(queue.sorted(390), [urgent, first, second]);
  t.deepEqual(queue.sorted(410), [first, urgent, second]);
  queue.notePlaced(first, 410);
  queue.remove(first);
  t.deepEqual(queue.sorted(410), [urgent, second]);
});

test('the queues of two services don’t affect each other’s order', (t) => {
  const urgentElsewhere = request({ serviceName: 'other', priority: 0, arrivedAtMs: 100 });
  const [newer, older] = [request({ arrivedAtMs: 50 }), request()];
  const queue = createQueue([urgentElsewhere, newer, older]);
  t.deepEqual(
    queue.sorted(700).filter(({ serviceName }) => serviceName === 's'),
    [older, newer],
  );
});

test('with equal priorities the order is that of arrival, however long they wait', (t) => {
  const waiting = [30, 10, 20].map((arrivedAtMs) =>
    request({ arrivedAtMs, latestStartAtMs: 900 - 20 * arrivedAtMs }),
  );
  const queue = createQueue(waiting);
  [0, 200, 290].forEach((nowMs) =>
    t.deepEqual(
      queue.sorted(nowMs).map(({ arrivedAtMs }) => arrivedAtMs),
      [10, 20, 30],
    ),
  );
});
