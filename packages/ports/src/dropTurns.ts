/**
 * Bounds how fast input is read that is only dropped. A caller that sends without an end fills a buffer for each read, as fast
 * as it can send, and the runtime frees them only at its next garbage collection: at wire speed they outrun it. What is read
 * here in a while is small beside that, and callers that are not read are held back by the kernel.
 */

export interface DropTurns {
  /** Counts input that was dropped; false if its connection has to wait before it reads on. */
  take(bytes: number): boolean;
  /** Calls the listener once a further read may be dropped, in the order of the calls; returns a function to stop that. */
  wait(listener: () => void): () => void;
}

const periodMs = 10;
/** One read of a socket. */
const bytesPerPeriod = 65_536;

export function createDropTurns(): DropTurns {
  const waiting = new Set<() => void>();
  let takenBytes = 0;
  let isPeriodOpen = false;

  function openPeriod(): void {
    if (!isPeriodOpen) {
      isPeriodOpen = true;
      setTimeout(endPeriod, periodMs).unref();
    }
  }

  function endPeriod(): void {
    isPeriodOpen = false;
    takenBytes = 0;
    const [next] = waiting;
    if (next !== undefined) {
      waiting.delete(next);
      openPeriod();
      next();
    }
  }

  return {
    take(bytes) {
      takenBytes += bytes;
      openPeriod();
      return waiting.size === 0 && takenBytes <= bytesPerPeriod;
    },
    wait(listener) {
      const entry = () => listener();
      waiting.add(entry);
      openPeriod();
      return () => waiting.delete(entry);
    },
  };
}
