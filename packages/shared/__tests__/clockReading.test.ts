import test from 'ava';
import { ageMsOf, earlierBy, type ClockReading } from '@bluebellhitch/shared';

const at = (monotonicMs: number, wallMs: number): ClockReading => ({ monotonicMs, wallMs });

test('the age is known if both clocks agree', (t) => {
  t.is(ageMsOf(at(1_000, 50_000), at(3_000, 52_000)), 2_000);
  t.is(ageMsOf(at(1_000, 50_000), at(3_000, 52_040)), 2_040);
  t.is(ageMsOf(earlierBy(at(1_000, 50_000), 500), at(3_000, 52_000)), 2_500);
});

test('the age is unknown after the machine was suspended or its clock was stepped', (t) => {
  t.is(ageMsOf(at(1_000, 50_000), at(1_100, 56_100)), Infinity);
  t.is(ageMsOf(at(1_000, 50_000), at(3_000, 50_000)), Infinity);
});
