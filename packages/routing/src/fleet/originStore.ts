/**
 * Keeps on record in the platform's store which service and software version have begun the streams in progress, as long as
 * several may have begun streams of their route. It is for the case that all routers that remember a stream end at one
 * moment: nothing else that outlives them ties it to a version. Each router writes one object with the streams that it
 * serves; a caller's request for a stream that no router remembers is looked up in the objects of all routers.
 */
import { createBoundedMap, writeIntervalMs } from '@bluebellhitch/decisions';
import {
  changeObject,
  objectKinds,
  replaceObject,
  type ObjectApi,
  type ObjectChange,
  type StoredObject,
} from '@bluebellhitch/objects';
import type { StreamOrigin } from '@bluebellhitch/protocol';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
  type Random,
  createSharedRead,
} from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { CallerRequest, Route } from '../model';
import { hasOtherServices, type MovedRoute } from '../movedRoutes';
import { isOnPath } from '../routeTable';
import { createByteBudget } from './byteBudget';
import { createOriginSweep } from './originSweep';
import {
  bytesPerStream,
  decodeOrigins,
  encodeOrigins,
  mergeOrigins,
  originDigest,
  type OriginsByDigest,
} from './originObjects';

export interface OriginStore extends BackgroundLoop {
  /** The first event of the stream has been passed on; its caller may take it up again until the request's deadline. */
  noteBegan(streamId: string, origin: StreamOrigin, asked: AskedStream): void;
  /** The stream's last event has been passed on, so that its caller has no reason to return. */
  noteComplete(streamId: string): void;
  /** To be called when a service may have got a further version. */
  noteVersionsChanged(): void;
  /** The configuration has moved routes to other services. */
  noteRoutesMoved(moved: readonly MovedRoute[]): void;
  /** The store was restored from a backup: the object may lack streams. */
  noteStoreRestored(): void;
  /** Never rejects. */
  find(streamId: string): Promise<OriginLookup>;
}

/** What a stream was asked for with. */
export interface AskedStream {
  route: Pick<Route, 'targets'>;
  request: Pick<CallerRequest, 'host' | 'target' | 'deadlineAtMs'>;
}

export type OriginLookup =
  | { kind: 'found'; origin: StreamOrigin }
  /** No router has put the stream on record. */
  | { kind: 'missing' }
  /** The store did not answer in time. */
  | { kind: 'unread' };

export interface OriginStoreOptions {
  objects: Pick<ObjectApi, 'get' | 'list' | 'create' | 'update' | 'remove'>;
  /** Name of this router, which a restarted process has again. */
  routerName: string;
  /** Whether streams of several software versions of the service may be in progress. */
  hasSeveralVersions: (serviceName: string) => boolean;
  /** All known routers, this one included. */
  routerCount: () => number;
  /** Whether this router removes what ended ones have left in the store. */
  isSweeper: () => boolean;
  /** Writes that the store takes from all routers together. Default: 400. */
  storeWritesPerSecond?: number;
  logger: Logger;
  random?: Random;
}

interface ServedStream {
  origin: StreamOrigin;
  untilMs: number;
  path: Pick<CallerRequest, 'host' | 'target'>;
  /** Its route has, or has had since it began, other services as well. */
  isOnSharedRoute: boolean;
  isWritten: boolean;
}

/** Stands in where no caller resumes a stream. */
export const noOriginStore: Pick<OriginStore, 'find' | 'noteBegan' | 'noteComplete'> = {
  find: () => Promise.resolve({ kind: 'missing' }),
  noteBegan: () => undefined,
  noteComplete: () => undefined,
};

/** Callers do not return later: it exceeds the longest time-out of the routes. */
export const maxReturnMs = 120_000;
/** Streams that begin within this time are written at once. */
const coalesceMs = 5;
const minWriteIntervalMs = 100;
const defaultStoreWritesPerSecond = 400;
/** Share of the store's rate that all routers together use at most. */
const writeShare = 0.25;
const byteBudget = { bytesPerSecond: 1_000, maxSavedMs: 10_000, initialMs: 10_000 };
/** Bytes of an object without streams, and of the call. */
const emptyObjectBytes = 150;
const retryMs = 300;
const idleMs = 1_000;
/** How long a caller waits for the store: about as long as it would otherwise be asked to stay away. */
const readTimeoutMs = 1_000;
const maxStreams = 4_096;

