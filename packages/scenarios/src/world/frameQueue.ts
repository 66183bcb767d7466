/** Frames on their way to an entry: one reader, which may leave early. */
import type { StreamFrame } from '@bluebellhitch/protocol';

export interface FrameQueue extends AsyncIterable<StreamFrame> {
  push(frame: StreamFrame): void;
  /** What was pushed is still read. */
  end(): void;
  size(): number;
  /** Resolves when frames have been read, or at the end. */
  untilRoom(): Promise<void>;
}

export interface FrameQueueOptions {
  /** Resolves when the reader's process may take a frame. */
  turn: () => Promise<void>;
  /** The reader left before the end. */
  onLeft: () => void;
}

export function createFrameQueue({ turn, onLeft }: FrameQueueOptions): FrameQueue {
  let frames: StreamFrame[] = [];
  let ended = false;
  let wakers: (() => void)[] = [];

  function wakeAll(): void {
    const woken = wakers;
    wakers = [];
    woken.forEach((wake) => wake());
  }

  function change(): Promise<void> {
    return new Promise((resolve) => {
      wakers.push(resolve);
    });
  }

  async function* read(): AsyncGenerator<StreamFrame> {
    try {
      while (frames.length > 0 || !ended) {
        const [frame, ...rest] = frames;
        if (frame === undefined) {
          await change();
        } else {
          frames = rest;
          wakeAll();
          yield frame;
        }
        await turn();
      }
    } finally {
      if (!ended) {
        ended = true;
        onLeft();
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
    untilRoom: change,
    [Symbol.asyncIterator]: read,
  };
}
