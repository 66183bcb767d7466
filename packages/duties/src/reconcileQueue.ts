/**
 * A queue of keys to reconcile. A key is queued at most once and handled at most once at a time. A key that is added
 * while it is being handled is handled again, so that no change is missed. The number of distinct keys bounds the size.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface ReconcileQueueOptions {
  /** `retry`: the key is queued again after `retryDelayMs`. */
  handle(key: string): Promise<'done' | 'retry'>;
  /** Keys that are handled concurrently. */
  concurrency?: number;
  retryDelayMs?: number;
}

export interface ReconcileQueue {
  add(key: string): void;
  /** Drops all waiting keys; keys that are being handled finish. */
  close(): void;
  /** Number of keys that are waiting, being handled or due for a retry. */
  size(): number;
}

export function createReconcileQueue(options: ReconcileQueueOptions): ReconcileQueue {
  const { handle, concurrency = 8, retryDelayMs = 250 } = options;
  const waiting = new Set<string>();
  const running = new Set<string>();
  const retryAtMs = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;

  function add(key: string): void {
    if (!isClosed) {
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
    if (outcome === 'retry' && !isClosed && !waiting.has(key)) {
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
    if (retryAtMs.size > 0 && !isClosed) {
      timer = setTimeout(addDue, retryDelayMs);
    }
  }

  function close(): void {
    isClosed = true;
    clearTimeout(timer);
    waiting.clear();
    retryAtMs.clear();
  }

  return { add, close, size: () => waiting.size + running.size + retryAtMs.size };
}
