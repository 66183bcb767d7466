import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { startPauseTolerantTimer } from '@bluebellhitch/shared';

test.serial('a timer elapses once, after its timeout', (t) => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
  try {
    let ended = 0;
    startPauseTolerantTimer(400, () => {
      ended += 1;
    });
    clock.tick(399);
    t.is(ended, 0);
    clock.tick(2_000);
    t.is(ended, 1);
  } finally {
    clock.uninstall();
  }
});

test.serial('a timer that is stopped in a later slice never elapses', (t) => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
  try {
    const timer = startPauseTolerantTimer(400, () => t.fail());
    clock.tick(320);
    timer.stop();
    clock.tick(2_000);
    t.pass();
  } finally {
    clock.uninstall();
  }
});

test('a pause of the process counts as one slice', async (t) => {
  const startedAtMs = performance.now();
  const ended = new Promise<number>((resolve) => {
    startPauseTolerantTimer(160, () => resolve(performance.now() - startedAtMs));
  });
  while (performance.now() < startedAtMs + 500);
  t.true((await ended) >= 500 + (160 * 7) / 8 - 10);
});
