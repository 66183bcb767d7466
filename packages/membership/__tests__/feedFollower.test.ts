import { createServer } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { install, type Clock } from '@sinonjs/fake-timers';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import test, { type ExecutionContext } from 'ava';
import { err, errAsync, okAsync, ResultAsync } from 'neverthrow';
import {
  createFeedClient,
  createFeedFollower,
  createFeedServer,
  createFeedStore,
  createInstanceDirectory,
  type CallFeed,
  type FeedCallError,
  type FeedFollowerOptions,
} from '@bluebellhitch/membership';
import type { PlatformApi, StoredObject, WatchReply } from '@bluebellhitch/objects';
import { createEntryRouter, type FeedRecord } from '@bluebellhitch/protocol';
import { createSeededRandom, delay, hash64, monotonicNowMs } from '@bluebellhitch/shared';
import { createStandinPlatform } from '@bluebellhitch/standins';
import { createPlatformFeed } from '../src/platformFeed';

const emptyReply = (cursor: string): WatchReply => ({ events: [], cursor, compacted: false });

const unavailable: FeedCallError = { kind: 'feed-unavailable', detail: 'no answer' };

type Fleet = ReturnType<typeof createFleet>;

/** Entries of one data centre over an in-memory platform, which poll each other by function calls. */
function createFleet() {
  const platform = createStandinPlatform({ latencyMs: 2 });
  const servers = new Map<string, ReturnType<typeof createFeedServer>>();
  /** Addresses that refuse calls at once, and addresses that accept calls and never respond. */
  const refusing = new Set<string>();
  const unresponsive = new Set<string>();
  const callFeed: CallFeed = (address, request, signal) => {
    const server = servers.get(address);
    if (unresponsive.has(address)) {
      return ResultAsync.fromSafePromise(delay(600_000, signal)).andThen(() => err(unavailable));
    }
    return server === undefined || refusing.has(address)
      ? errAsync(unavailable)
      : ResultAsync.fromSafePromise(server.feed(request, signal));
  };

  function addEntry(id: string, options: Partial<FeedFollowerOptions> = {}) {
    const innerAddress = `http://${id}`;
    const dataCentre = 'salem-hall';
    platform.control.putInstance({ id, kind: 'entry', dataCentre, innerAddress, state: 'live' });
    const store = createFeedStore({ incarnation: id });
    const random = createSeededRandom(Number(hash64(id) % 1000n));
    const directory = createInstanceDirectory({ platform, random });
    servers.set(innerAddress, createFeedServer(store, { directory }));
    const follower = createFeedFollower({
      platform,
      directory,
      store,
      instanceId: id,
      dataCentre,
      callFeed,
      random,
      ...options,
    });
    const start = () => {
      directory.start();
      follower.start();
    };
    const generation = () => store.get('accepted', 'draft-models')?.generation;
    const stop = () => Promise.all([directory.stop(), follower.stop()]);
    return { id, innerAddress, store, directory, follower, start, stop, generation };
  }

  const accept = async (generation: number) => {
    const current = await platform.get('accepted', 'draft-models');
    const written = current.isOk()
      ? platform.update('accepted', 'draft-models', current.value.version, { generation })
      : platform.create('accepted', 'draft-models', { generation });
    return (await written)._unsafeUnwrap();
  };
  return { platform, refusing, unresponsive, addEntry, accept };
}

function testWithFleet(
  title: string,
  check: (t: ExecutionContext, clock: Clock, fleet: Fleet) => Promise<void>,
): void {
  test.serial(title, async (t) => {
    const clock = install();
    try {
      await check(t, clock, createFleet());
    } finally {
      clock.uninstall();
    }
  });
}

function addEntries(fleet: Fleet, count: number) {
  const entries = Array.from({ length: count }, (_, index) => fleet.addEntry(`entry-${index}`));
  entries.forEach((entry) => entry.start());
  return entries;
}

async function stopAll(clock: Clock, entries: { stop(): Promise<unknown> }[]): Promise<void> {
  const stopped = Promise.all(entries.map((entry) => entry.stop()));
  await clock.tickAsync(60_000);
  await stopped;
}

async function settled<Value>(clock: Clock, work: Promise<Value>): Promise<Value> {
  await clock.tickAsync(100);
  return work;
}

testWithFleet(
  'three relays watch the platform, and a change reaches all within 3 s',
  async (t, clock, fleet) => {
    const entries = addEntries(fleet, 10);
    await clock.tickAsync(20_000);
    const sources = entries.map(({ follower }) => follower.source());
    t.is(sources.filter((source) => source === 'platform-watch').length, 3);
    t.is(sources.filter((source) => source === 'relays').length, 7);
    t.is(fleet.platform.control.stats().waitingWatches, 6);
    await settled(clock, fleet.accept(1));
    await clock.tickAsync(500);
    t.deepEqual(
      entries.map(({ generation }) => generation()),
      Array(10).fill(1),
    );
    await stopAll(clock, entries);
  },
);

