import test from 'ava';
import { createOutputLengths } from '@bluebellhitch/decisions';
import { createSeededRandom } from '@bluebellhitch/shared';

const random = createSeededRandom(7);
const normal = () => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

test('has no estimate after a few responses', (t) => {
  const lengths = createOutputLengths();
  Array.from({ length: 7 }, () => lengths.observe('a', 400, 10));
  t.is(lengths.estimate('a', 400), undefined);
  t.is(lengths.estimate('b', 400), undefined);
});

test('the estimate lies between the hint and the typical length', (t) => {
  // Lengths scatter around 50 events, and hints around the actual length, both with a deviation of 0.5 in the
  // logarithm: half of a hint's distance from the typical length is chance.
  const lengths = createOutputLengths();
  Array.from({ length: 400 }, () => {
    const events = 50 * Math.exp(0.5 * normal());
    lengths.observe('a', 10 * events * Math.exp(0.5 * normal()), events);
  });
  const typical = lengths.estimate('a', 500);
  const high = lengths.estimate('a', 2_000);
  t.true(Math.abs((typical?.medianEvents ?? 0) - 50) < 8);
  t.true(Math.abs((high?.medianEvents ?? 0) - 100) < 20);
  t.true(Math.abs((typical?.deviation ?? 0) - 0.35) < 0.08);
});

test('responses without hints form a separate class', (t) => {
  const lengths = createOutputLengths();
  Array.from({ length: 20 }, (_none, index) => lengths.observe('a', undefined, 30 + (index % 3)));
  const estimate = lengths.estimate('a', undefined);
  t.true(Math.abs((estimate?.medianEvents ?? 0) - 31) < 1);
  t.is(lengths.estimate('a', 100), undefined);
});

test('follows a change in lengths', (t) => {
  const lengths = createOutputLengths();
  Array.from({ length: 300 }, () => lengths.observe('a', undefined, 20));
  Array.from({ length: 600 }, () => lengths.observe('a', undefined, 80));
  t.true((lengths.estimate('a', undefined)?.medianEvents ?? 0) > 65);
});
