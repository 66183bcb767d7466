/** Serves this process's feed to other processes by long polls. Every entry does, not only the relays. */
import type { FeedReply, FeedRequest, InstanceListUpdate } from '@bluebellhitch/protocol';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { concernsServices } from './feedRecords';
import type { FeedStore } from './feedStore';
import type { InstanceDirectory } from './instanceDirectory';

export interface FeedServerOptions {
  /** Polls that may wait at the same time; further ones get their response without waiting. */
  maxWaitingPolls?: number;
  /** Source of the list of instances, which is passed on so that few processes read it from the platform. */
  directory?: Pick<InstanceDirectory, 'listing' | 'onChange'>;
}

export interface FeedServer {
  /** The `feed` handler of `createEntryRouter`. */
  feed(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply>;
  /** Ends all waiting polls, so that they do not delay the exit. */
  close(): void;
  waitingCount(): number;
}

const defaultMaxWaitingPolls = 2000;

export function createFeedServer(store: FeedStore, options: FeedServerOptions = {}): FeedServer {
  const { maxWaitingPolls = defaultMaxWaitingPolls, directory } = options;
  const waiting = new Set<AbortController>();
  let isClosed = false;

  async function feed(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply> {
    const receivedAtMs = monotonicNowMs();
    const first = replyTo(request, receivedAtMs);
    const hasContent =
      first.snapshot || first.records.length > 0 || first.instanceList?.instances !== undefined;
    if (hasContent || isClosed || waiting.size >= maxWaitingPolls) {
      return first;
    }
    await waitForUpdate(request, receivedAtMs, signal);
    return replyTo(request, receivedAtMs);
  }

  function replyTo(request: FeedRequest, receivedAtMs: number): FeedReply {
    const delta = store.since(request.cursor);
    return {
      ...delta,
      records: delta.records.filter((record) => concernsServices(record, request.services)),
      instanceList: listUpdate(request, receivedAtMs),
    };
  }

  function listUpdate(request: FeedRequest, receivedAtMs: number): InstanceListUpdate | undefined {
    const known = request.instanceList;
    const scope = request.services === undefined ? 'all' : 'entries';
    const own = directory?.listing(scope);
    if (known === undefined || own === undefined) {
      return undefined;
    }
    const knownAgeMs = known.ageMs + (monotonicNowMs() - receivedAtMs);
    if (own.ageMs >= knownAgeMs) {
      return undefined;
    }
    return own.digest === known.digest ? { digest: own.digest, ageMs: own.ageMs } : own;
  }

  async function waitForUpdate(
    request: FeedRequest,
    receivedAtMs: number,
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
      if (listUpdate(request, receivedAtMs)?.instances !== undefined) {
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
