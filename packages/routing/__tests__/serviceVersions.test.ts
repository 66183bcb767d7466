import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import type { PlatformError, StoredObject } from '@bluebellhitch/objects';
import {
  createServerDirectory,
  createServiceVersions,
  type BackendServer,
  type ServerDirectory,
  type ServiceVersions,
} from '@bluebellhitch/routing';
import { delay } from '@bluebellhitch/shared';
import { decodeServer } from './support/decodeServer';

const silent = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const callMs = 4;

interface Store {
  isDown: boolean;
  writeCount: number;
  versions(service?: string): readonly string[];
  /** Replaces the record, as a restore from a backup does. */
  reset(versions: readonly string[]): void;
  objects: Parameters<typeof createServiceVersions>[0]['objects'];
}

function createStore(): Store {
  const stored = new Map<string, StoredObject>();
  let revision = 0;
  const kind = 'service-versions' as const;
  const after = <Value>(answer: () => Value) => delay(callMs).then(answer);
  const unavailable: PlatformError = { kind: 'unavailable', detail: 'down' };

  function write(key: string, value: unknown, isAllowed: boolean) {
    if (store.isDown || !isAllowed) {
      return errAsync<StoredObject, PlatformError>(
        store.isDown ? unavailable : { kind: 'conflict' },
      );
    }
    revision += 1;
    store.writeCount += 1;
    const object = { kind, key, version: revision, value };
    stored.set(key, object);
    return okAsync<StoredObject, PlatformError>(object);
  }

  const store: Store = {
    isDown: false,
    writeCount: 0,
    versions: (service = 's') =>
      (stored.get(service)?.value as { versions: string[] } | undefined)?.versions ?? [],
    reset(versions) {
      revision += 1;
      stored.set('s', { kind, key: 's', version: revision, value: { versions } });
    },
    objects: {
      get: (_kind, key) =>
        okAsync<void, PlatformError>(undefined)
          .map(() => delay(callMs))
          .andThen(() => {
            if (store.isDown) {
              return errAsync<StoredObject, PlatformError>(unavailable);
            }
            const object = stored.get(key);
            return object === undefined
              ? errAsync<StoredObject, PlatformError>({ kind: 'not-found' })
              : okAsync<StoredObject, PlatformError>(object);
          }),
      create: (_kind, key, value) =>
        okAsync<void, PlatformError>(undefined)
          .map(() => after(() => undefined))
          .andThen(() => write(key, value, !stored.has(key))),
      update: (_kind, key, version, value) =>
        okAsync<void, PlatformError>(undefined)
          .map(() => after(() => undefined))
          .andThen(() => write(key, value, stored.get(key)?.version === version)),
    },
  };
  return store;
}

interface Router {
  directory: ServerDirectory;
  versions: ServiceVersions;
  list(server: BackendServer): void;
}

function startRouter(store: Store, routerCount = 1): Router {
  const directory = createServerDirectory({
    onChanged({ kind, server }) {
      if (kind === 'added') {
        versions.noteServer(server);
      }
    },
  });
  const versions = createServiceVersions({
    ...{ objects: store.objects, directory, logger: silent },
    routerCount: () => routerCount,
  });
  versions.start();
  return { directory, versions, list: directory.put };
}

async function onlyVersion(clock: Clock, { versions }: Router): Promise<string | undefined> {
  const read = versions.onlyVersion('s');
  await clock.tickAsync(700);
  const only = await read;
  return only.kind === 'known' ? only.softwareVersion : undefined;
}

type Check = (t: ExecutionContext, clock: Clock, store: Store) => Promise<void>;

function testWithFakeClock(title: string, check: Check): void {
  test.serial(title, async (t) => {
    const clock = FakeTimers.install();
    try {
      await check(t, clock, createStore());
    } finally {
      clock.uninstall();
    }
  });
}

const first = decodeServer('a', 'v1');
const second = decodeServer('b', 'v2');

