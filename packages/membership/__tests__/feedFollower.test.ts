import { createServer } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { install, type Clock } from '@sinonjs/fake-timers';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import test, { type ExecutionContext } from 'ava';
import { err, errAsync, ResultAsync } from 'neverthrow';
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
import type { PlatformApi, WatchReply } from '@bluebellhitch/objects';
import { createEntryRouter, type FeedRecord } from '@bluebellhitch/protocol';
import { createSeededRandom, delay, hash64, monotonicNowMs } from '@bluebellhitch/shared';
import { createStandinPlatform } from '@bluebellhitch/standins';

const quiet = (cursor: string): WatchReply => ({ events: [], cursor, compacted: false });

const noAnswer: FeedCallError = { kind: 'feed-unavailable', detail: 'no answer' };

type Fleet = ReturnType<typeof createFleet>;

/** Entries of one data centre over an in-memory platform, which poll one another by function calls. */
function createFleet() {
  const platform = createStandinPlatform({ latencyMs: 2 });
  const servers = new Map<string, ReturnType<typeof createFeedServer>>();
  /** Addresses that refuse at once, and addresses that take a call and never answer it. */
  const silent = new Set<string>();
  const frozen = new Set<string>();
  const callFeed: CallFeed = (address, request, signal) => {
    const server = servers.get(address);
    if (frozen.has(address)) {
      return ResultAsync.fromSafePromise(delay(600_000, signal)).andThen(() => err(noAnswer));
    }
    return server === undefined || silent.has(address)
      ? errAsync(noAnswer)
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
  return { platform, silent, frozen, addEntry, accept };
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

// One relay's watch hangs, and it goes on answering polls with nothing new. Its followers and the
// relay itself would stay on the old configuration; so each process follows two sources.
testWithFleet('a relay that lags does not hold a change back', async (t, clock, fleet) => {
  let hungId = '';
  const entries = Array.from({ length: 8 }, (_, index) => {
    const id = `entry-${index}`;
    const watch: PlatformApi['watch'] = (kind, cursor, waitMs, signal) =>
      id === hungId
        ? ResultAsync.fromSafePromise(delay(waitMs, signal)).map(() => quiet(cursor))
        : fleet.platform.watch(kind, cursor, waitMs, signal);
    return fleet.addEntry(id, { platform: { ...fleet.platform, watch } });
  });
  entries.forEach((entry) => entry.start());
  await clock.tickAsync(20_000);
  hungId = entries.find(({ follower }) => follower.source() === 'platform-watch')?.id ?? '';
  t.not(hungId, '');
  await clock.tickAsync(60_000);
  await settled(clock, fleet.accept(1));
  await clock.tickAsync(2900);
  t.deepEqual(
    entries.filter(({ generation }) => generation() !== 1).map(({ id }) => id),
    [],
  );
  await stopAll(clock, entries);
});

// A relay's process is paused: polls of it are taken and not answered for half a minute. A follower of
// it alone would learn of a change only after that.
testWithFleet('a paused relay does not hold a change back', async (t, clock, fleet) => {
  const entries = addEntries(fleet, 8);
  await clock.tickAsync(60_000);
  const relay = entries.find(({ follower }) => follower.source() === 'platform-watch');
  const others = entries.filter((entry) => entry !== relay);
  fleet.frozen.add(relay?.innerAddress ?? '');
  await Promise.all([relay?.stop(), clock.tickAsync(28_000)]);
  await settled(clock, fleet.accept(1));
  await clock.tickAsync(2900);
  t.deepEqual(
    others.map(({ generation }) => generation()),
    Array(7).fill(1),
  );
  await stopAll(clock, others);
});

// All relays stop answering while the list still shows them. Followers read the platform instead, at
// a bounded rate, so that the fleet does not turn a relay's death into a storm of reads.
testWithFleet(
  'without relays a follower reads the platform, at a bounded rate',
  async (t, clock, fleet) => {
    const entries = addEntries(fleet, 6);
    await clock.tickAsync(20_000);
    const followers = entries.filter(({ follower }) => follower.source() === 'relays');
    entries
      .filter(({ follower }) => follower.source() === 'platform-watch')
      .forEach(({ innerAddress }) => fleet.silent.add(innerAddress));
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

// The platform is down when an entry starts. Its peers still have the last accepted configuration;
// one of them lags, so the highest generation of two is taken.
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

test.serial('the feed client polls an entry over HTTP and gives up when told', async (t) => {
  const store = createFeedStore();
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
  const callFeed = createFeedClient();
  const gone = new AbortController();
  const { cursor } = (await callFeed(address, { waitMs: 0 }, gone.signal))._unsafeUnwrap();
  const waiting = callFeed(address, { cursor, waitMs: 10_000 }, gone.signal);
  const news: FeedRecord = { kind: 'accepted', key: 'a', generation: 1, removed: false, value: {} };
  setTimeout(() => store.apply([news]), 50);
  t.deepEqual((await waiting)._unsafeUnwrap().records, [news]);
  const startedAtMs = monotonicNowMs();
  const abandoned = callFeed(
    address,
    { cursor: store.since().cursor, waitMs: 10_000 },
    gone.signal,
  );
  setTimeout(() => gone.abort(), 50);
  t.is((await abandoned)._unsafeUnwrapErr().kind, 'feed-unavailable');
  t.true(monotonicNowMs() - startedAtMs < 5000);
});

// Twenty entries would each read the list of instances every five seconds. Only the relays do; the
// others have a new instance from them within seconds, without a read of their own.
testWithFleet(
  'relays pass the list of instances on, and others do not read it',
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

// The platform is down when an entry starts, so that it has no list of instances and would stay
// unready. A peer named by its settings gives it the last list that the fleet knew.
testWithFleet(
  'a process has its list of instances from a peer while the platform is down',
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
