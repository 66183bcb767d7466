import test from 'ava';
import { createRecentQuantile } from '../src';

test('is 0 before the first sample, then the quantile of the newest samples', (t) => {
  const recent = createRecentQuantile({ quantile: 0.9, sampleCount: 100, refreshEvery: 1 });
  t.is(recent.value(), 0);
  Array.from({ length: 100 }, (_, index) => recent.observe(index));
  t.is(recent.value(), 89);
  Array.from({ length: 100 }, () => recent.observe(5));
  t.is(recent.value(), 5, 'the first hundred are replaced');
});

test('is computed again only after refreshEvery samples', (t) => {
  const recent = createRecentQuantile({ quantile: 1, refreshEvery: 3 });
  recent.observe(1);
  t.is(recent.value(), 1);
  recent.observe(7);
  recent.observe(7);
  t.is(recent.value(), 1);
  recent.observe(7);
  t.is(recent.value(), 7);
});
