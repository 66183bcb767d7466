import { install, type Clock } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import {
  createClaimStore,
  type ClaimOutcome,
  type ClaimStore,
  type PlatformApi,
} from '@bluebellhitch/objects';
import { createSeededRandom, delay, monotonicNowMs } from '@bluebellhitch/shared';
import { createStandinPlatform, type StandinPlatformOptions } from '@bluebellhitch/standins';

type CreateStore = (platform: PlatformApi, ownerId: string) => ClaimStore;

const createStore: CreateStore = (platform, ownerId) => createClaimStore({ platform, ownerId });

const expiresInMs = 60_000;
const key = 'halloran-voss/draft-models/6f1c';
const seed = 20_261_202;

/** Runs the check with fake timers; the check advances the clock itself. */
function testWithClock(
  title: string,
  check: (t: ExecutionContext, clock: Clock, create: CreateStore) => Promise<void>,
): void {
  test.serial(title, async (t) => {
    const clock = install({ now: Date.UTC(2026, 0, 1) });
    try {
      await check(t, clock, createStore);
    } finally {
      clock.uninstall();
    }
  });
}

async function advanceUntilDone<Value>(
  clock: Clock,
  work: PromiseLike<Value>,
  forMs = 20_000,
): Promise<Value> {
  const done = Promise.resolve(work);
  await clock.tickAsync(forMs);
  return done;
}

function take(store: ClaimStore, attemptId: string, claimKey = key) {
  return store.take({ key: claimKey, requestId: `request-${attemptId}`, attemptId, expiresInMs });
}

function createPlatform(options: StandinPlatformOptions = {}) {
  return createStandinPlatform({ latencyMs: 4, jitterMs: 0, ...options });
}

function claimOf(outcome: ClaimOutcome) {
  if (outcome.kind !== 'taken') {
    throw new Error('the claim is held');
  }
  return outcome.claim;
}

testWithClock(
  'one of two takers gets the claim, the other is told that it is held',
  async (t, clock, create) => {
    const platform = createPlatform();
    const [first, second] = [create(platform, 'entry-1'), create(platform, 'entry-2')];
    const outcomes = await advanceUntilDone(
      clock,
      Promise.all([take(first, 'a'), take(second, 'b')]),
    );
    const kinds = outcomes.map((outcome) => outcome._unsafeUnwrap().kind);
    t.deepEqual([...kinds].sort(), ['held', 'taken']);
  },
);

testWithClock('a duplicate is told how the run ended', async (t, clock, create) => {
  const platform = createPlatform();
  const store = create(platform, 'entry-1');
  const claim = claimOf((await advanceUntilDone(clock, take(store, 'a')))._unsafeUnwrap());
  t.like((await advanceUntilDone(clock, take(store, 'b')))._unsafeUnwrap(), { state: 'running' });
  t.true((await advanceUntilDone(clock, store.finish(claim, 'ran'))).isOk());
  const other = create(platform, 'entry-2');
  t.deepEqual((await advanceUntilDone(clock, take(other, 'c')))._unsafeUnwrap(), {
    kind: 'held',
    state: 'ran',
    requestId: 'request-a',
  });
});

// The write takes effect but its response is lost. Reading back must recognise the own attempt,
// otherwise the request would be refused as a duplicate of itself.
testWithClock(
  'a write whose response was lost is recognised as our own',
  async (t, clock, create) => {
    const platform = createPlatform();
    platform.control.loseResponses({ count: 1, verb: 'create', effect: 'applied' });
    const outcome = await advanceUntilDone(clock, take(create(platform, 'entry-1'), 'a'));
    t.is(outcome._unsafeUnwrap().kind, 'taken');
    const other = await advanceUntilDone(clock, take(create(platform, 'entry-2'), 'b'));
    t.is(other._unsafeUnwrap().kind, 'held');
  },
);

