/** Routers that keep where streams began in one store, which counts its calls and can be down or restored. */
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { ObjectApi, PlatformError, StoredObject } from '@bluebellhitch/objects';
import { createOriginStore, type OriginStore } from '@bluebellhitch/routing';
import { createSeededRandom, delay } from '@bluebellhitch/shared';

export interface CountingStore {
  isDown: boolean;
  writeCount: number;
  writtenBytes: number;
  listCount: number;
  objects(): StoredObject[];
  put(key: string, value: unknown): void;
  /** Replaces all objects, as a restore from a backup does. */
  restore(objects: readonly StoredObject[]): void;
  api: Pick<ObjectApi, 'get' | 'list' | 'create' | 'update' | 'remove'>;
}

export interface OriginStoreFleet {
  store: CountingStore;
  routers: OriginStore[];
  /** Replaces all processes at one moment by new ones, which have forgotten everything. */
  restartAll(): void;
  close(): void;
}

export interface OriginStoreFleetOptions {
  hasSeveralVersions?: () => boolean;
  storeWritesPerSecond?: number;
  /** Routers of the whole fleet, of which only some are modelled. Default: those modelled. */
  routerCount?: number;
}

const kind = 'stream-origins' as const;
const callMs = 4;
const silent = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const unavailable: PlatformError = { kind: 'unavailable', detail: 'down' };

export function createCountingStore(): CountingStore {
  const stored = new Map<string, StoredObject>();
  let revision = 0;

  function put(key: string, value: unknown): StoredObject {
    revision += 1;
    const object = { kind, key, version: revision, value };
    stored.set(key, object);
    return object;
  }

  function call<Value>(
    answer: () => ResultAsync<Value, PlatformError>,
  ): ResultAsync<Value, PlatformError> {
    return okAsync<void, PlatformError>(undefined)
      .map(() => delay(callMs))
      .andThen(() => (store.isDown ? errAsync<Value, PlatformError>(unavailable) : answer()));
  }

  function write(key: string, value: unknown, isAllowed: boolean) {
    store.writeCount += 1;
    store.writtenBytes += JSON.stringify(value).length;
    return isAllowed
      ? okAsync<StoredObject, PlatformError>(put(key, value))
      : errAsync<StoredObject, PlatformError>({ kind: 'conflict' });
  }

  const store: CountingStore = {
    isDown: false,
    writeCount: 0,
    writtenBytes: 0,
    listCount: 0,
    objects: () => [...stored.values()],
    put,
    restore(objects) {
      stored.clear();
      objects.forEach(({ key, value }) => put(key, value));
    },
    api: {
      get: (_kind, key) =>
        call(() => {
          const object = stored.get(key);
          return object === undefined
            ? errAsync<StoredObject, PlatformError>({ kind: 'not-found' })
            : okAsync<StoredObject, PlatformError>(object);
        }),
      list: () =>
        call(() => {
          store.listCount += 1;
          return okAsync({ objects: [...stored.values()], cursor: `${revision}` });
        }),
      create: (_kind, key, value) => call(() => write(key, value, !stored.has(key))),
      update: (_kind, key, version, value) =>
        call(() => write(key, value, stored.get(key)?.version === version)),
      remove: (_kind, key, version) =>
        call(() => {
          if (stored.get(key)?.version === version) {
            stored.delete(key);
          }
          return okAsync<void, PlatformError>(undefined);
        }),
    },
  };
  return store;
}

export function createOriginStoreFleet(
  count: number,
  options: OriginStoreFleetOptions = {},
): OriginStoreFleet {
  const { hasSeveralVersions = () => true, storeWritesPerSecond, routerCount = count } = options;
  const store = createCountingStore();
  const random = createSeededRandom(count);

  function startRouter(index: number): OriginStore {
    const router = createOriginStore({
      objects: store.api,
      routerName: `router-${index}`,
      hasSeveralVersions,
      routerCount: () => routerCount,
      isSweeper: () => index === 0,
      storeWritesPerSecond,
      logger: silent,
      random,
    });
    router.start();
    return router;
  }

  const fleet: OriginStoreFleet = {
    store,
    routers: Array.from({ length: count }, (_none, index) => startRouter(index)),
    restartAll() {
      fleet.close();
      fleet.routers = fleet.routers.map((_router, index) => startRouter(index));
    },
    close() {
      fleet.routers.forEach((router) => {
        void router.stop();
      });
    },
  };
  return fleet;
}
