import test from 'ava';
import { createCarriedIds } from '../src/servers/carriedIds';

test('ids are remembered until there are too many', (t) => {
  const ids = createCarriedIds();
  let count = 0;
  while (!ids.isFull() && count < 10_000) {
    ids.add(`request-${count}`);
    count += 1;
  }
  t.true(count < 10_000);
  t.true(
    Array.from({ length: count }, (_none, index) => ids.has(`request-${index}`)).every(Boolean),
  );
  t.false(ids.has('another-request'));
});
