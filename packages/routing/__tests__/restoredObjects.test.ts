/**
 * Model-based test: a store that sometimes loses its newest writes, routers that follow it, two of which relay changes
 * to the others, and datagrams that are lost, delayed, duplicated and reordered. Once no more changes are made, every
 * router must know what the store contains.
 */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import {
  objectKinds,
  type ObjectApi,
  type PlatformError,
  type StoredObject,
  type WatchEvent,
  type WatchReply,
} from '@bluebellhitch/objects';
import { eraOf, revisionOf, storePosition } from '@bluebellhitch/protocol';
import { createObjectFollower, type ObjectFollower } from '@bluebellhitch/routing';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';

const kind = objectKinds.backendServer;
const routerCount = 5;
const relayCount = 2;
const settleMs = 12_000;

type Step =
  | { kind: 'put' | 'remove'; key: number }
  /** Loses the `lost` newest changes; the first `rewritten` of these are written again, in reverse order. */
  | { kind: 'restore'; lost: number; outageMs: number; rewritten: number }
  | { kind: 'compact' }
  | { kind: 'cut'; router: number; forMs: number }
  | { kind: 'wait'; forMs: number };

const key = fc.integer({ min: 0, max: 5 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('put' as const), key }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('remove' as const), key }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('restore' as const),
      lost: fc.integer({ min: 0, max: 8 }),
      outageMs: fc.constantFrom(0, 0, 300, 2_000),
      rewritten: fc.integer({ min: 0, max: 8 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('compact' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      router: fc.integer({ min: 0, max: routerCount - 1 }),
      forMs: fc.integer({ min: 500, max: 4_000 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      forMs: fc.constantFrom(3, 30, 200, 900, 2_500),
    }),
  },
);

interface Change {
  key: string;
  revision: number;
  value?: number;
}

/** The store itself, without its protocol. */
function createModelStore() {
  let era = 0;
  let revision = 0;
  let nextValue = 0;
  let oldest = 0;
  let changes: Change[] = [];
  let outageUntilMs = -Infinity;
  const waiting = new Set<() => void>();

  function write(name: string, value: number | undefined): void {
    if (value === undefined && objects().get(name) === undefined) {
      return;
    }
    revision += 1;
    changes.push({ key: name, revision, value });
    [...waiting].forEach((wake) => wake());
  }

  function objects(): Map<string, Change> {
    const found = new Map<string, Change>();
    changes.forEach((change) =>
      change.value === undefined ? found.delete(change.key) : found.set(change.key, change),
    );
    return found;
  }

  return {
    era: () => era,
    isUnavailable: () => performance.now() < outageUntilMs,
    position: () => storePosition(era, revision),
    objects,
    waiting,
    has: (from: number) => from >= oldest && from <= revision,
    since: (from: number) => changes.filter((change) => change.revision > from),
    put(name: string) {
      nextValue += 1;
      write(name, nextValue);
    },
    remove: (name: string) => write(name, undefined),
    compact() {
      oldest = revision;
    },
    restore(lost: number, outageMs: number, rewritten: number) {
      const keptCount = Math.max(0, changes.length - lost);
      const lostChanges = changes.slice(keptCount);
      changes = changes.slice(0, keptCount);
      revision = changes.at(-1)?.revision ?? 0;
      oldest = Math.min(oldest, revision);
      era += 1;
      outageUntilMs = performance.now() + outageMs;
      lostChanges
        .slice(0, rewritten)
        .reverse()
        .forEach((change) => write(change.key, change.value));
    },
  };
}

type ModelStore = ReturnType<typeof createModelStore>;

/** The store client of one router: it learns of a new era only from the responses that it reads. */
function clientOf(store: ModelStore, isCut: () => boolean, random: Random): ObjectApi {
  let latestEra = 0;
  const down: PlatformError = { kind: 'unavailable', detail: 'down' };
  const delayMs = () => 1 + Math.floor(random() * 40);

  function respond<Value>(
    read: () => Result<Value, PlatformError>,
    signal?: AbortSignal,
  ): ResultAsync<Value, PlatformError> {
    return new ResultAsync(
      new Promise<Result<Value, PlatformError>>((resolve) => {
        signal?.addEventListener('abort', () => resolve(err(down)));
        setTimeout(() => {
          const answered =
            store.isUnavailable() || isCut() ? err<Value, PlatformError>(down) : read();
          setTimeout(() => resolve(answered), delayMs());
        }, delayMs());
      }),
    );
  }

  const objectOf = ({ key: name, revision, value }: Change): StoredObject => ({
    ...{ kind, key: name, version: storePosition(store.era(), revision), value },
  });
  const eventOf = (change: Change): WatchEvent =>
    change.value === undefined
      ? { kind: 'removed', key: change.key, version: storePosition(store.era(), change.revision) }
      : { kind: 'put', object: objectOf(change) };

  function watch(cursor: string): WatchReply {
    latestEra = Math.max(latestEra, store.era());
    const from = Number(cursor);
    const isGone = eraOf(from) !== store.era() || !store.has(revisionOf(from));
    return isGone
      ? { events: [], cursor, compacted: true }
      : {
          events: store.since(revisionOf(from)).map(eventOf),
          cursor: String(store.position()),
          compacted: false,
        };
  }

  function untilChange(cursor: string, waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        store.waiting.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const wake = () => watch(cursor).events.length > 0 && end();
      const timer = setTimeout(end, waitMs);
      signal?.addEventListener('abort', end);
      store.waiting.add(wake);
      wake();
    });
  }

  return {
    list: () =>
      respond(() => {
        latestEra = Math.max(latestEra, store.era());
        const objects = [...store.objects().values()].map(objectOf);
        return ok({ objects, cursor: String(store.position()) });
      }),
    watch(_kind: unknown, cursor: string, waitMs: number, signal?: AbortSignal) {
      if (eraOf(Number(cursor)) !== latestEra) {
        return new ResultAsync(Promise.resolve(ok({ events: [], cursor, compacted: true })));
      }
      const waited = untilChange(cursor, waitMs, signal);
      return new ResultAsync(
        waited.then(() => respond(() => ok(watch(cursor)), signal) as PromiseLike<never>),
      );
    },
  } as unknown as ObjectApi;
}

