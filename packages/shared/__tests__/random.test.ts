import test from 'ava';
import { fromAnyPlace } from '@bluebellhitch/shared';

test('a list is gone through once, begun at any of its places', (t) => {
  t.deepEqual(
    fromAnyPlace([1, 2, 3], () => 0),
    [1, 2, 3],
  );
  t.deepEqual(
    fromAnyPlace([1, 2, 3], () => 0.5),
    [2, 3, 1],
  );
  t.deepEqual(
    fromAnyPlace([1, 2, 3], () => 0.999),
    [3, 1, 2],
  );
  t.deepEqual(
    fromAnyPlace([], () => 0.5),
    [],
  );
});
