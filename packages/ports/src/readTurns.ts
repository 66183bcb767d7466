/**
 * Shares the turns of the event loop among connections. A long piece of input can hold thousands of requests or parts of a
 * body, whose processor time no number of bytes tells. In one pass of the event loop only so much of long pieces is read;
 * the rest waits for the next passes, and what others send is read in between.
 */
import { createDropTurns, type DropTurns } from './dropTurns';

export interface ReadTurns {
  /** Those of input that is only dropped. */
  dropped: DropTurns;
  /** Whether a piece of this size may be read in this pass. */
  take(bytes: number): boolean;
  /** Calls the listener in a later pass, after those that have waited longer. */
  wait(listener: () => void): void;
}

/** Long pieces of a pass: two reads of a socket. */
const bytesPerPass = 131_072;
/** Heads and bodies of ordinary requests, which never wait. */
const shortPieceBytes = 4_096;

export function createReadTurns(): ReadTurns {
  let takenBytes = 0;
  let waiting: (() => void)[] = [];
  let isPassScheduled = false;

  function schedulePass(): void {
    if (!isPassScheduled) {
      isPassScheduled = true;
      setImmediate(beginPass);
    }
  }

  function beginPass(): void {
    isPassScheduled = false;
    takenBytes = 0;
    const listeners = waiting;
    waiting = [];
    listeners.forEach((listener) => listener());
  }

  return {
    dropped: createDropTurns(),
    take(bytes) {
      if (bytes <= shortPieceBytes) {
        return true;
      }
      if (takenBytes >= bytesPerPass) {
        return false;
      }
      takenBytes += bytes;
      schedulePass();
      return true;
    },
    wait(listener) {
      waiting.push(listener);
      schedulePass();
    },
  };
}
