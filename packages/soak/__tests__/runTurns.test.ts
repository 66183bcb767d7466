import test from 'ava';
import { grantedMs, readProcessTimes } from './support/runTurns';

const atStart = { isReady: false, ranMs: 50, waitedMs: 20 };
const asleep = { isReady: false, ranMs: 60, waitedMs: 20 };

test('a process that sleeps in its turn could run for all of it', (t) => {
  t.is(grantedMs({ plannedMs: 24, runMs: 24, atStart, atStop: asleep, atEnd: asleep }), 24);
});

test('a process that waits for a processor in its turn could not run meanwhile', (t) => {
  const atStop = { isReady: true, ranMs: 60, waitedMs: 26 };
  t.is(
    grantedMs({ plannedMs: 24, runMs: 24, atStart, atStop, atEnd: { ...atStop, isReady: false } }),
    18,
  );
  const atEnd = { isReady: false, ranMs: 60, waitedMs: 30 };
  t.is(grantedMs({ plannedMs: 24, runMs: 24, atStart, atStop, atEnd }), 14);
});

test('a process that sleeps and waits for a processor only to stop could run for all of its turn', (t) => {
  const atEnd = { ...asleep, waitedMs: 60 };
  t.is(grantedMs({ plannedMs: 24, runMs: 24, atStart, atStop: asleep, atEnd }), 24);
});

test('a process that waits for a processor over its turn and the stop could run for as long as it ran', (t) => {
  const waiting = { ...atStart, isReady: true };
  t.is(grantedMs({ plannedMs: 24, runMs: 24, atStart, atStop: waiting, atEnd: waiting }), 0);
  const ranBefore = { ...waiting, ranMs: 53 };
  t.is(grantedMs({ plannedMs: 24, runMs: 24, atStart, atStop: ranBefore, atEnd: ranBefore }), 3);
});

// The starved router is judged by time in which it could not run, as the whole machine was held up: 14 of 16 streams "ran on".
test('a turn that lasted too long counts as planned, or for as long as the process ran', (t) => {
  const turn = { plannedMs: 24, runMs: 755, atStart };
  t.is(grantedMs({ ...turn, atStop: asleep, atEnd: asleep }), 24);
  const ranOn = { ...asleep, ranMs: 90 };
  t.is(grantedMs({ ...turn, atStop: ranOn, atEnd: ranOn }), 40);
});

test('the kernel tells how long this process has run, and that it runs', (t) => {
  const before = readProcessTimes(process.pid);
  const endsAtMs = performance.now() + 50;
  while (performance.now() < endsAtMs);
  const after = readProcessTimes(process.pid);
  t.true(after.isReady);
  t.true(after.ranMs > before.ranMs);
});
