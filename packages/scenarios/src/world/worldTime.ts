/** Fake time that a world advances in steps of 1 ms; all pending promises settle after each step. */
import { runOutsideProcesses, interceptTimers } from './simulatedProcess';

/** The part of the `@sinonjs/fake-timers` clock that a world needs. */
export interface PausedClock {
  tick(durationMs: number): void;
  uninstall(): void;
}

export interface WorldTime {
  /** Advances time. `onStep` is called after each millisecond; if it returns true, the advance ends early. */
  advance(durationMs: number, onStep?: () => boolean | void): Promise<void>;
  close(): void;
}

// The real function: captured before the clock is faked.
const { setImmediate: whenPromisesSettled } = globalThis;

export function createWorldTime(clock: PausedClock): WorldTime {
  const restoreTimers = interceptTimers();

  async function step(): Promise<void> {
    runOutsideProcesses(() => clock.tick(1));
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
      restoreTimers();
      clock.uninstall();
    },
  };
}
