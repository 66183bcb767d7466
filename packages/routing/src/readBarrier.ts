/**
 * Waits until the process has read what had arrived for it. A process that is stopped, or has more work than processor
 * time, finds a caller's request and the end of the caller's connection in the kernel together, and the runtime delivers
 * the request first: all that follows from it, up to the write to a server, would be done for a caller that has left.
 * The same holds for a server's notice and a change of the configuration. One pass of the event loop through its poll
 * phase reads all of them.
 */
import { isInputCurrent } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface ReadBarrier {
  /** Starts the check of one action that follows from input that was read at `readAtMs`, of any time if absent. */
  check(readAtMs?: number): InputCheck;
}

/** Use as `while (!check.isCurrent()) { await check.nextPass(); }`, and act without waiting for anything else. */
export interface InputCheck {
  /** Whether what arrived before the action, but for the last moments, has been read. */
  isCurrent(): boolean;
  /** Resolves after a pass of the event loop that started after the call. */
  nextPass(): Promise<void>;
}

export function createReadBarrier(): ReadBarrier {
  /** All that had arrived by this time has been read. */
  let readThroughMs = -Infinity;
  /** The pass that has not started yet; shared by all that wait for one. */
  let upcomingPass: Promise<void> | undefined;

  function startPass(): Promise<void> {
    return new Promise((resolve) => {
      // The first callback ends the poll phase in progress, which may have started before the arrival; the second one
      // ends a poll phase that started after the first.
      setImmediate(() => {
        upcomingPass = undefined;
        const startedAtMs = monotonicNowMs();
        setImmediate(() => {
          readThroughMs = startedAtMs;
          resolve();
        });
      });
    });
  }

  function nextPass(): Promise<void> {
    upcomingPass ??= startPass();
    return upcomingPass;
  }

  return {
    check(readAtMs = -Infinity) {
      let passCount = 0;
      return {
        isCurrent: () =>
          isInputCurrent({ nowMs: monotonicNowMs(), readThroughMs, readAtMs, passCount }),
        async nextPass() {
          await nextPass();
          passCount += 1;
        },
      };
    },
  };
}

/** Lets everything pass at once. */
export const noReadBarrier: ReadBarrier = {
  check: () => ({ isCurrent: () => true, nextPass: () => Promise.resolve() }),
};
