/** Answers other processes' long polls of this process's feed. Any entry may be asked. */
import type { FeedReply, FeedRequest, InstanceListUpdate } from '@bluebellhitch/protocol';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { concernsServices } from './feedRecords';
import type { FeedStore } from './feedStore';
import type { InstanceDirectory } from './instanceDirectory';

export interface FeedServerOptions {
  /** Polls that wait at once; more are answered without waiting. */
  waitingLimit?: number;
  /** Passes the list of instances on, so that few processes read it from the platform. */
  directory?: Pick<InstanceDirectory, 'listing' | 'onChange'>;
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
  const { waitingLimit = defaultWaitingLimit, directory } = options;
  const waiting = new Set<AbortController>();
  let isClosed = false;

  async function feed(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply> {
    const askedAtMs = monotonicNowMs();
    const first = replyTo(request, askedAtMs);
    const isUseful =
      first.snapshot || first.records.length > 0 || first.instanceList?.instances !== undefined;
    if (isUseful || isClosed || waiting.size >= waitingLimit) {
      return first;
    }
    await waitForNews(request, askedAtMs, signal);
    return replyTo(request, askedAtMs);
  }

  function replyTo(request: FeedRequest, askedAtMs: number): FeedReply {
    const delta = store.since(request.cursor);
    return {
      ...delta,
      records: delta.records.filter((record) => concernsServices(record, request.services)),
      instanceList: listNews(request, askedAtMs),
    };
  }

  function listNews(request: FeedRequest, askedAtMs: number): InstanceListUpdate | undefined {
    const known = request.instanceList;
    const scope = request.services === undefined ? 'all' : 'entries';
    const own = directory?.listing(scope);
    if (known === undefined || own === undefined) {
      return undefined;
    }
    const knownAgeMs = known.ageMs + (monotonicNowMs() - askedAtMs);
    if (own.ageMs >= knownAgeMs) {
      return undefined;
    }
    return own.digest === known.digest ? { digest: own.digest, ageMs: own.ageMs } : own;
  }

  async function waitForNews(
    request: FeedRequest,
    askedAtMs: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort();
    const unsubscribe = store.subscribe((applied) => {
      if (applied.some((record) => concernsServices(record, request.services))) {
        wake();
      }
    });
    const unsubscribeList = directory?.onChange(() => {
      if (listNews(request, askedAtMs)?.instances !== undefined) {
        wake();
      }
    });
    signal?.addEventListener('abort', wake);
    waiting.add(woken);
    await delay(request.waitMs, woken.signal);
    waiting.delete(woken);
    signal?.removeEventListener('abort', wake);
    unsubscribe();
    unsubscribeList?.();
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