testWithFakeClock(
  'streams begin at a further version only once it is on record',
  async (t, clock, store) => {
    // A router that reads the record must not miss a version that has begun streams already.
    const router = startRouter(store);
    router.list(first);
    await clock.tickAsync(60);
    t.deepEqual(store.versions(), ['v1']);
    router.list(second);
    t.false(router.versions.mayBegin(second));
    await clock.tickAsync(60);
    t.true(router.versions.mayBegin(second));
    t.deepEqual(store.versions(), ['v1', 'v2']);
  },
);

testWithFakeClock(
  'streams begin at the only version at once, though the store does not answer',
  async (t, clock, store) => {
    // A router that starts as the store goes down would otherwise refuse all streams for some seconds.
    const router = startRouter(store);
    store.isDown = true;
    router.list(first);
    t.true(router.versions.mayBegin(first));
    await clock.tickAsync(1_000);
    t.true(router.versions.mayBegin(first));
  },
);

testWithFakeClock('servers without engines need no record', async (t, clock, store) => {
  // They write no streams, and must not wait for the store.
  const router = startRouter(store);
  const plain = { ...first, stage: undefined };
  router.list(plain);
  t.true(router.versions.mayBegin(plain));
  await clock.tickAsync(5_000);
  t.is(store.writeCount, 0);
});

testWithFakeClock(
  'a version is used after some seconds though the store does not record it',
  async (t, clock, store) => {
    // Otherwise a store that refuses writes would leave a service without servers.
    const router = startRouter(store);
    store.isDown = true;
    [first, second].forEach(router.list);
    await clock.tickAsync(1_000);
    t.false(router.versions.mayBegin(second));
    await clock.tickAsync(2_100);
    t.true(router.versions.mayBegin(second));
  },
);

testWithFakeClock(
  'many routers that see a version at one moment record it once',
  async (t, clock, store) => {
    // The store limits and charges calls.
    const routers = Array.from({ length: 60 }, () => startRouter(store, 60));
    routers.forEach(({ list }) => list(first));
    await clock.tickAsync(2_500);
    t.true(routers.every(({ versions }) => versions.mayBegin(first)));
    t.is(store.writeCount, 1);
  },
);

testWithFakeClock(
  'the only version on record is the one that has begun all streams',
  async (t, clock, store) => {
    const router = startRouter(store);
    router.list(first);
    await clock.tickAsync(100);
    t.is(await onlyVersion(clock, router), 'v1');
  },
);

testWithFakeClock(
  'a router whose list lacks a version learns of it from the record',
  async (t, clock, store) => {
    // It was cut off while servers of another version came, or has started after they left.
    const cutOff = startRouter(store);
    cutOff.list(first);
    await clock.tickAsync(100);
    const other = startRouter(store);
    [first, second].forEach(other.list);
    await clock.tickAsync(100);
    t.is(await onlyVersion(clock, cutOff), undefined);
    other.directory.remove('b');
    t.is(await onlyVersion(clock, other), undefined);
    const restarted = startRouter(store);
    restarted.list(first);
    await clock.tickAsync(100);
    t.is(await onlyVersion(clock, restarted), undefined);
  },
);

testWithFakeClock(
  'without an answer of the store, no version is taken for the only one',
  async (t, clock, store) => {
    // A router that is cut off from the store does not know what has come since.
    const router = startRouter(store);
    router.list(first);
    await clock.tickAsync(100);
    store.isDown = true;
    t.is(await onlyVersion(clock, router), undefined);
  },
);

