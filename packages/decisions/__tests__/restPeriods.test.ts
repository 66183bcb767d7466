import test from 'ava';
import fc from 'fast-check';
import { createRestPeriods, longestRestMs } from '@bluebellhitch/decisions';

const asked = fc.record({
  server: fc.constantFrom('a', 'b'),
  forMs: fc.integer({ min: 0, max: 5_000 }),
  afterMs: fc.integer({ min: 0, max: 2_000 }),
});

test('a server rests until the end of each rest that it asked for, whatever it said later', (t) => {
  // Answers overtake each other: a shorter rest that is read last must not end the longer one.
  const property = fc.property(fc.array(asked, { maxLength: 20 }), (steps) => {
    const rests = createRestPeriods();
    const ends: { server: string; endMs: number }[] = [];
    let nowMs = 0;
    return steps.every(({ server, forMs, afterMs }) => {
      nowMs += afterMs;
      rests.note(server, forMs, nowMs);
      ends.push({ server, endMs: nowMs + forMs });
      return ['a', 'b'].every((id) => {
        const own = ends.filter((one) => one.server === id).map(({ endMs }) => endMs);
        return rests.leftMs(id, nowMs) === Math.max(0, ...own.map((endMs) => endMs - nowMs));
      });
    });
  });
  t.notThrows(() => fc.assert(property, { seed: 29, numRuns: 500 }));
});

test('a rest is begun once, ends by itself, and is not believed for days', (t) => {
  const rests = createRestPeriods();
  t.true(rests.note('a', 3_000, 0));
  t.false(rests.note('a', 3_000, 1_000));
  t.is(rests.count(1_000), 1);
  t.is(rests.leftMs('a', 3_999), 1);
  t.is(rests.leftMs('a', 4_000), 0);
  t.is(rests.count(4_000), 0);
  t.false(rests.note('a', 0, 4_000));
  t.true(rests.note('a', 3 * 86_400_000, 4_000));
  t.is(rests.leftMs('a', 4_000), longestRestMs);
});
