import type { Clock } from '@sinonjs/fake-timers';
import type { StreamOrigin } from '@bluebellhitch/protocol';
import type { OriginStore } from '@bluebellhitch/routing';
import { createSeededRandom, monotonicNowMs } from '@bluebellhitch/shared';
import { testWithFakeClock } from './support/fakeClockTest';
import { createOriginStoreFleet, type OriginStoreFleet } from './support/originStoreFleet';

const first: StreamOrigin = { serviceName: 's', softwareVersion: 'v1' };
const second: StreamOrigin = { serviceName: 's', softwareVersion: 'v2' };
const returnMs = 14_000;
/** A small fleet has written what has begun within this time. */
const writtenMs = 150;

function begin(
  { routers }: OriginStoreFleet,
  router: number,
  streamId: string,
  origin = first,
  targets = [{ serviceName: origin.serviceName, weight: 1 }],
): void {
  const request = { host: 'h', target: '/long/1', deadlineAtMs: monotonicNowMs() + returnMs };
  routers[router]?.noteBegan(streamId, origin, { route: { targets }, request });
}

async function find(clock: Clock, { routers }: OriginStoreFleet, router: number, streamId: string) {
  const search = routers[router]?.find(streamId);
  await clock.tickAsync(1_100);
  const found = await search;
  return found?.kind === 'found' ? found.origin : found?.kind;
}

testWithFakeClock('streams are found after all routers ended at one moment', async (t, clock) => {
  // Their callers come back to routers that remember nothing.
  const fleet = createOriginStoreFleet(4);
  begin(fleet, 0, 'a', first);
  begin(fleet, 1, 'b', second);
  await clock.tickAsync(writtenMs);
  fleet.restartAll();
  t.deepEqual(await find(clock, fleet, 2, 'a'), first);
  t.deepEqual(await find(clock, fleet, 3, 'b'), second);
  t.is(await find(clock, fleet, 3, 'c'), 'missing');
  fleet.close();
});

testWithFakeClock(
  'streams are still found after all routers ended again, and the new ones had written',
  async (t, clock) => {
    // A restarted router writes the object of its earlier process, whose streams are still taken up.
    const fleet = createOriginStoreFleet(2);
    begin(fleet, 0, 'a', first);
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    begin(fleet, 0, 'b', second);
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    begin(fleet, 0, 'c', second);
    await clock.tickAsync(writtenMs);
    t.deepEqual(await find(clock, fleet, 1, 'a'), first);
    t.deepEqual(await find(clock, fleet, 1, 'b'), second);
    fleet.close();
  },
);

testWithFakeClock('the store is not called while one version serves', async (t, clock) => {
  // Each call of the store is paid for, and one version alone needs no record of streams.
  const fleet = createOriginStoreFleet(2, { hasSeveralVersions: () => false });
  begin(fleet, 0, 'a');
  await clock.tickAsync(300_000);
  t.is(fleet.store.writeCount + fleet.store.listCount, 0);
  fleet.close();
});

testWithFakeClock(
  'streams that began while one version served are put on record once another one serves',
  async (t, clock) => {
    // A release starts with all streams in progress at the old version.
    let hasSeveral = false;
    const fleet = createOriginStoreFleet(2, { hasSeveralVersions: () => hasSeveral });
    begin(fleet, 0, 'a');
    await clock.tickAsync(2_000);
    hasSeveral = true;
    fleet.routers.forEach((router) => router.noteVersionsChanged());
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    t.deepEqual(await find(clock, fleet, 1, 'a'), first);
    fleet.close();
  },
);

testWithFakeClock(
  'streams of a route with several services are found after all routers ended, though each service has one version',
  async (t, clock) => {
    // They were not put on record, so none of them went on.
    const fleet = createOriginStoreFleet(2, { hasSeveralVersions: () => false });
    const shared = ['s', 'other'].map((serviceName) => ({ serviceName, weight: 1 }));
    begin(fleet, 0, 'a', first, shared);
    begin(fleet, 0, 'single', first);
    begin(fleet, 0, 'unshared', first, [
      ...shared.slice(0, 1),
      { serviceName: 'other', weight: 0 },
    ]);
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    t.deepEqual(await find(clock, fleet, 1, 'a'), first);
    t.is(await find(clock, fleet, 1, 'single'), 'missing');
    t.is(await find(clock, fleet, 1, 'unshared'), 'missing');
    fleet.close();
  },
);

