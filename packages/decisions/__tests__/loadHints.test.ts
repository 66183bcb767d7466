import test from 'ava';
import { createLoadHints, loadPressure } from '../src/loadHints';
import { loadHint } from './helpers/fixtures';

test('the estimated pressure approaches the average as a hint ages', (t) => {
  const hints = createLoadHints({ halfLifeMs: 500 });
  hints.record('full', loadHint({ freeKvBytes: 0 }), 0);
  hints.record('empty', loadHint({ freeKvBytes: 100 }), 0);
  const gapAt = (nowMs: number) =>
    hints.estimateLoad('full', nowMs).pressure - hints.estimateLoad('empty', nowMs).pressure;
  t.is(gapAt(0), 1);
  t.is(gapAt(500), 0.5);
  t.true(gapAt(10_000) < 0.001);
});

test('a delayed hint does not replace a newer one', (t) => {
  const hints = createLoadHints();
  hints.record('a', loadHint({ queuedCount: 7 }), 100);
  hints.record('a', loadHint({ queuedCount: 0 }), 50);
  t.is(hints.get('a', 100)?.hint.queuedCount, 7);
});

test('holds a bounded number of instances', (t) => {
  const hints = createLoadHints({ maxInstances: 10 });
  Array.from({ length: 100 }, (_, index) => hints.record(`i-${index}`, loadHint(), index));
  t.is(hints.size(), 10);
});

test('pressure grows with used memory, with the queue, and with plain calls', (t) => {
  const plain = { capacityKvBytes: 0, freeKvBytes: 0 };
  const ascending = [
    [loadHint({ freeKvBytes: 90 }), loadHint({ freeKvBytes: 10 })],
    [loadHint({ queuedCount: 0 }), loadHint({ queuedCount: 5 })],
    [loadHint({ ...plain, activeCount: 1 }), loadHint({ ...plain, activeCount: 20 })],
  ] as const;
  ascending.forEach(([lighter, heavier]) => t.true(loadPressure(lighter) < loadPressure(heavier)));
});