// The first write is still in flight when it is read back, so nothing is found and it is written again.
// When the first write then takes effect late, the key must not go to two attempts.
testWithClock(
  'a write that takes effect late does not give the claim to two attempts',
  async (t, clock, create) => {
    const platform = createPlatform();
    platform.control.loseResponses({ count: 1, verb: 'create', effect: 'late', lateMs: 15 });
    const [first, second] = [create(platform, 'entry-1'), create(platform, 'entry-2')];
    const outcomes = await advanceUntilDone(
      clock,
      Promise.all([take(first, 'a'), take(second, 'b')]),
    );
    const taken = outcomes.filter((outcome) => outcome.isOk() && outcome.value.kind === 'taken');
    t.is(taken.length, 1);
  },
);

// The write takes effect, its response is lost and every read-back fails: the request is refused as not
// run, with `claimMayStay`. Once the platform responds again, the claim must be released in the
// background, or the caller's retries would be refused for the whole retention window.
testWithClock(
  'a claim left behind by a failed read-back is released later',
  async (t, clock, create) => {
    const platform = createPlatform();
    const store = create(platform, 'entry-1');
    claimOf(
      (await advanceUntilDone(clock, take(store, 'warm-up', 'other-key'), 500))._unsafeUnwrap(),
    );
    platform.control.loseResponses({ count: 1, verb: 'create', effect: 'applied' });
    platform.control.loseResponses({ count: 6, verb: 'get', effect: 'dropped' });
    platform.control.loseResponses({ count: 6, verb: 'create', effect: 'dropped' });
    const refused = await advanceUntilDone(clock, take(store, 'a'), 2000);
    t.like(refused._unsafeUnwrapErr(), { kind: 'unavailable', claimMayStay: true });
    platform.control.clearFaults();
    await advanceUntilDone(clock, store.settle(), 60_000);
    const retried = await advanceUntilDone(clock, take(create(platform, 'entry-2'), 'b'));
    t.is(retried._unsafeUnwrap().kind, 'taken');
  },
);

testWithClock('an outage refuses the claim and leaves nothing behind', async (t, clock, create) => {
  const platform = createPlatform();
  platform.control.setOutage(true);
  const refused = await advanceUntilDone(clock, take(create(platform, 'entry-1'), 'a'));
  t.like(refused._unsafeUnwrapErr(), { kind: 'unavailable', claimMayStay: false });
  platform.control.setOutage(false);
  const retried = await advanceUntilDone(clock, take(create(platform, 'entry-2'), 'b'));
  t.is(retried._unsafeUnwrap().kind, 'taken');
});

// The response to a release is lost. The key must become free, and a release that takes effect late must
// not remove the claim that another attempt has taken meanwhile.
testWithClock(
  'a released key can be taken again, and a late release does not remove the new claim',
  async (t, clock, create) => {
    const platform = createPlatform();
    const [first, second] = [create(platform, 'entry-1'), create(platform, 'entry-2')];
    const claim = claimOf((await advanceUntilDone(clock, take(first, 'a')))._unsafeUnwrap());
    const lost = { count: 1, effect: 'late', lateMs: 400 } as const;
    platform.control.loseResponses({ ...lost, verb: 'remove' });
    platform.control.loseResponses({ ...lost, verb: 'update' });
    const released = first.release(claim);
    const taken = await advanceUntilDone(
      clock,
      released.andThen(() => take(second, 'b')),
    );
    t.is(taken._unsafeUnwrap().kind, 'taken');
    const third = await advanceUntilDone(clock, take(create(platform, 'entry-3'), 'c'));
    t.is(third._unsafeUnwrap().kind, 'held');
  },
);

testWithClock(
  'an unconfirmed release is reported and keeps the key claimed',
  async (t, clock, create) => {
    const platform = createPlatform();
    const store = create(platform, 'entry-1');
    const claim = claimOf((await advanceUntilDone(clock, take(store, 'a')))._unsafeUnwrap());
    platform.control.setOutage(true);
    const released = await advanceUntilDone(clock, store.release(claim));
    t.is(released._unsafeUnwrapErr().kind, 'unconfirmed');
    platform.control.setOutage(false);
    t.is((await advanceUntilDone(clock, take(store, 'b')))._unsafeUnwrap().kind, 'held');
  },
);

