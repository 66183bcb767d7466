import { setImmediate as immediate } from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startHoldUpWatch } from '../src/callers/holdUpWatch';

test.serial('hold-ups are reported once, and remembered for a second', (t) => {
  const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  t.teardown(() => clock.uninstall());
  const reported: number[] = [];
  const watch = startHoldUpWatch({ onHoldUp: (durationMs) => reported.push(durationMs) });
  clock.tick(1_000);
  t.is(watch.recentMs(), 0);
  clock.jump(700);
  t.deepEqual(reported, [600]);
  t.is(watch.recentMs(), 600);
  clock.tick(900);
  t.is(watch.recentMs(), 600);
  clock.tick(200);
  t.is(watch.recentMs(), 0);
  t.deepEqual(reported, [600]);
  watch.stop();
});

test.serial('a hold-up that still lasts counts from the last tick', (t) => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  t.teardown(() => clock.uninstall());
  const watch = startHoldUpWatch();
  clock.tick(400);
  t.is(watch.recentMs(), 300);
  watch.stop();
});

test.serial(
  'a signal that is handled shortly after a hold-up may have waited for all of it',
  async (t) => {
    // Another thread may pass it on only some passes of the event loop later. The stop was planned from its handling then, and
    // the process killed before it had answered what was in progress.
    const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
    t.teardown(() => clock.uninstall());
    const watch = startHoldUpWatch();
    clock.tick(1_000);
    await immediate();
    t.is(watch.signalAgeMs(), 0);
    clock.jump(1_200);
    t.is(watch.signalAgeMs(), 1_200);
    await immediate();
    clock.tick(300);
    await immediate();
    t.is(watch.signalAgeMs(), 1_500);
    clock.tick(300);
    await immediate();
    t.is(watch.signalAgeMs(), 0);
    watch.stop();
  },
);

test.serial('what is read after a hold-up may have waited for all of it', async (t) => {
  const clock = FakeTimers.install({ toFake: ['setInterval', 'clearInterval', 'performance'] });
  t.teardown(() => clock.uninstall());
  const watch = startHoldUpWatch();
  clock.tick(1_000);
  await immediate();
  t.is(watch.unreadMs(), 0);
  // The timer runs before what has arrived is read.
  clock.jump(700);
  t.is(watch.unreadMs(), 700);
  await immediate();
  t.is(watch.unreadMs(), 0);
  watch.stop();
});
