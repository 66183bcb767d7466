/**
 * Shares the turns of the event loop among the responses of backend servers. A read can hold ten thousand chunks, whose
 * processor time does not follow from their bytes. Each line may be an event, which costs as much as a chunk. One pass of the
 * event loop parses a limited number of both for all responses; the rest waits for the next passes, and callers and other
 * servers are served in between.
 */

export interface ChunkTurns {
  /** Counts a chunk that was parsed; false if the response must wait before the next one. */
  take(chunk: Buffer): boolean;
  /** Calls the listener in a later pass, after those that have waited longer; returns a function to give that up. */
  wait(listener: () => void): () => void;
}

export interface ChunkTurnsOptions {
  /** Default: what takes a few milliseconds, and many times what sound servers send within them. */
  chunksPerPass?: number;
}

const defaultChunksPerPass = 4_096;

const lineFeed = 0x0a;

export function createChunkTurns(options: ChunkTurnsOptions = {}): ChunkTurns {
  const { chunksPerPass = defaultChunksPerPass } = options;
  const waiting = new Set<() => void>();
  let takenCount = 0;
  let isPassScheduled = false;

  function schedulePass(): void {
    if (!isPassScheduled) {
      isPassScheduled = true;
      setImmediate(beginPass);
    }
  }

  function beginPass(): void {
    isPassScheduled = false;
    takenCount = 0;
    serveWaiting();
    if (waiting.size > 0) {
      schedulePass();
    }
  }

  /** A listener that has to wait again stands behind all others. */
  function serveWaiting(): void {
    [...waiting].some((listener) => {
      if (waiting.delete(listener)) {
        listener();
      }
      return takenCount >= chunksPerPass;
    });
  }

  return {
    take(chunk) {
      takenCount += 1 + countLines(chunk);
      schedulePass();
      return takenCount < chunksPerPass;
    },
    wait(listener) {
      waiting.add(listener);
      schedulePass();
      return () => waiting.delete(listener);
    },
  };
}

function countLines(chunk: Buffer): number {
  let count = 0;
  let at = chunk.indexOf(lineFeed);
  while (at >= 0) {
    count += 1;
    at = chunk.indexOf(lineFeed, at + 1);
  }
  return count;
}