testWithFakeClock(
  'streams in progress are put on record when a configuration moves their route',
  async (t, clock) => {
    // The configuration that the routers read after their end does not name the service that began them.
    const fleet = createOriginStoreFleet(1, { hasSeveralVersions: () => false });
    begin(fleet, 0, 'a');
    await clock.tickAsync(2_000);
    t.is(fleet.store.writeCount, 0);
    const path = { host: 'h', from: ['s'], to: ['other'] };
    fleet.routers[0]?.noteRoutesMoved([{ ...path, pathPrefix: '/short/' }]);
    await clock.tickAsync(writtenMs);
    t.is(fleet.store.writeCount, 0);
    fleet.routers[0]?.noteRoutesMoved([{ ...path, pathPrefix: '/long/' }]);
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    t.deepEqual(await find(clock, fleet, 0, 'a'), first);
    fleet.close();
  },
);

testWithFakeClock(
  'streams whose callers will not return are left out of the next object',
  async (t, clock) => {
    // Otherwise the object would grow with each stream of a long release.
    const fleet = createOriginStoreFleet(1);
    begin(fleet, 0, 'complete');
    begin(fleet, 0, 'late');
    await clock.tickAsync(writtenMs);
    fleet.routers[0]?.noteComplete('complete');
    await clock.tickAsync(returnMs);
    begin(fleet, 0, 'new');
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    t.deepEqual(await find(clock, fleet, 0, 'new'), first);
    t.is(await find(clock, fleet, 0, 'complete'), 'missing');
    t.is(await find(clock, fleet, 0, 'late'), 'missing');
    fleet.close();
  },
);

testWithFakeClock(
  'a stream about which objects contradict each other is unknown',
  async (t, clock) => {
    // A guess could join what two versions write.
    const fleet = createOriginStoreFleet(2);
    begin(fleet, 0, 'a', first);
    begin(fleet, 1, 'a', second);
    await clock.tickAsync(writtenMs);
    t.is(await find(clock, fleet, 0, 'a'), 'missing');
    fleet.close();
  },
);

testWithFakeClock('objects of any content do no harm', async (t, clock) => {
  // The store may hold what other programs or versions have written.
  const fleet = createOriginStoreFleet(2);
  [null, 7, 'x', [], {}, { streams: [{ service: 's', version: 1 }] }, { streams: {} }].forEach(
    (value, index) => fleet.store.put(`router-${index}`, value),
  );
  begin(fleet, 0, 'a');
  await clock.tickAsync(writtenMs);
  fleet.restartAll();
  t.deepEqual(await find(clock, fleet, 1, 'a'), first);
  fleet.close();
});

testWithFakeClock(
  'streams are put on record once the store is back, and a caller does not wait for it',
  async (t, clock) => {
    // The store may be away just as streams begin, or as callers return.
    const fleet = createOriginStoreFleet(2);
    fleet.store.isDown = true;
    begin(fleet, 0, 'a');
    await clock.tickAsync(5_000);
    t.is(await find(clock, fleet, 1, 'a'), 'unread');
    fleet.store.isDown = false;
    await clock.tickAsync(1_000);
    fleet.restartAll();
    t.deepEqual(await find(clock, fleet, 1, 'a'), first);
    fleet.close();
  },
);

testWithFakeClock(
  'streams are written again after the store came back from an older copy',
  async (t, clock) => {
    // The copy lacks what was written after it was made.
    const fleet = createOriginStoreFleet(2);
    begin(fleet, 0, 'a');
    await clock.tickAsync(writtenMs);
    const copy = fleet.store.objects();
    begin(fleet, 0, 'b');
    await clock.tickAsync(writtenMs);
    fleet.store.restore(copy);
    fleet.routers.forEach((router) => router.noteStoreRestored());
    await clock.tickAsync(writtenMs);
    fleet.restartAll();
    t.deepEqual(await find(clock, fleet, 1, 'a'), first);
    t.deepEqual(await find(clock, fleet, 1, 'b'), first);
    fleet.close();
  },
);