// One relay's watch hangs, and its responses to polls have no changes. With this relay as the only source, its
// followers and the relay itself would stay on the old configuration.
testWithFleet('a relay that lags does not delay a change', async (t, clock, fleet) => {
  let hangingId = '';
  const entries = Array.from({ length: 8 }, (_, index) => {
    const id = `entry-${index}`;
    const watch: PlatformApi['watch'] = (kind, cursor, waitMs, signal) =>
      id === hangingId
        ? ResultAsync.fromSafePromise(delay(waitMs, signal)).map(() => emptyReply(cursor))
        : fleet.platform.watch(kind, cursor, waitMs, signal);
    return fleet.addEntry(id, { platform: { ...fleet.platform, watch } });
  });
  entries.forEach((entry) => entry.start());
  await clock.tickAsync(20_000);
  hangingId = entries.find(({ follower }) => follower.source() === 'platform-watch')?.id ?? '';
  t.not(hangingId, '');
  await clock.tickAsync(60_000);
  await settled(clock, fleet.accept(1));
  await clock.tickAsync(2900);
  t.deepEqual(
    entries.filter(({ generation }) => generation() !== 1).map(({ id }) => id),
    [],
  );
  await stopAll(clock, entries);
});

// A paused relay accepts polls and does not respond for half a minute. A process that followed only this relay would
// receive a change after that time at the earliest.
testWithFleet('a paused relay does not delay a change', async (t, clock, fleet) => {
  const entries = addEntries(fleet, 8);
  await clock.tickAsync(60_000);
  const relay = entries.find(({ follower }) => follower.source() === 'platform-watch');
  const others = entries.filter((entry) => entry !== relay);
  fleet.unresponsive.add(relay?.innerAddress ?? '');
  await Promise.all([relay?.stop(), clock.tickAsync(28_000)]);
  await settled(clock, fleet.accept(1));
  await clock.tickAsync(2900);
  t.deepEqual(
    others.map(({ generation }) => generation()),
    Array(7).fill(1),
  );
  await stopAll(clock, others);
});

// All relays stop responding while the list still has them. Followers read the platform instead, at a bounded rate, so
// that the failure of relays does not cause a storm of reads.
testWithFleet(
  'without relays a follower reads the platform, at a bounded rate',
  async (t, clock, fleet) => {
    const entries = addEntries(fleet, 6);
    await clock.tickAsync(20_000);
    const followers = entries.filter(({ follower }) => follower.source() === 'relays');
    entries
      .filter(({ follower }) => follower.source() === 'platform-watch')
      .forEach(({ innerAddress }) => fleet.refusing.add(innerAddress));
    await clock.tickAsync(30_000);
    fleet.platform.control.resetStats();
    await settled(clock, fleet.accept(1));
    await clock.tickAsync(60_000);
    t.deepEqual(
      followers.map(({ generation }) => generation()),
      [1, 1, 1],
    );
    const { list } = fleet.platform.control.stats().calls;
    t.true(list <= followers.length * 2 * 13, `${list} lists in a minute`);
    await stopAll(clock, entries);
  },
);

// The platform is down when an entry starts. Its peers still have the last accepted configuration; as one of them lags,
// the entry must take the highest generation of two.
testWithFleet(
  'a process starts from two peers while the platform is down',
  async (t, clock, fleet) => {
    const [first, second] = addEntries(fleet, 2);
    await settled(clock, fleet.accept(4));
    await clock.tickAsync(30_000);
    fleet.platform.control.setOutage(true);
    const lagging: FeedRecord = {
      kind: 'accepted',
      key: 'draft-models',
      generation: 5,
      removed: false,
      value: { generation: 5 },
    };
    second?.store.apply([lagging]);
    const peerAddresses = [first?.innerAddress ?? '', second?.innerAddress ?? ''];
    const late = fleet.addEntry('entry-late', { peerAddresses });
    late.start();
    await clock.tickAsync(3000);
    await late.follower.ready();
    t.is(late.generation(), 5);
    await stopAll(clock, [late, ...[first, second].flatMap((entry) => entry ?? [])]);
  },
);

testWithFleet('removals and compaction reach the followers', async (t, clock, fleet) => {
  const entries = addEntries(fleet, 5);
  const { version } = await settled(clock, fleet.accept(1));
  await clock.tickAsync(30_000);
  t.deepEqual(
    entries.map(({ generation }) => generation()),
    Array(5).fill(1),
  );
  fleet.platform.control.setOutage(true);
  await clock.tickAsync(40_000);
  fleet.platform.control.setOutage(false);
  const removed = fleet.platform.remove('accepted', 'draft-models', version);
  fleet.platform.control.compact();
  await settled(clock, Promise.resolve(removed));
  fleet.platform.control.compact();
  await clock.tickAsync(40_000);
  entries.forEach(({ store }) => t.deepEqual(store.list('accepted'), []));
  await stopAll(clock, entries);
});

