import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startStallWatch, type StallWatchOptions } from '../src/stallWatch';

function watchWithFakeTimers(
  isServerUnresponsive: boolean,
  act: (clock: FakeTimers.Clock, note: () => void) => void,
  over: Partial<StallWatchOptions> = {},
) {
  const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  let lostAtMs: number | undefined;
  try {
    const watch = startStallWatch({
      stallTimeoutMs: 2_000,
      unresponsiveStallTimeoutMs: 400,
      isServerUnresponsive: () => isServerUnresponsive,
      isServerRestarted: () => false,
      onLost() {
        lostAtMs ??= clock.now;
      },
      ...over,
    });
    act(clock, watch.noteProgress);
    watch.stop();
  } finally {
    clock.uninstall();
  }
  return lostAtMs;
}

test.serial(
  'a run without progress is lost after its timeout, sooner if its server is unresponsive',
  (t) => {
    const wait = (clock: FakeTimers.Clock) => clock.tick(5_000);
    const alone = watchWithFakeTimers(false, wait) ?? 0;
    const unresponsive = watchWithFakeTimers(true, wait) ?? 0;
    t.true(alone >= 2_000 && alone <= 2_100);
    t.true(unresponsive >= 400 && unresponsive <= 600);
  },
);

test.serial('progress restarts the timeout', (t) => {
  const lostAtMs = watchWithFakeTimers(false, (clock, note) => {
    clock.tick(1_500);
    note();
    clock.tick(1_900);
    note();
    clock.tick(3_000);
  });
  t.true((lostAtMs ?? 0) >= 5_400);
});

test.serial('a pause of the process itself does not count as a stall', (t) => {
  // Otherwise a healthy stream is aborted and restarted elsewhere: the process is suspended for seconds, and the data
  // that arrived meanwhile has not been read yet.
  const lostAtMs = watchWithFakeTimers(true, (clock, note) => {
    clock.tick(200);
    clock.jump(4_000);
    note();
    clock.tick(200);
  });
  t.is(lostAtMs, undefined);
});

test.serial('a run of a server that has restarted is lost at once', (t) => {
  // Otherwise the caller waits until its deadline: the server crashed and is registered again under its name without
  // its former state, but the connection to its former incarnation does not break.
  let isRestarted = false;
  const lostAtMs = watchWithFakeTimers(
    false,
    (clock, note) => {
      clock.tick(1_000);
      note();
      isRestarted = true;
      clock.tick(1_000);
    },
    { stallTimeoutMs: undefined, isServerRestarted: () => isRestarted },
  );
  t.true((lostAtMs ?? 0) >= 1_000 && (lostAtMs ?? 0) <= 1_100);
});

test.serial('a run that cannot continue elsewhere is left to a server that is responsive', (t) => {
  // Otherwise the caller loses a stream that is only paused: its engine is short of memory and will resume it.
  const wait = (clock: FakeTimers.Clock) => clock.tick(10_000);
  t.is(watchWithFakeTimers(false, wait, { stallTimeoutMs: undefined }), undefined);
  t.true((watchWithFakeTimers(true, wait, { stallTimeoutMs: undefined }) ?? Infinity) <= 600);
});
