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
const newsLifetimeMs = 3_000;

const put = (key: string, version: number): WatchEvent => ({
  kind: 'put',
  object: { kind, key, version, value: {} },
});

const told = (fromRevision: number, toRevision: number, over: Partial<SeenChanges> = {}) => ({
  fromRevision,
  toRevision,
  changes: [{ kind: 'put' as const, key: 'w1', revision: toRevision, value: {} }],
  ageMs: 0,
  ...over,
});

/** A store at revision 10 that answers each watch with what has been put into `events`. */
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
      const answer = (): Result<WatchReply, PlatformError> =>
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
          setTimeout(() => resolve(answer()), waitMs);
          signal?.addEventListener('abort', () => resolve(answer()));
        }),
      );
    },
  };
  return {
    api: api as unknown as ObjectApi,
    calls,
    change(event: WatchEvent, at: number) {
      events.push(event);
      revision = at;
    },
  };
}

interface Told {
  store: ReturnType<typeof createStore>;
  clock: Clock;
  follower: ObjectFollower;
  events: string[];
  returns: number[];
}

/** A follower that leaves the watching to others, and has listed. */
async function followToldByOthers(during: (world: Told) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const store = createStore();
    const events: string[] = [];
    const returns: number[] = [];
    const follower = createObjectFollower({
      store: store.api,
      kind,
      watchWaitMs: () => 1_800,
      isToldByOthers: () => true,
      newsLifetimeMs: () => newsLifetimeMs,
      onListed: () => undefined,
      onEvent: (event) =>
        events.push(event.kind === 'put' ? `put ${event.object.key}` : `removed ${event.key}`),
      onLost: () => undefined,
      onBack: (agoMs) => returns.push(agoMs),
      random: () => 0,
    });
    follower.start();
    await clock.tickAsync(100);
    await during({ store, clock, follower, events, returns });
    const stopped = follower.stop();
    await clock.tickAsync(10_000);
    await stopped;
  } finally {
    clock.uninstall();
  }
}

test.serial('what others tell is taken without a call', async (t) => {
  await followToldByOthers(async ({ store, clock, follower, events }) => {
    for (let revision = 10; revision < 40; revision += 1) {
      follower.noteTold(told(revision, revision + 1));
      await clock.tickAsync(1_000);
    }
    t.is(events.length, 30);
    t.deepEqual(store.calls, ['list']);
  });
});

test.serial('a change told by several is taken once', async (t) => {
  await followToldByOthers(async ({ follower, events }) => {
    follower.noteTold(told(10, 12));
    follower.noteTold(told(10, 12));
    follower.noteTold(told(9, 12));
    t.deepEqual(events, ['put w1']);
    return Promise.resolve();
  });
});

test.serial('a message that was lost is made up for by one call', async (t) => {
  // A caller is sent to a server that left: the datagram that told of it was lost. The next one covers later changes
  // only, so the router knows that it has missed some, and asks.
  await followToldByOthers(async ({ store, clock, follower, events }) => {
    store.change(put('w1', 12), 12);
    store.change(put('w2', 15), 15);
    follower.noteTold(told(13, 15));
    await clock.tickAsync(400);
    t.deepEqual(store.calls, ['list', 'watch 10']);
    t.deepEqual(events, ['put w1', 'put w2']);
  });
});

test.serial('a router that hears nothing for a moment follows for itself', async (t) => {
  // A caller would be sent to a server that left: the routers that watch were killed, and nobody tells of it.
  await followToldByOthers(async ({ store, clock, events }) => {
    await clock.tickAsync(2_000);
    store.change(put('w1', 12), 12);
    await clock.tickAsync(newsLifetimeMs);
    t.deepEqual(store.calls.slice(0, 2), ['list', 'watch 10']);
    t.deepEqual(events, ['put w1']);
  });
});

test.serial('old news of a router that stood still do not count as new', async (t) => {
  // A caller would be sent to a server that left: a router tells again and again what it saw long ago, and the others
  // would take its word for the state of now.
  await followToldByOthers(async ({ store, clock, follower }) => {
    store.change(put('w1', 12), 12);
    for (let round = 0; round < 6; round += 1) {
      follower.noteTold(told(8, 9));
      follower.noteTold(told(10, 10, { changes: [], ageMs: 5_000 }));
      await clock.tickAsync(1_000);
    }
    t.true(store.calls.includes('watch 10'));
  });
});

test.serial('removals told right after an outage count as seen then', async (t) => {
  // Callers would be refused though all servers are alive: their entries lapsed while the store was away, and this
  // router, which made no call, would not know of the outage and drop them at once.
  await followToldByOthers(async ({ clock, follower, returns }) => {
    await clock.tickAsync(500);
    follower.noteTold(told(10, 12, { backAgeMs: 300 }));
    follower.noteTold(told(12, 13, { backAgeMs: 300 }));
    t.deepEqual(returns, [0, 300]);
  });
});

test.serial('a removal that is told of with older changes is taken in its order', async (t) => {
  // A server that was removed and came back would be lost, or one that left would stay.
  await followToldByOthers(async ({ follower, events }) => {
    follower.noteTold(told(10, 12));
    const changes: SeenChanges['changes'] = [
      { kind: 'removed', key: 'w1', revision: 9 },
      { kind: 'put', key: 'w1', revision: 12, value: {} },
      { kind: 'removed', key: 'w2', revision: 7 },
    ];
    follower.noteTold({ fromRevision: 10, toRevision: 14, changes, ageMs: 0 });
    t.deepEqual(events, ['put w1', 'removed w1', 'put w1', 'removed w2']);
    return Promise.resolve();
  });
});

test.serial('the platform is asked now and then although others tell enough', async (t) => {
  // A router that tells too little would otherwise never be found out.
  await followToldByOthers(async ({ store, clock, follower }) => {
    for (let second = 0; second < 70; second += 1) {
      follower.noteTold(told(10, 10, { changes: [] }));
      await clock.tickAsync(1_000);
    }
    t.deepEqual(store.calls, ['list', 'watch 10']);
  });
});

test.serial(
  'a router that starts tells of no outage; one that saw the store away does',
  async (t) => {
    // Callers would be sent to a server that is gone for seconds: a router restarts, tells the others that the store has
    // just come back, and they hold the removal of the server back as one that an outage has caused.
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
        onLost: () => undefined,
        onBack: () => undefined,
        onSeen: (one) => seen.push(one),
      });
      follower.start();
      await clock.tickAsync(1_200);
      t.true(seen.length > 0 && seen.every(({ backAgeMs }) => backAgeMs === undefined));
      isAway = true;
      await clock.tickAsync(1_000);
      isAway = false;
      await clock.tickAsync(1_000);
      const backAgeMs = seen.at(-1)?.backAgeMs ?? Infinity;
      t.true(backAgeMs <= 1_000, `told ${backAgeMs}`);
      const stopped = follower.stop();
      await clock.tickAsync(10_000);
      await stopped;
    } finally {
      clock.uninstall();
    }
  },
);
