/** Fills the feed store from the platform: once by listing, or continuously by listing and watching. */
import { err, ok, type Result } from 'neverthrow';
import type { PlatformApi, PlatformError, StoredObject, WatchEvent } from '@bluebellhitch/objects';
import { feedKinds, type FeedKind, type FeedRecord } from '@bluebellhitch/protocol';
import { delay, type Random } from '@bluebellhitch/shared';
import { concernsServices, recordFromObject, tombstoneOf } from './feedRecords';
import type { FeedStore } from './feedStore';

export interface PlatformFeedOptions {
  platform: PlatformApi;
  store: FeedStore;
  /** Only records of these services; absent: all records. */
  services?: readonly string[];
  watchWaitMs: number;
  retryMs: number;
  maxRetryMs: number;
  random: Random;
}

export interface PlatformFeed {
  /** Reads all kinds once; `false` if a read failed. */
  load(): Promise<boolean>;
  /** Lists and watches all kinds until the signal aborts. */
  follow(signal: AbortSignal): Promise<void>;
}

export function createPlatformFeed(options: PlatformFeedOptions): PlatformFeed {
  const { platform, store, services, watchWaitMs, retryMs, maxRetryMs, random } = options;

  /** Applies the platform's objects, marks records that it no longer has as removed, and returns the cursor. */
  async function loadKind(kind: FeedKind): Promise<Result<string, PlatformError>> {
    // Only records known before the call count as removed if the list lacks them: one that arrives from another source
    // during the call may be newer than the list.
    const knownBefore = store.list(kind).filter((record) => concernsServices(record, services));
    const listed = await platform.list(kind);
    return listed.map(({ objects, cursor }) => {
      applyObjects(objects);
      const keys = new Set(objects.map(({ key }) => key));
      store.apply(knownBefore.filter(({ key }) => !keys.has(key)).map(tombstoneOf));
      return cursor;
    });
  }

  /** A process with few services reads their accepted documents one by one rather than listing all. */
  async function loadAccepted(names: readonly string[]): Promise<Result<void, PlatformError>> {
    const results = await Promise.all(names.map((name) => platform.get(feedKinds.accepted, name)));
    applyObjects(results.flatMap((result) => (result.isOk() ? [result.value] : [])));
    const failed = results.find((result) => result.isErr() && result.error.kind !== 'not-found');
    return failed?.isErr() ? err(failed.error) : ok(undefined);
  }

  async function load(): Promise<boolean> {
    const results = await Promise.all([
      services === undefined ? loadKind(feedKinds.accepted) : loadAccepted(services),
      loadKind(feedKinds.quarantine),
    ]);
    return results.every((result) => result.isOk());
  }

  function applyObjects(objects: readonly StoredObject[]): void {
    const records = objects.flatMap((object) => recordFromObject(object) ?? []);
    store.apply(records.filter((record) => concernsServices(record, services)));
  }

  function applyEvent(kind: FeedKind, event: WatchEvent): void {
    if (event.kind === 'put') {
      applyObjects([event.object]);
      return;
    }
    const known: FeedRecord | undefined = store.get(kind, event.key);
    store.apply(known === undefined ? [] : [tombstoneOf(known)]);
  }

  async function followKind(kind: FeedKind, signal: AbortSignal): Promise<void> {
    let cursor: string | undefined;
    let failures = 0;
    while (!signal.aborted) {
      const next = await listOrWatch(kind, cursor, signal);
      if (next.isOk()) {
        cursor = next.value;
        failures = 0;
      } else {
        const pauseMs = Math.min(maxRetryMs, retryMs * 2 ** failures);
        failures += 1;
        await delay(pauseMs * (0.5 + random() / 2), signal);
      }
    }
  }

  /** Makes one list or watch call; returns the next cursor, `undefined` if a new list is needed. */
  async function listOrWatch(
    kind: FeedKind,
    cursor: string | undefined,
    signal: AbortSignal,
  ): Promise<Result<string | undefined, PlatformError>> {
    if (cursor === undefined) {
      return loadKind(kind);
    }
    const reply = await platform.watch(kind, cursor, watchWaitMs, signal);
    return reply.map((watched) => {
      watched.events.forEach((event) => applyEvent(kind, event));
      return watched.compacted ? undefined : watched.cursor;
    });
  }

  async function follow(signal: AbortSignal): Promise<void> {
    await Promise.all(Object.values(feedKinds).map((kind) => followKind(kind, signal)));
  }

  return { load, follow };
}
