import test from 'ava';
import { medianOf, quantilesOf } from '../src/accounting/quantiles';

test('quantiles are exact to a few per mille', (t) => {
  const { count, p50, p95, max } = quantilesOf(Array.from({ length: 1000 }, (_, index) => index));

  t.is(count, 1000);
  t.true(Math.abs(p50 - 500) < 2);
  t.true(Math.abs(p95 - 950) < 3);
  t.true(Math.abs(max - 999) < 2);
});

test('medians of odd and even counts', (t) => {
  t.is(medianOf([3, 1, 2]), 2);
  t.is(medianOf([4, 1, 2, 3]), 2.5);
});
