import test from 'ava';
import { rotateRandomly } from '@bluebellhitch/shared';

test('the rotated list has every item once and starts at the random offset', (t) => {
  t.deepEqual(
    rotateRandomly([1, 2, 3], () => 0),
    [1, 2, 3],
  );
  t.deepEqual(
    rotateRandomly([1, 2, 3], () => 0.5),
    [2, 3, 1],
  );
  t.deepEqual(
    rotateRandomly([1, 2, 3], () => 0.999),
    [3, 1, 2],
  );
  t.deepEqual(
    rotateRandomly([], () => 0.5),
    [],
  );
});
