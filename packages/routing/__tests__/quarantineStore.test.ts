import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import type { QuarantineRecord } from '@bluebellhitch/decisions';
import type { PlatformError, StoredObject } from '@bluebellhitch/objects';
import { createQuarantineStore, type QuarantineStoreOptions } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';

const startEpochMs = Date.UTC(2026, 0, 1);
const silent = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const unavailable: PlatformError = { kind: 'unavailable', detail: 'down' };

function recordAt(fingerprint: string, struckAtMs: number): QuarantineRecord {
  const strikes = [{ attemptId: 's1', instanceId: 's1', struckAtMs }];
  return { service: '*', fingerprint, strikes, clearedAttemptIds: [] };
}

interface Fake {
  clock: Clock;
  stored: Map<string, StoredObject>;
  /** While true, all calls fail without an effect. */
  outage: { isDown: boolean };
  loaded: QuarantineRecord[];
  start(): void;
  save(record: QuarantineRecord): void;
}

async function withStore(
  check: (fake: Fake) => Promise<void>,
  onLoaded: (record: QuarantineRecord) => boolean = () => true,
): Promise<void> {
  const clock = FakeTimers.install({ now: startEpochMs });
  const stored = new Map<string, StoredObject>();
  const outage = { isDown: false };
  const loaded: QuarantineRecord[] = [];
  const put = (key: string, value: unknown) => {
    const object = { kind: 'quarantine' as const, key, version: stored.size + 1, value };
    stored.set(key, object);
    return okAsync(object);
  };
  const whenUp = <Value>(answer: () => Value) =>
    outage.isDown ? errAsync<never, PlatformError>(unavailable) : answer();
  const objects = {
    list: () => whenUp(() => okAsync({ objects: [...stored.values()], cursor: '1' })),
    get: (_kind: string, key: string) =>
      whenUp(() => {
        const object = stored.get(key);
        return object ? okAsync(object) : errAsync<never, PlatformError>({ kind: 'not-found' });
      }),
    create: (_kind: string, key: string, value: unknown) => whenUp(() => put(key, value)),
    update: (_kind: string, key: string, _version: number, value: unknown) =>
      whenUp(() => put(key, value)),
    remove: (_kind: string, key: string) =>
      whenUp(() => {
        stored.delete(key);
        return okAsync(undefined);
      }),
  } as unknown as QuarantineStoreOptions['objects'];
  const store = createQuarantineStore({
    objects,
    onLoaded(record) {
      loaded.push(record);
      return onLoaded(record);
    },
    logger: silent,
    random: () => 0,
  });
  try {
    await check({ clock, stored, outage, loaded, ...store });
  } finally {
    const stopped = store.stop();
    await clock.runAllAsync();
    await stopped;
    clock.uninstall();
  }
}

test.serial('records are stored with wall-clock times and read back on any machine', (t) =>
  // Machines have different monotonic clocks, and a restart begins a new one.
  withStore(async ({ clock, stored, start, save }) => {
    start();
    await clock.tickAsync(500);
    save(recordAt('f', monotonicNowMs() - 100));
    await clock.tickAsync(10);
    const { strikes } = stored.get('f')?.value as QuarantineRecord;
    t.is(Math.round(strikes[0]?.struckAtMs ?? 0), startEpochMs + 400);
  }),
);

test.serial('a record is kept until the store accepts it', (t) =>
  // The store may be down while servers crash.
  withStore(async ({ clock, stored, outage, start, save }) => {
    start();
    await clock.tickAsync(10);
    outage.isDown = true;
    save(recordAt('f', 0));
    await clock.tickAsync(5_000);
    t.is(stored.size, 0);
    outage.isDown = false;
    await clock.tickAsync(2_000);
    t.true(stored.has('f'));
  }),
);

test.serial('a stored record is merged with what other routers have written', (t) =>
  withStore(async ({ clock, stored, start, save }) => {
    start();
    await clock.tickAsync(10);
    save(recordAt('f', 5));
    await clock.tickAsync(10);
    const strikes = [{ attemptId: 's2', instanceId: 's2', struckAtMs: 6 }];
    save({ ...recordAt('f', 5), strikes });
    await clock.tickAsync(10);
    const record = stored.get('f')?.value as QuarantineRecord;
    t.deepEqual(record.strikes.map(({ attemptId }) => attemptId).sort(), ['s1', 's2']);
  }),
);

test.serial('records are read once the store is available after the start', (t) =>
  withStore(async ({ clock, stored, outage, loaded, start }) => {
    outage.isDown = true;
    start();
    stored.set('f', {
      ...{ kind: 'quarantine', key: 'f', version: 1 },
      value: recordAt('f', startEpochMs - 60_000),
    });
    await clock.tickAsync(3_000);
    t.is(loaded.length, 0);
    outage.isDown = false;
    await clock.tickAsync(1_000);
    const ageMs = monotonicNowMs() - (loaded[0]?.strikes[0]?.struckAtMs ?? 0);
    t.is(Math.round(ageMs), 64_000);
  }),
);

test.serial(
  'records that no longer count, and objects that are none, are removed from the store',
  (t) =>
    // Nothing in the store expires by itself.
    withStore(
      async ({ clock, stored, start }) => {
        const object = { kind: 'quarantine' as const, version: 1 };
        stored.set('old', { ...object, key: 'old', value: recordAt('old', 0) });
        stored.set('new', { ...object, key: 'new', value: recordAt('new', startEpochMs) });
        stored.set('bad', { ...object, key: 'bad', value: 'no record' });
        start();
        await clock.tickAsync(10);
        t.deepEqual([...stored.keys()], ['new']);
      },
      ({ fingerprint }) => fingerprint === 'new',
    ),
);
