import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startRunningTimer } from '@bluebellhitch/shared';

test('a time-out is never shorter than it was asked for', (t) => {
  // The caller of a server that hangs would be told that its answer was lost, some milliseconds before the route's
  // time-out: the runtime cuts each slice to whole milliseconds.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  t.teardown(() => clock.uninstall());
  [149.9, 15.9, 1.2].forEach((timeoutMs) => {
    const startedAtMs = performance.now();
    let elapsedMs = 0;
    startRunningTimer(timeoutMs, () => {
      elapsedMs = performance.now() - startedAtMs;
    });
    clock.tick(1_000);
    t.true(elapsedMs >= timeoutMs, `${elapsedMs} ms of ${timeoutMs}`);
  });
});
