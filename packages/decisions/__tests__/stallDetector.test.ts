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

// Guards against waiting for a total timeout of many seconds when a transfer or stream hangs: the sender is
// alive and keeps its connection open, but sends no more data.
test('work that stops is detected after one interval', (t) => {
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

// Guards against aborting and repeating a healthy transfer: after this process was paused for two seconds, its
// first check sees no progress, because the data is still unread in the socket.
test('a pause of this process does not count as a stall', (t) => {
  const detector = createStallDetector({ startedAtMs: 0, intervalMs: 250 });
  detector.progress(10, 50);
  detector.check(100);
  t.is(detector.check(2_100).kind, 'moving');
  t.is(detector.check(2_400).kind, 'stalled');
});