export function createOriginStore(options: OriginStoreOptions): OriginStore {
  const { objects, routerName, hasSeveralVersions, routerCount, logger } = options;
  const { storeWritesPerSecond = defaultStoreWritesPerSecond, random = Math.random } = options;
  const target = { objects, kind: objectKinds.streamOrigins, key: routerName };
  const served = createBoundedMap<string, ServedStream>({ maxEntries: maxStreams });
  const sweep = createOriginSweep({ ...options, minAgeMs: maxReturnMs });
  const budget = createByteBudget(byteBudget);
  const readAll = createSharedRead(list);
  /** Streams of an earlier process of this router. */
  let inherited = new Map<string, StreamOrigin>();
  let inheritedUntilMs = -Infinity;
  /** The object as last written; undefined if it has to be read again. */
  let stored: StoredObject | undefined;
  /** The streams of all routers as last read. */
  let lastListed: OriginsByDigest = new Map();
  let listedAtMs = -Infinity;
  let isWakeDue = false;
  let wake: () => void = () => undefined;

  function wakeLoop(): void {
    isWakeDue = true;
    wake();
  }

  function dropExpired(): void {
    const nowMs = monotonicNowMs();
    [...served.entries()]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([digest]) => served.delete(digest));
    if (inheritedUntilMs <= nowMs) {
      inherited = new Map();
    }
    if (listedAtMs + maxReturnMs <= nowMs) {
      lastListed = new Map();
    }
  }

  /** The streams that may have begun at several services or versions, for a router that does not know them. */
  function ambiguousStreams(): [string, ServedStream][] {
    return [...served.entries()].filter(([, stream]) => isAmbiguous(stream));
  }

  function isAmbiguous({ origin, isOnSharedRoute }: ServedStream): boolean {
    return isOnSharedRoute || hasSeveralVersions(origin.serviceName);
  }

  async function writeIfNeeded(): Promise<ObjectChange['kind']> {
    dropExpired();
    const streams = ambiguousStreams();
    if (streams.every(([, { isWritten }]) => isWritten)) {
      return 'unchanged';
    }
    sweep.noteObjects();
    budget.take(objectBytes());
    const change = await write(new Map(streams.map(([digest, { origin }]) => [digest, origin])));
    if (change.kind === 'written') {
      streams.forEach(([, stream]) => Object.assign(stream, { isWritten: true }));
    }
    stored = change.kind === 'written' ? change.object : undefined;
    logger.debug('stream origins', { outcome: change.kind, streams: streams.length });
    return change.kind;
  }

  function write(origins: ReadonlyMap<string, StreamOrigin>): Promise<ObjectChange> {
    const next = (current: StoredObject | undefined) => {
      if (stored === undefined) {
        inherit(decodeOrigins(current?.value));
      }
      return encodeOrigins(new Map([...inherited, ...origins]));
    };
    return stored === undefined
      ? changeObject({ ...target, next })
      : replaceObject({ ...target, next }, stored);
  }

  function inherit(origins: ReadonlyMap<string, StreamOrigin>): void {
    const foreign = [...origins].filter(([digest]) => !served.has(digest));
    inherited = new Map([...inherited, ...foreign].slice(-maxStreams));
    inheritedUntilMs = monotonicNowMs() + maxReturnMs;
  }

  function objectBytes(): number {
    return emptyObjectBytes + (inherited.size + ambiguousStreams().length) * bytesPerStream;
  }

  function intervalMs(): number {
    return writeIntervalMs({
      writerCount: routerCount(),
      objectBytes: objectBytes(),
      writesPerSecond: storeWritesPerSecond * writeShare,
      bytesPerSecond: byteBudget.bytesPerSecond,
      savedBytes: budget.available(),
      minIntervalMs: minWriteIntervalMs,
    });
  }

  const loop = createBackgroundLoop(async (signal) => {
    signal.addEventListener('abort', () => wake());
    while (!signal.aborted) {
      await sweep.run();
      await spreadFirstWrite(signal);
      const outcome = await writeIfNeeded();
      if (outcome === 'written') {
        await delay(intervalMs(), signal);
      } else if (outcome !== 'unchanged') {
        await delay(retryMs * (1 + random()), signal);
      } else {
        await untilWoken();
        await delay(coalesceMs, signal);
      }
    }
  });

  /** All routers learn of a further version at one moment. */
  async function spreadFirstWrite(signal: AbortSignal): Promise<void> {
    if (stored === undefined && ambiguousStreams().length > 0) {
      await delay(random() * intervalMs(), signal);
    }
  }

  async function untilWoken(): Promise<void> {
    if (!isWakeDue) {
      const woken = new AbortController();
      wake = () => woken.abort();
      await delay(idleMs, woken.signal);
    }
    isWakeDue = false;
  }

  async function list(): Promise<OriginsByDigest | undefined> {
    const listed = await objects.list(objectKinds.streamOrigins);
    if (listed.isErr()) {
      return undefined;
    }
    lastListed = mergeOrigins(listed.value.objects.map(({ value }) => value));
    listedAtMs = monotonicNowMs();
    return lastListed;
  }

  return {
    start: loop.start,
    stop: loop.stop,
    noteBegan(streamId, origin, { route, request: { host, target: path, deadlineAtMs } }) {
      const stream: ServedStream = {
        origin,
        untilMs: Math.min(deadlineAtMs, monotonicNowMs() + maxReturnMs),
        path: { host, target: path },
        isOnSharedRoute: hasOtherServices(route.targets, origin.serviceName),
        isWritten: false,
      };
      served.set(originDigest(streamId), stream);
      if (isAmbiguous(stream)) {
        wakeLoop();
      }
    },
    noteComplete: (streamId) => served.delete(originDigest(streamId)),
    noteVersionsChanged() {
      sweep.noteObjects();
      wakeLoop();
    },
    noteRoutesMoved(moved) {
      const hasMoved = ({ path }: ServedStream) => moved.some((route) => isOnPath(route, path));
      [...served.entries()]
        .filter(([, stream]) => hasMoved(stream))
        .forEach(([, stream]) => Object.assign(stream, { isOnSharedRoute: true }));
      sweep.noteObjects();
      wakeLoop();
    },
    noteStoreRestored() {
      stored = undefined;
      [...served.entries()].forEach(([, stream]) => Object.assign(stream, { isWritten: false }));
      wakeLoop();
    },
    async find(streamId) {
      const digest = originDigest(streamId);
      const known = lastListed.get(digest);
      if (known !== undefined) {
        return { kind: 'found', origin: known };
      }
      const listed = await Promise.race([readAll(), delay(readTimeoutMs).then(() => undefined)]);
      const origin = listed?.get(digest);
      if (origin !== undefined) {
        return { kind: 'found', origin };
      }
      return { kind: listed === undefined ? 'unread' : 'missing' };
    },
  };
}
