import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startStallWatch, type StallWatchOptions } from '../src/request/stallWatch';

interface Watched {
  /** When the run was reported as stalled, each time. */
  stalledAtMs: number[];
  /** When it was ended. */
  lostAtMs?: number;
}

function watchWithFakeTimers(
  isServerUnresponsive: boolean,
  act: (clock: FakeTimers.Clock, note: () => void) => void,
  over: Partial<StallWatchOptions> = {},
): Watched {
  const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  const watched: Watched = { stalledAtMs: [] };
  try {
    const watch = startStallWatch({
      stallTimeoutMs: 2_000,
      unresponsiveStallTimeoutMs: 400,
      isServerUnresponsive: () => isServerUnresponsive,
      isServerRestarted: () => false,
      onStalled: () => watched.stalledAtMs.push(clock.now),
      onLost() {
        watched.lostAtMs ??= clock.now;
      },
      ...over,
    });
    act(clock, watch.noteProgress);
    watch.stop();
  } finally {
    clock.uninstall();
  }
  return watched;
}

test.serial(
  'a run without progress is stalled after its timeout, sooner if its server is unresponsive',
  (t) => {
    const wait = (clock: FakeTimers.Clock) => clock.tick(5_000);
    const alone = watchWithFakeTimers(false, wait).stalledAtMs[0] ?? 0;
    const unresponsive = watchWithFakeTimers(true, wait).stalledAtMs[0] ?? 0;
    t.true(alone >= 2_000 && alone <= 2_100);
    t.true(unresponsive >= 400 && unresponsive <= 600);
  },
);

test.serial('a run is not ended for a silence of its server, however long', (t) => {
  // Otherwise callers lose streams that a sound server would have gone on with a moment later.
  const wait = (clock: FakeTimers.Clock) => clock.tick(20_000);
  t.is(watchWithFakeTimers(true, wait).lostAtMs, undefined);
  t.is(watchWithFakeTimers(false, wait).lostAtMs, undefined);
});

test.serial('a stall is reported until the run makes progress', (t) => {
  // A standby run that finds no memory at first has to be tried again.
  const { stalledAtMs } = watchWithFakeTimers(true, (clock, note) => {
    clock.tick(2_000);
    note();
    clock.tick(300);
  });
  t.true(stalledAtMs.length >= 10);
  t.true((stalledAtMs.at(-1) ?? Infinity) <= 2_000);
});

test.serial('progress restarts the timeout', (t) => {
  const { stalledAtMs } = watchWithFakeTimers(false, (clock, note) => {
    clock.tick(1_500);
    note();
    clock.tick(1_900);
    note();
    clock.tick(3_000);
  });
  t.true((stalledAtMs[0] ?? 0) >= 5_400);
});

test.serial('a pause of the process itself does not count as a stall', (t) => {
  // Otherwise a healthy stream is started elsewhere as well: the process is suspended for seconds, and the data that
  // arrived meanwhile has not been read yet.
  const watched = watchWithFakeTimers(true, (clock, note) => {
    clock.tick(200);
    clock.jump(4_000);
    note();
    clock.tick(200);
  });
  t.deepEqual(watched, { stalledAtMs: [] });
});

test.serial('a run of a server that has restarted is lost at once', (t) => {
  // Otherwise the caller waits until its deadline: the server crashed and is registered again under its name without
  // its former state, but the connection to its former incarnation does not break.
  let isRestarted = false;
  const { lostAtMs } = watchWithFakeTimers(
    false,
    (clock, note) => {
      clock.tick(1_000);
      note();
      isRestarted = true;
      clock.tick(1_000);
    },
    { isServerRestarted: () => isRestarted },
  );
  t.true((lostAtMs ?? 0) >= 1_000 && (lostAtMs ?? 0) <= 1_100);
});