interface ModelRouter {
  follower: ObjectFollower;
  view: Map<string, unknown>;
  cutUntilMs: number;
}

function createRouters(store: ModelStore, random: Random): ModelRouter[] {
  const routers: ModelRouter[] = [];
  const isCut = (index: number) => performance.now() < (routers[index]?.cutUntilMs ?? 0);

  /** Some datagrams are lost, some are duplicated, and each has its own delay. */
  function send(from: number, deliver: (to: ObjectFollower) => void): void {
    routers.forEach(({ follower }, to) => {
      const copies = to === from || random() < 0.2 ? 0 : 1 + Number(random() < 0.2);
      Array.from({ length: copies }).forEach(() => {
        setTimeout(() => deliver(follower), 1 + random() * (random() < 0.1 ? 3_000 : 60));
      });
    });
  }

  Array.from({ length: routerCount }).forEach((_none, index) => {
    const view = new Map<string, unknown>();
    const isRelay = index < relayCount;
    const follower = createObjectFollower({
      store: clientOf(store, () => isCut(index), random),
      kind,
      watchWaitMs: () => 1_200,
      hasRelays: () => !isRelay,
      relayTimeoutMs: () => 2_000,
      onListed(objects) {
        view.clear();
        objects.forEach((object) => view.set(object.key, object.value));
      },
      onEvent: (event) =>
        event.kind === 'put'
          ? view.set(event.object.key, event.object.value)
          : view.delete(event.key),
      onSeen(changes) {
        if (isRelay) {
          send(index, (to) => to.applyRelayed(changes));
        }
      },
      onUnavailable: () => undefined,
      onAvailable: () => undefined,
      random,
    });
    routers.push({ follower, view, cutUntilMs: -Infinity });
    const heartbeat = setInterval(() => {
      const seen = follower.seenRevision();
      send(index, (to) => to.notePeerRevision(seen));
    }, 1_000);
    heartbeat.unref();
  });
  return routers;
}

function applyStep(store: ModelStore, routers: readonly ModelRouter[], step: Step): void {
  switch (step.kind) {
    case 'put':
      store.put(`s${step.key}`);
      break;
    case 'remove':
      store.remove(`s${step.key}`);
      break;
    case 'restore':
      store.restore(step.lost, step.outageMs, step.rewritten);
      break;
    case 'compact':
      store.compact();
      break;
    case 'cut':
      (routers[step.router] as ModelRouter).cutUntilMs = performance.now() + step.forMs;
      break;
    case 'wait':
      break;
  }
}

async function run(clock: Clock, steps: readonly Step[], seed: number): Promise<string[]> {
  const random = createSeededRandom(seed);
  const store = createModelStore();
  const routers = createRouters(store, random);
  routers.forEach(({ follower }) => follower.start());
  await clock.tickAsync(300);
  for (const step of steps) {
    applyStep(store, routers, step);
    await clock.tickAsync(step.kind === 'wait' ? step.forMs : 1);
  }
  await clock.tickAsync(settleMs);
  const wanted = JSON.stringify(
    [...store.objects().values()].map(({ key: name, value }) => [name, value]).sort(),
  );
  const views = routers.map(({ view }) => JSON.stringify([...view].sort()));
  const stopped = Promise.all(routers.map(({ follower }) => follower.stop()));
  await clock.tickAsync(10_000);
  await stopped;
  return views.flatMap((view, index) =>
    view === wanted ? [] : [`router ${index}: ${view}, ${wanted}`],
  );
}

test.serial(
  'whatever the store loses, all routers converge on its content once changes stop',
  async (t) => {
    t.timeout(110_000);
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }),
        fc.integer({ min: 1, max: 1e6 }),
        async (steps, seed) => {
          const clock = FakeTimers.install();
          try {
            const mismatches = await run(clock, steps, seed);
            if (mismatches.length > 0) {
              throw new Error(mismatches.join('; '));
            }
          } finally {
            clock.uninstall();
          }
        },
      ),
      { seed: 26, numRuns: 60, endOnFailure: true },
    );
    t.pass();
  },
);