testWithFleet('an agent follows its own service only', async (t, clock, fleet) => {
  const entries = addEntries(fleet, 3);
  const agent = fleet.addEntry('agent-1', { services: ['draft-models'] });
  fleet.platform.control.removeInstance('agent-1');
  agent.start();
  await settled(clock, fleet.accept(1));
  await settled(
    clock,
    Promise.resolve(fleet.platform.create('accepted', 'counter-app', { generation: 1 })),
  );
  await clock.tickAsync(5000);
  t.deepEqual(
    agent.store.list('accepted').map(({ key }) => key),
    ['draft-models'],
  );
  t.is(agent.follower.source(), 'relays');
  await stopAll(clock, [agent, ...entries]);
});

/** Serves the feed of the store over HTTP; resolves with its address. */
async function serveFeed(
  t: ExecutionContext,
  store: ReturnType<typeof createFeedStore>,
): Promise<string> {
  const feedServer = createFeedServer(store);
  const router = createEntryRouter({ feed: feedServer.feed, strike: async () => {} });
  const server = createServer(createHTTPHandler({ router, basePath: '/trpc/' }));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return address;
}

test.serial('the feed client polls an entry over HTTP and stops when aborted', async (t) => {
  const store = createFeedStore();
  const address = await serveFeed(t, store);
  const callFeed = createFeedClient();
  const caller = new AbortController();
  const { cursor } = (await callFeed(address, { waitMs: 0 }, caller.signal))._unsafeUnwrap();
  const waiting = callFeed(address, { cursor, waitMs: 10_000 }, caller.signal);
  const update: FeedRecord = {
    kind: 'accepted',
    key: 'a',
    generation: 1,
    removed: false,
    value: {},
  };
  setTimeout(() => store.apply([update]), 50);
  t.deepEqual((await waiting)._unsafeUnwrap().records, [update]);
  const startedAtMs = monotonicNowMs();
  const abandoned = callFeed(
    address,
    { cursor: store.since().cursor, waitMs: 10_000 },
    caller.signal,
  );
  setTimeout(() => caller.abort(), 50);
  t.is((await abandoned)._unsafeUnwrapErr().kind, 'feed-unavailable');
  t.true(monotonicNowMs() - startedAtMs < 5000);
});

test.serial('an odd object does not keep a relay from passing the others on', async (t) => {
  // A value that is nested thousands of levels deep cannot be written as JSON: every reply of the relay failed.
  const platform = createStandinPlatform({ latencyMs: 0 });
  const nested = JSON.parse(`${'['.repeat(20_000)}${']'.repeat(20_000)}`) as unknown;
  const objects: StoredObject[] = [
    { kind: 'accepted', key: 'a', version: 1, value: { generation: 1, odd: nested } },
    { kind: 'quarantine', key: 'a/b', version: 2, value: { odd: nested } },
    { kind: 'accepted', key: 'b', version: 3, value: { generation: 3 } },
  ];
  const store = createFeedStore();
  const address = await serveFeed(t, store);
  const feed = createPlatformFeed({
    ...{ store, watchWaitMs: 0, retryMs: 10, maxRetryMs: 10, random: createSeededRandom(1) },
    platform: {
      ...platform,
      list: (kind) =>
        okAsync({ objects: objects.filter((object) => object.kind === kind), cursor: '1' }),
    },
  });
  t.true(await feed.load());
  const reply = await createFeedClient()(address, { waitMs: 0 }, new AbortController().signal);
  t.deepEqual(
    reply._unsafeUnwrap().records.map(({ key }) => key),
    ['b'],
  );
});

// Without relays, twenty entries would each read the list of instances every five seconds. Only the relays may do so;
// the others must get a new instance from them within seconds, without a read of their own.
testWithFleet(
  'relays pass the list of instances on, and other entries do not read it',
  async (t, clock, fleet) => {
    const entries = addEntries(fleet, 20);
    await clock.tickAsync(40_000);
    fleet.platform.control.resetStats();
    await clock.tickAsync(60_000);
    const reads = fleet.platform.control.stats().calls.instances;
    t.true(reads <= 3 * 16, `${reads} reads by 20 entries in a minute`);
    fleet.addEntry('entry-new');
    await clock.tickAsync(10_000);
    const counts = entries.map(({ directory }) => directory.entries().length);
    t.deepEqual(counts, Array(20).fill(21));
    await stopAll(clock, entries);
  },
);

// The platform is down when an entry starts, so that it cannot read the list of instances and would not become ready.
// It must get the last known list from a peer in its settings.
testWithFleet(
  'a process gets its list of instances from a peer while the platform is down',
  async (t, clock, fleet) => {
    const entries = addEntries(fleet, 3);
    await clock.tickAsync(30_000);
    fleet.platform.control.setOutage(true);
    const peerAddresses = entries.map(({ innerAddress }) => innerAddress);
    const late = fleet.addEntry('entry-late', { peerAddresses });
    late.start();
    await clock.tickAsync(5000);
    t.is(late.directory.entries().length, 3);
    await stopAll(clock, [late, ...entries]);
  },
);
