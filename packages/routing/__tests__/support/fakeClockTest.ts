/** Tests under a clock that only they advance. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';

type Check = (t: ExecutionContext, clock: Clock) => Promise<void>;

/** Serial, as the clock replaces that of the whole process. */
export function testWithFakeClock(title: string, check: Check): void {
  test.serial(title, async (t) => {
    const clock = FakeTimers.install();
    try {
      await check(t, clock);
    } finally {
      clock.uninstall();
    }
  });
}
