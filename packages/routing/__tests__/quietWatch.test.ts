import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startQuietWatch, type QuietWatchOptions } from '../src/quietWatch';

function watchInPausedTime(
  isServerSilent: boolean,
  act: (clock: FakeTimers.Clock, note: () => void) => void,
  over: Partial<QuietWatchOptions> = {},
) {
  const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  let goneAtMs: number | undefined;
  try {
    const watch = startQuietWatch({
      quietMs: 2_000,
      silentServerQuietMs: 400,
      isServerSilent: () => isServerSilent,
      isServerRestarted: () => false,
      onGone() {
        goneAtMs ??= clock.now;
      },
      ...over,
    });
    act(clock, watch.noteProgress);
    watch.stop();
  } finally {
    clock.uninstall();
  }
  return goneAtMs;
}

test.serial(
  'a run that shows nothing is gone after its time, sooner where its server is silent',
  (t) => {
    const wait = (clock: FakeTimers.Clock) => clock.tick(5_000);
    const alone = watchInPausedTime(false, wait) ?? 0;
    const silent = watchInPausedTime(true, wait) ?? 0;
    t.true(alone >= 2_000 && alone <= 2_100);
    t.true(silent >= 400 && silent <= 600);
  },
);

test.serial('progress starts the time anew', (t) => {
  const goneAtMs = watchInPausedTime(false, (clock, note) => {
    clock.tick(1_500);
    note();
    clock.tick(1_900);
    note();
    clock.tick(3_000);
  });
  t.true((goneAtMs ?? 0) >= 5_400);
});

test.serial('a pause of the process itself is not held against the run', (t) => {
  // A stream that goes on would be broken off and begun again elsewhere. The process stands still for seconds; what
  // came meanwhile has not been read yet.
  const goneAtMs = watchInPausedTime(true, (clock, note) => {
    clock.tick(200);
    clock.jump(4_000);
    note();
    clock.tick(200);
  });
  t.is(goneAtMs, undefined);
});

test.serial('a run of a server that has started again is gone at once', (t) => {
  // A caller would wait to its deadline: the server crashed and is back under its name, and holds nothing of before, but
  // the connection to its former life does not break.
  let isRestarted = false;
  const goneAtMs = watchInPausedTime(
    false,
    (clock, note) => {
      clock.tick(1_000);
      note();
      isRestarted = true;
      clock.tick(1_000);
    },
    { quietMs: undefined, isServerRestarted: () => isRestarted },
  );
  t.true((goneAtMs ?? 0) >= 1_000 && (goneAtMs ?? 0) <= 1_100);
});

test.serial('a run that can not go on elsewhere is left to a server that answers others', (t) => {
  // A caller would lose a stream that only pauses: its engine is short of memory and takes it up again.
  const wait = (clock: FakeTimers.Clock) => clock.tick(10_000);
  t.is(watchInPausedTime(false, wait, { quietMs: undefined }), undefined);
  t.true((watchInPausedTime(true, wait, { quietMs: undefined }) ?? Infinity) <= 600);
});
