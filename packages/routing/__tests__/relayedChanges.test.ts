import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import {
  objectKinds,
  type ObjectApi,
  type PlatformError,
  type WatchEvent,
  type WatchReply,
} from '@bluebellhitch/objects';
import {
  createObjectFollower,
  type ObjectFollower,
  type SeenChanges,
} from '@bluebellhitch/routing';

const kind = objectKinds.backendServer;
const relayTimeoutMs = 3_000;

const put = (key: string, version: number): WatchEvent => ({
  kind: 'put',
  object: { kind, key, version, value: {} },
});

const relayedChanges = (
  fromRevision: number,
  toRevision: number,
  over: Partial<SeenChanges> = {},
) => ({
  fromRevision,
  toRevision,
  changes: [{ kind: 'put' as const, key: 'w1', revision: toRevision, value: {} }],
  ageMs: 0,
  ...over,
});

/** A store at revision 10 that answers each watch with the events recorded by `change`. */
function createStore() {
  const events: WatchEvent[] = [];
  const calls: string[] = [];
  let revision = 10;
  const api = {
    list() {
      calls.push('list');
      return okAsync({ objects: [], cursor: String(revision) });
    },
    watch(_kind: unknown, cursor: string, waitMs: number, signal?: AbortSignal) {
      calls.push(`watch ${cursor}`);
      const createReply = (): Result<WatchReply, PlatformError> =>
        ok({
          events: events.filter(
            (event) =>
              (event.kind === 'put' ? event.object.version : event.version) > Number(cursor),
          ),
          cursor: String(revision),
          compacted: false,
        });
      return new ResultAsync(
        new Promise<Result<WatchReply, PlatformError>>((resolve) => {
          setTimeout(() => resolve(createReply()), waitMs);
          signal?.addEventListener('abort', () => resolve(createReply()));
        }),
      );
    },
  };
  return {
    api: api as unknown as ObjectApi,
    calls,
    change(event: WatchEvent, revisionAfter: number) {
      events.push(event);
      revision = revisionAfter;
    },
  };
}

interface Fixture {
  store: ReturnType<typeof createStore>;
  clock: Clock;
  follower: ObjectFollower;
  events: string[];
  /** How long ago each outage ended when it became known here. */
  recoveries: number[];
}

/** Runs the test with a follower that leaves the watching to relays and has completed its list. */
async function followWithRelays(during: (fixture: Fixture) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const store = createStore();
    const events: string[] = [];
    const recoveries: number[] = [];
    const follower = createObjectFollower({
      store: store.api,
      kind,
      watchWaitMs: () => 1_800,
      hasRelays: () => true,
      relayTimeoutMs: () => relayTimeoutMs,
      onListed: () => undefined,
      onEvent: (event) =>
        events.push(event.kind === 'put' ? `put ${event.object.key}` : `removed ${event.key}`),
      onUnavailable: () => undefined,
      onAvailable: (cause) => cause.kind === 'outage' && recoveries.push(cause.agoMs),
      random: () => 0,
    });
    follower.start();
    await clock.tickAsync(100);
    await during({ store, clock, follower, events, recoveries });
    const stopped = follower.stop();
    await clock.tickAsync(10_000);
    await stopped;
  } finally {
    clock.uninstall();
  }
}

test.serial('relayed changes are applied without a call to the store', async (t) => {
  await followWithRelays(async ({ store, clock, follower, events }) => {
    for (let revision = 10; revision < 40; revision += 1) {
      follower.applyRelayed(relayedChanges(revision, revision + 1));
      await clock.tickAsync(1_000);
    }
    t.is(events.length, 30);
    t.deepEqual(store.calls, ['list']);
  });
});

test.serial('a change relayed by several peers is applied once', async (t) => {
  await followWithRelays(async ({ follower, events }) => {
    follower.applyRelayed(relayedChanges(10, 12));
    follower.applyRelayed(relayedChanges(10, 12));
    follower.applyRelayed(relayedChanges(9, 12));
    t.deepEqual(events, ['put w1']);
    return Promise.resolve();
  });
});

test.serial('one call makes up for a lost message', async (t) => {
  // Otherwise requests are sent to a server that has left, as the datagram with its removal was lost. The next datagram
  // covers only later changes, so the router detects the gap and calls the store.
  await followWithRelays(async ({ store, clock, follower, events }) => {
    store.change(put('w1', 12), 12);
    store.change(put('w2', 15), 15);
    follower.applyRelayed(relayedChanges(13, 15));
    await clock.tickAsync(400);
    t.deepEqual(store.calls, ['list', 'watch 10']);
    t.deepEqual(events, ['put w1', 'put w2']);
  });
});

test.serial(
  'a router without relayed changes for the relay timeout watches for itself',
  async (t) => {
    // Otherwise requests are sent to a server that has left: the relays were killed, and nobody relays its removal.
    await followWithRelays(async ({ store, clock, events }) => {
      await clock.tickAsync(2_000);
      store.change(put('w1', 12), 12);
      await clock.tickAsync(relayTimeoutMs);
      t.deepEqual(store.calls.slice(0, 2), ['list', 'watch 10']);
      t.deepEqual(events, ['put w1']);
    });
  },
);

