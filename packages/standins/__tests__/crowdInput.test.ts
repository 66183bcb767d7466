import test from 'ava';
import { inOrder, once } from '../src';

test('parts in order are the same for each of several users of them', (t) => {
  // A connection that begins after another one has ended would send nothing, and its test would show nothing.
  const parts = inOrder(once('a'), once('b'));
  const read = () => [0, 1, 2].map((index) => parts(index)?.toString());
  t.deepEqual(read(), ['a', 'b', undefined]);
  t.deepEqual(read(), ['a', 'b', undefined]);
});
