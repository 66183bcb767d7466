import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startPauseTolerantTimer } from '@bluebellhitch/shared';

test('a timer never elapses before its timeout', (t) => {
  // The runtime truncates each slice to whole milliseconds. A caller of a server that hangs would otherwise get a lost
  // response reported some milliseconds before the route's timeout.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  t.teardown(() => clock.uninstall());
  [149.9, 15.9, 1.2].forEach((timeoutMs) => {
    const startedAtMs = performance.now();
    let elapsedMs = 0;
    startPauseTolerantTimer(timeoutMs, () => {
      elapsedMs = performance.now() - startedAtMs;
    });
    clock.tick(1_000);
    t.true(elapsedMs >= timeoutMs, `${elapsedMs} ms of ${timeoutMs}`);
  });
});
