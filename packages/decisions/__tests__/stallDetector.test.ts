import test from 'ava';
import { createStallDetector } from '../src/stallDetector';

test('slow but steady work is not a stall, however long it takes', (t) => {
  const detector = createStallDetector({ startedAtMs: 0, intervalMs: 250 });
  const verdicts = Array.from({ length: 400 }, (_, index) => {
    detector.progress(index, index * 200);
    return detector.check(index * 200).kind;
  });
  t.true(verdicts.every((kind) => kind === 'moving'));
});

// A transfer or a stream hangs, and the caller waits for a total timeout of many seconds.
// The sender is alive and keeps its connection, but no byte comes any more.
// Progress is asked for in each interval, so that the hang shows after one of them.
test('work that stops is found after an interval', (t) => {
  const detector = createStallDetector({ startedAtMs: 0, intervalMs: 250 });
  detector.progress(1_000, 100);
  t.is(detector.check(300).kind, 'moving');
  detector.progress(1_000, 340);
  t.like(detector.check(400), { kind: 'stalled', progress: 1_000, withoutProgressMs: 300 });
});

test('the first progress may take longer', (t) => {
  const detector = createStallDetector({ startedAtMs: 0, intervalMs: 250, firstProgressMs: 600 });
  t.is(detector.check(600).kind, 'moving');
  t.is(detector.check(601).kind, 'stalled');
});

// A healthy transfer is cut and paid for again.
// This process is paused for two seconds, and its first check afterwards sees no progress, because
// the data still waits in its socket. After a pause of its own it grants one more interval.
test('a pause of this process is not blamed on the sender', (t) => {
  const detector = createStallDetector({ startedAtMs: 0, intervalMs: 250 });
  detector.progress(10, 50);
  detector.check(100);
  t.is(detector.check(2_100).kind, 'moving');
  t.is(detector.check(2_400).kind, 'stalled');
});
