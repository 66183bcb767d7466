/** Installs the fake clock of a world. */
import FakeTimers from '@sinonjs/fake-timers';
import type { PausedClock } from '../../src/world/worldTime';

export function installPausedClock(): PausedClock {
  return FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'],
  });
}
