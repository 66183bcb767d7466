import test from 'ava';
import fc from 'fast-check';
import { createLeaseTable, type LeaseTable, type ReserveInput } from '../src';
import { fixedSeed } from './helpers/fixtures';

const owner = { entryId: 'entry-1', entryIncarnation: 'first' };

function reservation(attemptId: string, overrides: Partial<ReserveInput> = {}): ReserveInput {
  return {
    attemptId,
    owner,
    purpose: 'decode',
    kvBytes: 10,
    neededInMs: 0,
    expectedHoldMs: 1000,
    ...overrides,
  };
}

function tableOf(kvBytes: number, slots = 20): LeaseTable {
  return createLeaseTable({ capacity: { kvBytes, slots } });
}

test('grants memory up to the capacity and says when more will be free', (t) => {
  const table = tableOf(20);
  t.is(table.reserve(reservation('a'), 0).kind, 'granted');
  t.is(table.reserve(reservation('b', { expectedHoldMs: 400 }), 0).kind, 'granted');
  t.deepEqual(table.reserve(reservation('c'), 100), { kind: 'wait', usableInMs: 300 });
  t.is(table.totals().heldKvBytes, 20);
});

test('permanently refuses a reservation larger than the whole memory', (t) => {
  t.deepEqual(tableOf(20).reserve(reservation('a', { kvBytes: 21 }), 0), { kind: 'never' });
  t.deepEqual(tableOf(20, 0).reserve(reservation('a'), 0), { kind: 'never' });
});

test('leases are limited by slots as well as by memory', (t) => {
  const table = tableOf(1000, 2);
  table.reserve(reservation('a'), 0);
  table.reserve(reservation('b'), 0);
  t.is(table.reserve(reservation('c'), 0).kind, 'wait');
});

test('a reservation for later is granted against memory that will be free by then', (t) => {
  const table = tableOf(10);
  table.reserve(reservation('running', { expectedHoldMs: 200 }), 0);
  const outcome = table.reserve(reservation('next', { neededInMs: 250 }), 0);
  t.like(outcome, { kind: 'granted', usableInMs: 200 });
  t.is(table.get('next')?.state, 'promised');
  t.is(table.totals().heldKvBytes, 10);
  t.false(table.advance('next', 'streaming', 1000));
  table.end('running');
  t.deepEqual(
    table.holdPromised().map(({ attemptId }) => attemptId),
    ['next'],
  );
  t.true(table.advance('next', 'streaming', 1000));
});

// Guards against promising the same memory to two requests, one of which would then wait in vain after its
// prefill: the first promise must count against the second request.
test('memory is promised only once', (t) => {
  const table = tableOf(10);
  table.reserve(reservation('running', { expectedHoldMs: 200 }), 0);
  table.reserve(reservation('first', { neededInMs: 250, expectedHoldMs: 500 }), 0);
  t.deepEqual(table.reserve(reservation('second', { neededInMs: 250 }), 0), {
    kind: 'wait',
    usableInMs: 750,
  });
});

test('work that outlives its prediction is expected to end soon, not in the past', (t) => {
  const table = tableOf(10);
  table.reserve(reservation('running', { expectedHoldMs: 200 }), 0);
  t.deepEqual(table.reserve(reservation('next'), 900), { kind: 'wait', usableInMs: 100 });
});

// Guards against memory held indefinitely by streams of an entry that died: its heartbeats stop, and 1.5 s after
// the last one its leases, and only those, have lapsed.
test('leases without a heartbeat lapse', (t) => {
  const table = tableOf(100);
  const other = { entryId: 'entry-2', entryIncarnation: 'first' };
  table.reserve(reservation('a'), 0);
  table.reserve(reservation('b', { owner: other }), 0);
  t.is(table.renew(other, 1000), 1);
  t.deepEqual(table.lapsed(1400), []);
  t.deepEqual(
    table.lapsed(1500).map(({ attemptId }) => attemptId),
    ['a'],
  );
});

// An entry restarts under the same id. Heartbeats of the new incarnation must not renew leases of the earlier
// one, which the new one does not know and would never end.
test('heartbeats of a new incarnation do not renew leases of the earlier one', (t) => {
  const table = tableOf(100);
  const restarted = { ...owner, entryIncarnation: 'second' };
  table.reserve(reservation('old'), 0);
  table.reserve(reservation('new', { owner: restarted }), 0);
  t.is(table.renew(restarted, 1000), 1);
  t.deepEqual(
    table.lapsed(1500).map(({ attemptId }) => attemptId),
    ['old'],
  );
});

// The agent itself is paused for 5 s. When it resumes, heartbeats of live entries are still unread, and their
// streams must not be cut off.
test('a pause of this process does not make leases lapse', (t) => {
  const table = tableOf(100);
  table.reserve(reservation('a'), 0);
  table.lapsed(100);
  t.deepEqual(table.lapsed(5100), []);
  t.deepEqual(table.lapsed(5500), []);
  t.deepEqual(
    [5900, 6300, 6600].flatMap((nowMs) => table.lapsed(nowMs).map(({ attemptId }) => attemptId)),
    ['a'],
  );
});

test('a lease bound to its connection needs no heartbeat', (t) => {
  const table = tableOf(100);
  table.reserve(reservation('a'), 0);
  table.bindToConnection('a');
  t.deepEqual(table.lapsed(1500), []);
});