testWithFakeClock(
  'objects to which no caller can return are removed, those in use are kept',
  async (t, clock) => {
    // Routers are replaced by others with new names, so that their objects would stay for good.
    const fleet = createOriginStoreFleet(2);
    fleet.store.put('gone', { streams: [] });
    fleet.routers.forEach((router) => router.noteVersionsChanged());
    for (let count = 0; count < 30; count += 1) {
      begin(fleet, 1, `s${count}`);
      await clock.tickAsync(10_000);
    }
    const keys = fleet.store.objects().map(({ key }) => key);
    t.false(keys.includes('gone'));
    t.true(keys.includes('router-1'));
    fleet.close();
  },
);

/** Streams a second at each router of the deployments, and at the target size with a store that grows with it or not. */
const small = { routerCount: undefined, streamMs: 4_100, runMs: 30_000, minShare: 0.9 };
/** A twelfth of the routers is modelled. */
const large = { count: 30, routerCount: 359, streamsPerSecond: 13, streamMs: 8_900, runMs: 12_000 };
const stepMs = 20;
const fleetLoads = [
  { ...small, count: 4, streamsPerSecond: 3.2, storeWritesPerSecond: 400 },
  { ...small, count: 24, streamsPerSecond: 1.1, storeWritesPerSecond: 1_200 },
  { ...small, count: 68, streamsPerSecond: 0.8, storeWritesPerSecond: 3_200 },
  { ...large, storeWritesPerSecond: 3_200, minShare: 0.9 },
  { ...large, storeWritesPerSecond: 400, minShare: 0.5 },
];

fleetLoads.forEach(({ count, streamsPerSecond, streamMs, runMs, minShare, ...store }) => {
  const { routerCount = count, storeWritesPerSecond } = store;
  const fleetShare = count / routerCount;
  testWithFakeClock(
    `with ${routerCount} routers and ${storeWritesPerSecond} writes a second, streams in progress are found after an end of all`,
    async (t, clock) => {
      // Streams that began after the last write are lost, and a large fleet may write less often.
      const random = createSeededRandom(count);
      const fleet = createOriginStoreFleet(count, store);
      const inProgress = new Map<string, { router: number; endsAtMs: number }>();
      let streamCount = 0;
      const beginStream = () => {
        streamCount += 1;
        const router = Math.floor(random() * count);
        begin(fleet, router, `s${streamCount}`, streamCount % 2 ? first : second);
        inProgress.set(`s${streamCount}`, { router, endsAtMs: clock.now + streamMs });
      };
      const endStreams = () =>
        [...inProgress]
          .filter(([, { endsAtMs }]) => endsAtMs <= clock.now)
          .forEach(([id, { router }]) => {
            inProgress.delete(id);
            fleet.routers[router]?.noteComplete(id);
          });
      const traffic = setInterval(() => {
        const due = (streamsPerSecond * count * stepMs) / 1_000;
        const dueCount = Math.floor(due) + (random() < due % 1 ? 1 : 0);
        Array.from({ length: dueCount }).forEach(beginStream);
        endStreams();
      }, stepMs);
      await clock.tickAsync(runMs);
      clearInterval(traffic);
      const { writeCount, writtenBytes } = fleet.store;
      const ids = [...inProgress.keys()];
      fleet.restartAll();
      const searches = ids.map((id, index) =>
        (fleet.routers[index % count] as OriginStore).find(id),
      );
      await clock.tickAsync(1_100);
      const found = (await Promise.all(searches)).filter((one) => one.kind === 'found').length;
      const perSecond = (total: number) => Math.round((total * 1_000) / runMs);
      t.log(
        `${found} of ${ids.length} found; ${perSecond(writeCount / fleetShare)} writes a second; ` +
          `${perSecond(writtenBytes / count)} bytes a second and router; ${fleet.store.listCount} lists`,
      );
      t.true(found >= minShare * ids.length);
      t.true(perSecond(writeCount / fleetShare) <= storeWritesPerSecond / 4);
      t.true(perSecond(writtenBytes / count) <= 2_000);
      fleet.close();
    },
  );
});