testWithFakeClock(
  'a version that has left is retired, and recorded again when it comes back',
  async (t, clock, store) => {
    // The record must not grow, and streams that no router remembers go on again some time after a release.
    const routers = [startRouter(store), startRouter(store)];
    routers.forEach(({ list }) => [first, second].forEach(list));
    await clock.tickAsync(2_000);
    routers.forEach(({ directory }) => directory.remove('b'));
    await clock.tickAsync(110_000);
    t.deepEqual(store.versions(), ['v1', 'v2']);
    await clock.tickAsync(120_000);
    t.deepEqual(store.versions(), ['v1']);
    t.is(await onlyVersion(clock, routers[0] as Router), 'v1');
    routers.forEach(({ list }) => list(second));
    t.false(routers.some(({ versions }) => versions.mayBegin(second)));
    await clock.tickAsync(500);
    t.deepEqual(store.versions(), ['v1', 'v2']);
  },
);

testWithFakeClock(
  'a version is retired later if the store was away when it was due',
  async (t, clock, store) => {
    // It would stay on record, and streams that no router remembers would be refused from then on.
    const router = startRouter(store);
    [first, second].forEach(router.list);
    await clock.tickAsync(2_000);
    router.directory.remove('b');
    await clock.tickAsync(125_000);
    store.isDown = true;
    await clock.tickAsync(100_000);
    store.isDown = false;
    t.deepEqual(store.versions(), ['v1', 'v2']);
    await clock.tickAsync(5_000);
    t.deepEqual(store.versions(), ['v1']);
  },
);

testWithFakeClock(
  'after a restore the record is not trusted until the routers have written it again',
  async (t, clock, store) => {
    // The backup may be from before the other version came.
    const router = startRouter(store);
    [first, second].forEach(router.list);
    await clock.tickAsync(100);
    const cutOff = startRouter(store);
    cutOff.list(first);
    await clock.tickAsync(100);
    store.reset(['v1']);
    [router, cutOff].forEach(({ versions }) => versions.noteStoreRestored());
    t.is(await onlyVersion(clock, cutOff), undefined);
    await clock.tickAsync(12_000);
    t.deepEqual(store.versions(), ['v1', 'v2']);
    t.is(await onlyVersion(clock, cutOff), undefined);
  },
);

testWithFakeClock(
  'a service that has taken over a route is known to have got streams of other versions, for a while',
  async (t, clock, store) => {
    // Streams of the earlier service are taken up there. With all routers gone, its own version was taken for theirs.
    const router = startRouter(store);
    router.list(first);
    router.list({ ...second, id: 'old', name: 'old', serviceName: 'old' });
    await clock.tickAsync(100);
    t.deepEqual(store.versions(), ['v1']);
    t.is(await onlyVersion(clock, router), 'v1');
    const path = { host: 'h', pathPrefix: '/' };
    router.versions.noteMoved([{ ...path, from: ['old'], to: ['s'] }]);
    await clock.tickAsync(100);
    t.deepEqual(store.versions(), ['v1', 'v2']);
    t.deepEqual(store.versions('old'), ['v2']);
    const restarted = startRouter(store);
    restarted.list(first);
    await clock.tickAsync(100);
    t.is(await onlyVersion(clock, restarted), undefined);
    await clock.tickAsync(240_000);
    t.deepEqual(store.versions(), ['v1']);
    t.is(await onlyVersion(clock, restarted), 'v1');
  },
);

testWithFakeClock(
  'nothing is written for a route that moves between services of one version, or stays at one as well',
  async (t, clock, store) => {
    // Each call of the store is paid for, and the version is known in either case.
    const router = startRouter(store);
    router.list(first);
    router.list({ ...first, id: 'same', name: 'same', serviceName: 'same' });
    router.list({ ...second, id: 'other', name: 'other', serviceName: 'other' });
    await clock.tickAsync(100);
    const { writeCount } = store;
    const path = { host: 'h', pathPrefix: '/' };
    router.versions.noteMoved([
      { ...path, from: ['same'], to: ['s'] },
      { ...path, from: ['s', 'other'], to: ['s', 'other', 'same'] },
    ]);
    await clock.tickAsync(5_000);
    t.is(store.writeCount, writeCount);
    t.is(await onlyVersion(clock, router), 'v1');
  },
);
