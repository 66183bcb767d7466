/** Paused time that a world advances millisecond by millisecond, with all promises settled between. */
import { outside, ownTimers } from './simulatedProcess';

/** The part of `@sinonjs/fake-timers` that a world needs. */
export interface PausedClock {
  tick(durationMs: number): void;
  uninstall(): void;
}

export interface WorldTime {
  /** Advances; `onStep` is called after each millisecond and ends the advance early with true. */
  advance(durationMs: number, onStep?: () => boolean | void): Promise<void>;
  close(): void;
}

// The real one, from before the clock was paused.
const { setImmediate: whenPromisesSettled } = globalThis;

export function createWorldTime(clock: PausedClock): WorldTime {
  const disown = ownTimers();

  async function step(): Promise<void> {
    outside(() => clock.tick(1));
    await new Promise<void>((resolve) => {
      whenPromisesSettled(resolve);
    });
  }

  return {
    async advance(durationMs, onStep) {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 1) {
        await step();
        if (onStep?.() === true) {
          return;
        }
      }
    },
    close: () => {
      disown();
      clock.uninstall();
    },
  };
}
