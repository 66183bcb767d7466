/**
 * A queue of keys to reconcile. A key waits at most once, runs at most once at a time, and runs again
 * where it was added while it ran, so that the last change is always seen. Bounded by the number of
 * distinct keys.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface ReconcileQueueOptions {
  /** `retry`: the key comes back after `retryDelayMs`. */
  handle(key: string): Promise<'done' | 'retry'>;
  /** Keys in work at once. */
  concurrency?: number;
  retryDelayMs?: number;
}

export interface ReconcileQueue {
  add(key: string): void;
  /** Drops everything that waits; keys in work finish. */
  close(): void;
  /** Keys that wait, run or will be retried. */
  size(): number;
}

export function createReconcileQueue(options: ReconcileQueueOptions): ReconcileQueue {
  const { handle, concurrency = 8, retryDelayMs = 250 } = options;
  const waiting = new Set<string>();
  const running = new Set<string>();
  const retryAtMs = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  function add(key: string): void {
    if (!closed) {
      retryAtMs.delete(key);
      waiting.add(key);
      startNext();
    }
  }

  function startNext(): void {
    const ready = [...waiting].filter((key) => !running.has(key));
    ready.slice(0, concurrency - running.size).forEach((key) => {
      waiting.delete(key);
      running.add(key);
      void run(key);
    });
  }

  async function run(key: string): Promise<void> {
    const outcome = await handle(key);
    running.delete(key);
    if (outcome === 'retry' && !closed && !waiting.has(key)) {
      retryAtMs.set(key, monotonicNowMs() + retryDelayMs);
      timer ??= setTimeout(addDue, retryDelayMs);
    }
    startNext();
  }

  function addDue(): void {
    timer = undefined;
    const nowMs = monotonicNowMs();
    const due = [...retryAtMs].filter(([, atMs]) => atMs <= nowMs).map(([key]) => key);
    due.forEach(add);
    if (retryAtMs.size > 0 && !closed) {
      timer = setTimeout(addDue, retryDelayMs);
    }
  }

  function close(): void {
    closed = true;
    clearTimeout(timer);
    waiting.clear();
    retryAtMs.clear();
  }

  return { add, close, size: () => waiting.size + running.size + retryAtMs.size };
}
