import test from 'ava';
import { createEventSize } from '@bluebellhitch/decisions';

const run = (requestId: string, memoryTokens: number, events: number) => ({
  requestId,
  memoryTokens,
  events,
});

test('nothing is known before something was measured', (t) => {
  t.is(createEventSize().tokens(), undefined);
});

test('reports tell what an event holds by how runs have grown', (t) => {
  const size = createEventSize();
  size.report('e', [run('a', 5_000, 1), run('b', 900, 0)]);
  size.report('e', [run('a', 5_640, 11), run('b', 1_540, 10)]);
  t.is(size.tokens(), 64);
});

test('a run that was read anew, or has hardly moved, tells nothing', (t) => {
  const size = createEventSize();
  size.report('e', [run('a', 5_000, 20), run('b', 900, 0)]);
  size.report('e', [run('a', 3_000, 30), run('b', 916, 2), run('c', 10_000, 90)]);
  t.is(size.tokens(), undefined);
});

test('hints tell it where reports do not, and reports go first', (t) => {
  const size = createEventSize();
  [0.5, 1, 2].forEach((error) => size.observe(320 * error, 20));
  t.is(size.tokens(), 16);
  size.report('e', [run('a', 100, 0)]);
  size.report('e', [run('a', 180, 10)]);
  t.is(size.tokens(), 8);
});
