/** A queue from one producer to one consumer, which may stop reading early. */

export interface ChunkQueue<Value> extends AsyncIterable<Value> {
  push(value: Value): void;
  /** Ends the queue; values pushed before are still delivered. */
  end(): void;
}

export function createChunkQueue<Value>(
  onAbandoned: () => void = () => undefined,
): ChunkQueue<Value> {
  const values: Value[] = [];
  let ended = false;
  let waiting: ((result: IteratorResult<Value, undefined>) => void) | undefined;

  function deliver(): void {
    if (waiting === undefined || (values.length === 0 && !ended)) {
      return;
    }
    const resolve = waiting;
    waiting = undefined;
    resolve(nextResult());
  }

  function nextResult(): IteratorResult<Value, undefined> {
    const [value] = values.splice(0, 1);
    return value === undefined ? { done: true, value: undefined } : { done: false, value };
  }

  function abandon(): void {
    const wasRunning = !ended;
    ended = true;
    values.length = 0;
    deliver();
    if (wasRunning) {
      onAbandoned();
    }
  }

  return {
    push: (value) => {
      if (!ended) {
        values.push(value);
        deliver();
      }
    },
    end: () => {
      ended = true;
      deliver();
    },
    [Symbol.asyncIterator]: () => ({
      next: () =>
        new Promise((resolve) => {
          waiting = resolve;
          deliver();
        }),
      return: async () => {
        abandon();
        return { done: true as const, value: undefined };
      },
    }),
  };
}
