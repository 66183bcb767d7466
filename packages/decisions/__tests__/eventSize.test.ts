import test from 'ava';
import { createEventSize } from '@bluebellhitch/decisions';

const run = (requestId: string, memoryTokens: number, events: number) => ({
  requestId,
  memoryTokens,
  events,
});

test('is undefined before the first measurement', (t) => {
  t.is(createEventSize().tokensPerEvent(), undefined);
});

test('estimates tokens per event from the growth of runs between reports', (t) => {
  const size = createEventSize();
  size.report('e', [run('a', 5_000, 1), run('b', 900, 0)]);
  size.report('e', [run('a', 5_640, 11), run('b', 1_540, 10)]);
  t.is(size.tokensPerEvent(), 64);
});

test('ignores runs that were restarted, have hardly advanced or are new', (t) => {
  const size = createEventSize();
  size.report('e', [run('a', 5_000, 20), run('b', 900, 0)]);
  size.report('e', [run('a', 3_000, 30), run('b', 916, 2), run('c', 10_000, 90)]);
  t.is(size.tokensPerEvent(), undefined);
});

test('uses hints without reports, and prefers reports', (t) => {
  const size = createEventSize();
  [0.5, 1, 2].forEach((error) => size.observe(320 * error, 20));
  t.is(size.tokensPerEvent(), 16);
  size.report('e', [run('a', 100, 0)]);
  size.report('e', [run('a', 180, 10)]);
  t.is(size.tokensPerEvent(), 8);
});