test.serial('outdated changes from a suspended router do not count as current', async (t) => {
  // Otherwise requests are sent to a server that has left: a router keeps relaying what it saw long ago, and the others
  // take that for the current state.
  await followWithRelays(async ({ store, clock, follower }) => {
    store.change(put('w1', 12), 12);
    for (let round = 0; round < 6; round += 1) {
      follower.applyRelayed(relayedChanges(8, 9));
      follower.applyRelayed(relayedChanges(10, 10, { changes: [], ageMs: 5_000 }));
      await clock.tickAsync(1_000);
    }
    t.true(store.calls.includes('watch 10'));
  });
});

test.serial(
  'removals relayed right after an outage are treated like removals observed then',
  async (t) => {
    // Otherwise callers are refused although all servers are running: their entries expired while the store was
    // unavailable, and this router, which made no call, does not know of the outage and removes them at once.
    await followWithRelays(async ({ clock, follower, recoveries }) => {
      await clock.tickAsync(relayTimeoutMs + 500);
      follower.applyRelayed(relayedChanges(10, 12, { backAgeMs: 200 }));
      follower.applyRelayed(relayedChanges(12, 13, { backAgeMs: 200 }));
      t.deepEqual(recoveries, [200]);
    });
  },
);

test.serial(
  'the recovery of a relay that was cut off alone is not that of the store',
  async (t) => {
    // Requests were sent to removed servers for longer than the drain time: one relay could not reach the store for a while
    // and reports its recovery, although others were answered all the while.
    await followWithRelays(async ({ clock, follower, events, recoveries }) => {
      for (let second = 0; second < 5; second += 1) {
        await clock.tickAsync(1_000);
        follower.applyRelayed(relayedChanges(10, 10, { changes: [] }));
      }
      await clock.tickAsync(300);
      const changes: SeenChanges['changes'] = [{ kind: 'removed', key: 'w1', revision: 12 }];
      follower.applyRelayed(relayedChanges(10, 12, { changes, backAgeMs: 200 }));
      t.deepEqual(events, ['removed w1']);
      t.deepEqual(recoveries, []);
    });
  },
);

test.serial('a removal that is relayed with older changes is applied in order', async (t) => {
  // Otherwise a server that was removed and registered again is missing, or one that has left remains.
  await followWithRelays(async ({ follower, events }) => {
    follower.applyRelayed(relayedChanges(10, 12));
    const changes: SeenChanges['changes'] = [
      { kind: 'removed', key: 'w1', revision: 9 },
      { kind: 'put', key: 'w1', revision: 12, value: {} },
      { kind: 'removed', key: 'w2', revision: 7 },
    ];
    follower.applyRelayed({ fromRevision: 10, toRevision: 14, changes, ageMs: 0 });
    t.deepEqual(events, ['put w1', 'removed w1', 'put w1', 'removed w2']);
    return Promise.resolve();
  });
});

test.serial('the store is called periodically even if relayed changes suffice', async (t) => {
  // Otherwise a relay that omits changes is never detected.
  await followWithRelays(async ({ store, clock, follower }) => {
    for (let second = 0; second < 70; second += 1) {
      follower.applyRelayed(relayedChanges(10, 10, { changes: [] }));
      await clock.tickAsync(1_000);
    }
    t.deepEqual(store.calls, ['list', 'watch 10']);
  });
});

test.serial(
  'a starting router reports no recovery; one that has seen an outage of the store does',
  async (t) => {
    // Otherwise requests are sent to a removed server for seconds: a router restarts and reports that the store has
    // just recovered, and the others delay the removal as if an outage had caused it.
    const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    try {
      const { api } = createStore();
      const seen: SeenChanges[] = [];
      let isAway = false;
      const follower = createObjectFollower({
        store: {
          ...api,
          watch: (...call) =>
            isAway
              ? new ResultAsync(
                  Promise.resolve(err({ kind: 'unavailable' as const, detail: 'down' })),
                )
              : api.watch(...call),
        },
        kind,
        watchWaitMs: () => 500,
        onListed: () => undefined,
        onEvent: () => undefined,
        onUnavailable: () => undefined,
        onAvailable: () => undefined,
        onSeen: (one) => seen.push(one),
      });
      follower.start();
      await clock.tickAsync(1_200);
      t.true(seen.length > 0 && seen.every(({ backAgeMs }) => backAgeMs === undefined));
      isAway = true;
      await clock.tickAsync(2_000);
      isAway = false;
      await clock.tickAsync(1_000);
      const backAgeMs = seen.at(-1)?.backAgeMs ?? Infinity;
      t.true(backAgeMs <= 1_000, `reported ${backAgeMs}`);
      const stopped = follower.stop();
      await clock.tickAsync(10_000);
      await stopped;
    } finally {
      clock.uninstall();
    }
  },
);
