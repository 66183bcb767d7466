/** A queue of frames in transit to an entry, with one reader, which may stop reading early. */
import type { StreamFrame } from '@bluebellhitch/protocol';

export interface FrameQueue extends AsyncIterable<StreamFrame> {
  push(frame: StreamFrame): void;
  /** Ends the queue; frames pushed before can still be read. */
  end(): void;
  size(): number;
  /** Resolves at the next change of the queue, such as a frame being read. */
  whenChanged(): Promise<void>;
}

export interface FrameQueueOptions {
  /** Resolves when the reader's process is running. */
  whenReaderRunning: () => Promise<void>;
  /** Called when the reader stops before the end. */
  onAbandoned: () => void;
}

export function createFrameQueue({
  whenReaderRunning,
  onAbandoned,
}: FrameQueueOptions): FrameQueue {
  let frames: StreamFrame[] = [];
  let ended = false;
  let wakers: (() => void)[] = [];

  function wakeAll(): void {
    const woken = wakers;
    wakers = [];
    woken.forEach((wake) => wake());
  }

  function whenChanged(): Promise<void> {
    return new Promise((resolve) => {
      wakers.push(resolve);
    });
  }

  async function* read(): AsyncGenerator<StreamFrame> {
    try {
      while (frames.length > 0 || !ended) {
        const [frame, ...rest] = frames;
        if (frame === undefined) {
          await whenChanged();
        } else {
          frames = rest;
          wakeAll();
          yield frame;
        }
        await whenReaderRunning();
      }
    } finally {
      if (!ended) {
        ended = true;
        onAbandoned();
      }
    }
  }

  return {
    push: (frame) => {
      if (!ended) {
        frames.push(frame);
        wakeAll();
      }
    },
    end: () => {
      ended = true;
      wakeAll();
    },
    size: () => frames.length,
    whenChanged,
    [Symbol.asyncIterator]: read,
  };
}
