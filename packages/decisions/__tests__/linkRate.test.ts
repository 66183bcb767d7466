import test from 'ava';
import { createLinkRates } from '../src/linkRate';

const finished = { sourceId: 'a', targetId: 'b', bytes: 1e8, durationMs: 100 };

test('learns the rate of a link, and expects the average for an unused link', (t) => {
  const rates = createLinkRates({ initialRateBytesPerSecond: 2e9 });
  t.is(rates.transferMs('a', 'b', 1e9), 500);
  Array.from({ length: 60 }, () => rates.observe(finished));
  t.true(Math.abs(rates.transferMs('a', 'b', 1e9) - 1_000) < 50);
  t.true(Math.abs(rates.rateBytesPerSecond('c', 'd') - 1.5e9) < 1e7);
});

test('a stall lowers the rate of its link, but not of other known links', (t) => {
  const rates = createLinkRates();
  rates.observe({ ...finished, sourceId: 'c', targetId: 'd' });
  Array.from({ length: 20 }, () => rates.observe(finished));
  const other = rates.rateBytesPerSecond('c', 'd');
  const before = rates.rateBytesPerSecond('a', 'b');
  Array.from({ length: 4 }, () => rates.observeStall('a', 'b'));
  t.true(rates.rateBytesPerSecond('a', 'b') < before / 2);
  t.is(rates.rateBytesPerSecond('c', 'd'), other);
});

test('ignores small transfers, and bounds the number of links', (t) => {
  const rates = createLinkRates({ maxLinks: 3 });
  rates.observe({ ...finished, bytes: 10 });
  t.is(rates.size(), 0);
  Array.from({ length: 10 }, (_, index) => rates.observe({ ...finished, sourceId: `s-${index}` }));
  t.is(rates.size(), 3);
});