test('released memory counts as held until the release is confirmed', (t) => {
  const table = tableOf(10);
  table.reserve(reservation('a'), 0);
  t.true(table.startRelease('a'));
  t.false(table.startRelease('a'));
  t.is(table.totals().heldKvBytes, 10);
  t.is(table.reserve(reservation('b'), 0).kind, 'wait');
  t.true(table.end('a'));
  t.false(table.end('a'));
  t.is(table.reserve(reservation('b'), 0).kind, 'granted');
});

test('an export keeps its memory and releases its slot', (t) => {
  const table = tableOf(100, 1);
  table.reserve(reservation('a', { purpose: 'prefill' }), 0);
  table.advance('a', 'exported', 500);
  t.like(table.totals(), { heldKvBytes: 10, heldSlots: 0 });
  t.is(table.reserve(reservation('b'), 0).kind, 'granted');
});

// After a restart the engine holds memory of streams that this process does not know. Granting that memory
// again would exceed the engine's capacity.
test('adopted memory is held although no entry owns it', (t) => {
  const table = tableOf(10);
  table.adopt('unknown', 8, 0);
  t.is(table.reserve(reservation('a'), 0).kind, 'wait');
  table.end('unknown');
  t.is(table.reserve(reservation('a'), 0).kind, 'granted');
});

test('after the capacity shrinks, nothing is granted until the held memory fits', (t) => {
  const table = tableOf(20);
  table.reserve(reservation('a'), 0);
  table.reserve(reservation('b'), 0);
  table.setCapacity({ kvBytes: 10, slots: 20 });
  table.end('a');
  t.is(table.reserve(reservation('c'), 0).kind, 'wait');
  table.end('b');
  t.is(table.reserve(reservation('c'), 0).kind, 'granted');
});

type Step =
  | { kind: 'reserve'; id: number; kvBytes: number; neededInMs: number; expectedHoldMs: number }
  | { kind: 'advance' | 'release' | 'end' | 'export'; id: number }
  | { kind: 'renew' | 'lapse' | 'settle' }
  | { kind: 'wait'; durationMs: number };

const attemptNumber = fc.integer({ min: 0, max: 12 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('reserve' as const),
    id: attemptNumber,
    kvBytes: fc.integer({ min: 1, max: 60 }),
    neededInMs: fc.integer({ min: 0, max: 800 }),
    expectedHoldMs: fc.integer({ min: 0, max: 1500 }),
  }),
  fc.record({
    kind: fc.constantFrom(
      'advance' as const,
      'release' as const,
      'end' as const,
      'export' as const,
    ),
    id: attemptNumber,
  }),
  fc.record({ kind: fc.constantFrom('renew' as const, 'lapse' as const, 'settle' as const) }),
  fc.record({ kind: fc.constant('wait' as const), durationMs: fc.integer({ min: 1, max: 900 }) }),
);

interface LeaseCounts {
  granted: Map<string, number>;
  ended: Map<string, number>;
}

function increment(counter: Map<string, number>, attemptId: string, isCounted: boolean): void {
  counter.set(attemptId, (counter.get(attemptId) ?? 0) + (isCounted ? 1 : 0));
}

function applyStep(table: LeaseTable, step: Step, nowMs: number, counts: LeaseCounts): void {
  const attemptId = 'id' in step ? `attempt-${step.id}` : '';
  const actions: Record<Step['kind'], () => void> = {
    reserve: () => {
      const isNew = table.get(attemptId) === undefined;
      const input = reservation(attemptId, step as Partial<ReserveInput>);
      increment(counts.granted, attemptId, isNew && table.reserve(input, nowMs).kind === 'granted');
    },
    advance: () => table.advance(attemptId, 'streaming', nowMs + 300),
    export: () => table.advance(attemptId, 'exported', nowMs + 300),
    release: () => table.startRelease(attemptId),
    end: () => increment(counts.ended, attemptId, table.end(attemptId)),
    renew: () => table.renew(owner, nowMs),
    lapse: () => table.lapsed(nowMs).forEach((lease) => table.startRelease(lease.attemptId)),
    settle: () => table.holdPromised(),
    wait: () => undefined,
  };
  actions[step.kind]();
}

test('never holds more than the capacity and ends each lease once, in any sequence of steps', (t) => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
    const table = tableOf(100, 6);
    const counts: LeaseCounts = { granted: new Map(), ended: new Map() };
    let nowMs = 0;
    steps.forEach((step) => {
      nowMs += step.kind === 'wait' ? step.durationMs : 0;
      applyStep(table, step, nowMs, counts);
      const { heldKvBytes, heldSlots } = table.totals();
      const live = table.leases();
      t.true(heldKvBytes <= 100 && heldSlots <= 6);
      t.is(
        live.reduce((total, lease) => total + lease.heldKvBytes, 0),
        heldKvBytes,
      );
      const liveIds = new Set(live.map(({ attemptId }) => attemptId));
      counts.granted.forEach((count, attemptId) => {
        t.is((counts.ended.get(attemptId) ?? 0) + (liveIds.has(attemptId) ? 1 : 0), count);
      });
    });
  });
  t.notThrows(() => fc.assert(property, fixedSeed));
});

test('all promised leases get their memory once the work that they wait for has ended', (t) => {
  const property = fc.property(
    fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1, maxLength: 12 }),
    (sizes) => {
      const table = tableOf(50, 8);
      table.reserve(reservation('running', { kvBytes: 50, expectedHoldMs: 100 }), 0);
      sizes.forEach((kvBytes, index) =>
        table.reserve(reservation(`later-${index}`, { kvBytes, neededInMs: 150 }), 0),
      );
      table.end('running');
      table.holdPromised();
      return table.totals().promisedSlots === 0;
    },
  );
  t.notThrows(() => fc.assert(property, fixedSeed));
});
