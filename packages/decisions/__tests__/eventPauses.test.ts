import test from 'ava';
import { createEventPauses, lateCause } from '../src/eventPauses';

test('the longest pause is kept with the event that ended it and the state at its end', (t) => {
  const pauses = createEventPauses<string>();
  t.is(pauses.longest(), undefined);
  pauses.note(1, 1_000, () => 'first event');
  t.is(pauses.longest(), undefined);
  pauses.note(2, 1_050, () => 'short');
  pauses.note(1, 1_450, () => 'longest');
  pauses.note(1, 1_500, () => 'last');
  t.deepEqual(pauses.longest(), { durationMs: 400, eventNumber: 4, context: 'longest' });
});

test('the median is of the time between events, not of the single longest pause', (t) => {
  const pauses = createEventPauses<undefined>();
  t.is(pauses.medianMs(), undefined);
  [0, 40, 80, 900, 940, 980].forEach((atMs) => pauses.note(1, atMs, () => undefined));
  t.is(pauses.medianMs(), 40);
});

test('a long stream keeps a bounded number of pauses for its median', (t) => {
  const pauses = createEventPauses<undefined>();
  Array.from({ length: 500 }, (_, index) => pauses.note(1, index * 10, () => undefined));
  Array.from({ length: 64 }, (_, index) => pauses.note(1, 5_000 + index * 30, () => undefined));
  t.is(pauses.medianMs(), 30);
});

test('a late stream is counted by its first event, its pause, or both', (t) => {
  const targets = { targetLatencyMs: 900, targetGapMs: 300 };
  const causeOf = (firstEventMs: number, longestPauseMs: number) =>
    lateCause({ firstEventMs, longestPauseMs }, targets);
  t.is(causeOf(900, 300), undefined);
  t.is(causeOf(901, 300), 'first-event');
  t.is(causeOf(900, 301), 'pause');
  t.is(causeOf(901, 301), 'both');
  t.is(
    lateCause({ firstEventMs: 1, longestPauseMs: 5_000 }, { ...targets, targetGapMs: 0 }),
    undefined,
  );
});
