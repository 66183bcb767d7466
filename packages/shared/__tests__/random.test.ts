import test from 'ava';
import { fromAnyPlace } from '@bluebellhitch/shared';

test('the rotated list has every item once and starts at the random offset', (t) => {
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
