import test from 'ava';
import fc from 'fast-check';
import { eraOf, maxEra, revisionOf, storePosition } from '@bluebellhitch/protocol';

const part = fc.record({
  era: fc.integer({ min: 0, max: maxEra }),
  revision: fc.integer({ min: 0, max: 2 ** 40 - 1 }),
});

test('a position keeps its era and revision, and positions sort by era first', (t) => {
  fc.assert(
    fc.property(part, part, (left, right) => {
      const [a, b] = [left, right].map(({ era, revision }) => storePosition(era, revision));
      const inOrder =
        left.era < right.era || (left.era === right.era && left.revision < right.revision);
      return (
        Number.isSafeInteger(a) &&
        eraOf(a as number) === left.era &&
        revisionOf(a as number) === left.revision &&
        (a as number) < (b as number) === inOrder
      );
    }),
    { seed: 1 },
  );
  t.pass();
});

test('in the first era a position equals the revision', (t) => {
  t.is(storePosition(0, 105), 105);
});
