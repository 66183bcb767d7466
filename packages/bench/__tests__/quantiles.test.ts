import test from 'ava';
import { computeMedian, computeQuantiles } from '../src/accounting/quantiles';

test('quantiles are accurate to a few parts per thousand', (t) => {
  const { count, p50, p95, max } = computeQuantiles(
    Array.from({ length: 1000 }, (_, index) => index),
  );

  t.is(count, 1000);
  t.true(Math.abs(p50 - 500) < 2);
  t.true(Math.abs(p95 - 950) < 3);
  t.true(Math.abs(max - 999) < 2);
});

test('medians of odd and even counts', (t) => {
  t.is(computeMedian([3, 1, 2]), 2);
  t.is(computeMedian([4, 1, 2, 3]), 2.5);
});
