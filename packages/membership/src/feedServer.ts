/** Answers other processes' long polls of this process's feed. Any entry may be asked. */
import type { FeedReply, FeedRequest } from '@bluebellhitch/protocol';
import { delay } from '@bluebellhitch/shared';
import { concernsServices } from './feedRecords';
import type { FeedDelta, FeedStore } from './feedStore';

export interface FeedServerOptions {
  /** Polls that wait at once; more are answered without waiting. */
  waitingLimit?: number;
}

export interface FeedServer {
  /** The `feed` handler of `createEntryRouter`. */
  feed(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply>;
  /** Answers all waiting polls, so that they do not hold up an exit. */
  close(): void;
  waitingCount(): number;
}

const defaultWaitingLimit = 2000;

export function createFeedServer(store: FeedStore, options: FeedServerOptions = {}): FeedServer {
  const { waitingLimit = defaultWaitingLimit } = options;
  const waiting = new Set<AbortController>();
  let isClosed = false;

  async function feed(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply> {
    const first = replyTo(request);
    const isUseful = first.snapshot || first.records.length > 0;
    if (isUseful || isClosed || waiting.size >= waitingLimit) {
      return first;
    }
    await waitForNews(request, signal);
    return replyTo(request);
  }

  function replyTo(request: FeedRequest): FeedDelta {
    const delta = store.since(request.cursor);
    return {
      ...delta,
      records: delta.records.filter((record) => concernsServices(record, request.services)),
    };
  }

  async function waitForNews(request: FeedRequest, signal?: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort();
    const unsubscribe = store.subscribe((applied) => {
      if (applied.some((record) => concernsServices(record, request.services))) {
        wake();
      }
    });
    signal?.addEventListener('abort', wake);
    waiting.add(woken);
    await delay(request.waitMs, woken.signal);
    waiting.delete(woken);
    signal?.removeEventListener('abort', wake);
    unsubscribe();
  }

  return {
    feed,
    close() {
      isClosed = true;
      [...waiting].forEach((woken) => woken.abort());
    },
    waitingCount: () => waiting.size,
  };
}
