import test from 'ava';
import { createRejectedIds } from '../src/servers/rejectedIds';

test('ids are remembered until they are too long together', (t) => {
  const ids = createRejectedIds();
  for (let count = 0; !ids.isFull(); count += 1) {
    t.true(count < 10_000);
    ids.add(`request-${count}`);
    t.true(ids.isFull() || ids.has(`request-${count}`));
  }
  t.true(ids.has('request-0'));
});

test('an id that is too long by itself is not remembered', (t) => {
  const ids = createRejectedIds();
  ids.add('x'.repeat(100_000));
  t.true(ids.isFull());
});
