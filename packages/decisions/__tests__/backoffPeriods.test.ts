import test from 'ava';
import fc from 'fast-check';
import { createBackoffPeriods, maxBackoffMs } from '@bluebellhitch/decisions';

const backoffRequest = fc.record({
  server: fc.constantFrom('a', 'b'),
  forMs: fc.integer({ min: 0, max: 5_000 }),
  afterMs: fc.integer({ min: 0, max: 2_000 }),
});

test('a backoff lasts until the end of each period that the server asked for, whatever it asked for later', (t) => {
  // Responses may arrive out of order: a shorter period that is read last must not end a longer one.
  const property = fc.property(fc.array(backoffRequest, { maxLength: 20 }), (steps) => {
    const periods = createBackoffPeriods();
    const ends: { server: string; endMs: number }[] = [];
    let nowMs = 0;
    return steps.every(({ server, forMs, afterMs }) => {
      nowMs += afterMs;
      periods.note(server, forMs, nowMs);
      ends.push({ server, endMs: nowMs + forMs });
      return ['a', 'b'].every((id) => {
        const own = ends.filter((end) => end.server === id).map(({ endMs }) => endMs);
        return periods.leftMs(id, nowMs) === Math.max(0, ...own.map((endMs) => endMs - nowMs));
      });
    });
  });
  t.notThrows(() => fc.assert(property, { seed: 29, numRuns: 500 }));
});

test('a backoff starts once, ends by itself, and has an upper limit', (t) => {
  const periods = createBackoffPeriods();
  t.true(periods.note('a', 3_000, 0));
  t.false(periods.note('a', 3_000, 1_000));
  t.is(periods.count(1_000), 1);
  t.is(periods.leftMs('a', 3_999), 1);
  t.is(periods.leftMs('a', 4_000), 0);
  t.is(periods.count(4_000), 0);
  t.false(periods.note('a', 0, 4_000));
  t.true(periods.note('a', 3 * 86_400_000, 4_000));
  t.is(periods.leftMs('a', 4_000), maxBackoffMs);
});
