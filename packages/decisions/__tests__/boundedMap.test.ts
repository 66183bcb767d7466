import test from 'ava';
import fc from 'fast-check';
import { createBoundedMap } from '../src/boundedMap';
import { fixedSeed } from './helpers/fixtures';

test('never holds more than maxEntries and keeps the most recent writes', (t) => {
  const keys = fc.array(fc.integer({ min: 0, max: 30 }), { maxLength: 200, size: 'max' });
  fc.assert(
    fc.property(keys, fc.integer({ min: 1, max: 10 }), (written, maxEntries) => {
      const evicted: number[] = [];
      const map = createBoundedMap<number, number>({
        maxEntries,
        onEvict: (key) => evicted.push(key),
      });
      written.forEach((key, index) => map.set(key, index));
      const newest = [...new Set([...written].reverse())].slice(0, maxEntries);
      t.deepEqual([...map.entries()].map(([key]) => key).reverse(), newest);
      t.true(map.size() <= maxEntries);
    }),
    fixedSeed,
  );
});