// A key is used again long after its window: the expired claim must be replaced, and by only one of two
// concurrent takers.
testWithClock('an expired claim is replaced by exactly one taker', async (t, clock, create) => {
  const platform = createPlatform();
  const [first, second] = [create(platform, 'entry-1'), create(platform, 'entry-2')];
  const claim = claimOf((await advanceUntilDone(clock, take(first, 'a')))._unsafeUnwrap());
  await clock.tickAsync(expiresInMs - 30_000);
  t.is((await advanceUntilDone(clock, take(second, 'b')))._unsafeUnwrap().kind, 'held');
  await clock.tickAsync(30 * 60_000);
  t.true(monotonicNowMs() > claim.dispatchBeforeMs);
  const outcomes = await advanceUntilDone(
    clock,
    Promise.all([take(first, 'c'), take(second, 'd')]),
  );
  const kinds = outcomes.map((outcome) => outcome._unsafeUnwrap().kind);
  t.deepEqual([...kinds].sort(), ['held', 'taken']);
});

// Several entries take the same few keys concurrently while the platform reorders calls and loses
// responses before, after or long after the calls take effect. No key may be held by two attempts
// that have not been released.
testWithClock('no key is ever held by two attempts', async (t, clock, create) => {
  const lostResponses = fc.array(
    fc.record({
      count: fc.integer({ min: 1, max: 3 }),
      verb: fc.constantFrom('create', 'update', 'get', 'remove'),
      effect: fc.constantFrom('applied', 'dropped', 'late'),
      lateMs: fc.integer({ min: 0, max: 300 }),
    }),
    { maxLength: 6 },
  );
  const steps = fc.array(
    fc.record({
      entry: fc.integer({ min: 0, max: 2 }),
      key: fc.integer({ min: 0, max: 1 }),
      atMs: fc.integer({ min: 0, max: 400 }),
      afterwards: fc.constantFrom('finish', 'release', 'nothing'),
      // Within the clock skew between entries that the store tolerates.
      skewMs: fc.integer({ min: -2000, max: 2000 }),
    }),
    { minLength: 2, maxLength: 10 },
  );
  const runs = { numRuns: 120, seed };
  let takenCount = 0;
  const property = fc.asyncProperty(
    lostResponses,
    steps,
    fc.nat(),
    async (faults, plan, latencySeed) => {
      const random = createSeededRandom(latencySeed);
      const windowEdgeMs = Math.ceil(Date.now() / 10_000 + 3) * 10_000;
      const platform = createPlatform({ latencyMs: 2, jitterMs: 12, random });
      faults.forEach((fault) => platform.control.loseResponses(fault));
      const entries = [0, 1, 2].map((entry) => create(platform, `entry-${entry}`));
      const holders = new Map<number, Set<string>>();
      const work = plan.map(async (step, index) => {
        await delay(step.atMs);
        clock.setSystemTime(windowEdgeMs + step.atMs + step.skewMs);
        const store = entries[step.entry] ?? create(platform, 'entry-x');
        const outcome = await take(store, `attempt-${index}`, `key-${step.key}`);
        if (outcome.isErr() || outcome.value.kind === 'held') {
          return;
        }
        takenCount += 1;
        const held = holders.get(step.key) ?? new Set();
        holders.set(step.key, held.add(`attempt-${index}`));
        t.is(held.size, 1, `key ${step.key} is held by ${[...held].join(' and ')}`);
        if (step.afterwards === 'release') {
          held.delete(`attempt-${index}`);
          await store.release(outcome.value.claim);
        } else if (step.afterwards === 'finish') {
          await store.finish(outcome.value.claim, 'ran');
        }
      });
      await advanceUntilDone(clock, Promise.all(work), 60_000);
    },
  );
  await fc.assert(property, runs);
  t.true(takenCount > 120, `${takenCount} claims were taken`);
});
