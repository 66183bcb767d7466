import test from 'ava';
import fc from 'fast-check';
import { createFeedServer, createFeedStore, type FeedStore } from '@bluebellhitch/membership';
import type { FeedRecord } from '@bluebellhitch/protocol';

function record(key: string, generation: number, fields: Partial<FeedRecord> = {}): FeedRecord {
  return { kind: 'accepted', key, generation, removed: false, value: { generation }, ...fields };
}

function sortedRecords(store: FeedStore): FeedRecord[] {
  return store.since().records.sort((left, right) => left.key.localeCompare(right.key));
}

test('a delta has what is newer than the cursor, and a foreign cursor gets a snapshot', (t) => {
  const store = createFeedStore();
  store.apply([record('a', 1), record('b', 1)]);
  const { cursor, snapshot } = store.since();
  t.true(snapshot);
  store.apply([record('b', 2), record('b', 3)]);
  const delta = store.since(cursor);
  t.false(delta.snapshot);
  t.deepEqual(delta.records, [record('b', 3)]);
  t.true(store.since('another-process:1').snapshot);
  t.is(store.since('another-process:1').records.length, 2);
});

// A relay that was cut off for an hour serves its old state again: an older generation and a record that has been
// removed since. Neither may come back into force.
test('old copies and removed records do not come back', (t) => {
  const store = createFeedStore();
  store.apply([record('a', 5)]);
  t.is(store.apply([record('a', 4)]).staleCount, 1);
  t.is(store.get('accepted', 'a')?.generation, 5);
  store.apply([record('a', 5, { removed: true, value: null })]);
  t.is(store.apply([record('a', 5)]).applied.length, 0);
  t.deepEqual(store.list('accepted'), []);
  t.is(store.apply([record('a', 6)]).applied.length, 1);
});

test('a full store evicts old quarantines, and never an accepted document', (t) => {
  const store = createFeedStore({ maxRecords: 3 });
  const quarantine = (key: string) => record(key, 1, { kind: 'quarantine' });
  store.apply([record('a', 1), quarantine('s/1'), quarantine('s/2')]);
  store.apply([record('b', 1), record('c', 1)]);
  t.deepEqual(
    store.list('accepted').map(({ key }) => key),
    ['a', 'b', 'c'],
  );
  t.is(store.apply([record('d', 1)]).refusedCount, 1);
  t.is(store.size(), 3);
});

// Deltas reach a process through two relays: reordered, repeated, some lost, some from an old snapshot. In every order,
// no record's generation may decrease at any step, and two processes that have seen the same records must agree.
test('generations never decrease under reordered and repeated deltas', (t) => {
  const records = fc.array(
    fc.record({
      key: fc.constantFrom('a', 'b', 'c'),
      generation: fc.nat(20),
      removed: fc.boolean(),
    }),
    { minLength: 1, maxLength: 30 },
  );
  const batches = records.chain((generated) => {
    const copies = generated.map(({ key, generation, removed }) =>
      record(key, generation, { removed, value: null }),
    );
    const order = fc.shuffledSubarray([...copies, ...copies], { minLength: copies.length });
    return fc.tuple(fc.constant(copies), order, fc.integer({ min: 1, max: 5 }));
  });
  const property = fc.property(batches, ([copies, order, batchSize]) => {
    const [store, relay] = [createFeedStore(), createFeedStore()];
    let cursor: string | undefined;
    for (let start = 0; start < order.length; start += batchSize) {
      const before = ['a', 'b', 'c'].map((key) => store.get('accepted', key)?.generation ?? -1);
      relay.apply(order.slice(start, start + batchSize));
      const delta = relay.since(cursor);
      cursor = delta.cursor;
      store.apply([...delta.records].reverse());
      ['a', 'b', 'c'].forEach((key, index) => {
        t.true((store.get('accepted', key)?.generation ?? -1) >= (before[index] ?? -1));
      });
    }
    store.apply(copies);
    relay.apply([...copies].reverse());
    t.deepEqual(sortedRecords(store), sortedRecords(relay));
  });
  fc.assert(property, { seed: 20_261_202, numRuns: 300 });
});

test('a long poll returns at the next record of its services, and at once when closed', async (t) => {
  const store = createFeedStore();
  store.apply([record('draft-models', 1)]);
  const server = createFeedServer(store);
  const services = ['draft-models'];
  const first = await server.feed({ waitMs: 0, services });
  t.is(first.records.length, 1);
  const waiting = server.feed({ cursor: first.cursor, waitMs: 60_000, services });
  store.apply([record('counter-app', 1)]);
  t.is(server.waitingCount(), 1);
  const update = record('draft-models/f1', 1, { kind: 'quarantine' });
  store.apply([update]);
  t.deepEqual((await waiting).records, [update]);
  const pending = server.feed({ cursor: store.since().cursor, waitMs: 60_000 });
  server.close();
  t.deepEqual((await pending).records, []);
});

test('a poll stops waiting when its caller disconnects', async (t) => {
  const server = createFeedServer(createFeedStore());
  const { cursor } = await server.feed({ waitMs: 0 });
  const caller = new AbortController();
  const waiting = server.feed({ cursor, waitMs: 60_000 }, caller.signal);
  caller.abort();
  await waiting;
  t.is(server.waitingCount(), 0);
});
