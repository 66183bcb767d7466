import { install, type Clock } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { createDutyLease, type DutyLease, type PlatformApi } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import {
  createStandinPlatform,
  type LostResponses,
  type PlatformVerb,
  type StandinPlatform,
} from '@bluebellhitch/standins';

const ttlMs = 6000;
const marginMs = 1500;
const key = 'orders/draft-models';

function testWithClock(title: string, check: (t: ExecutionContext, clock: Clock) => Promise<void>) {
  test.serial(title, async (t) => {
    const clock = install();
    try {
      await check(t, clock);
    } finally {
      clock.uninstall();
    }
  });
}

interface Observed {
  lease: DutyLease;
  acquired: number[];
  lost: number[];
}

let nextSeed = 1;

function createLease(platform: PlatformApi, holderId: string, onAcquired = () => {}): Observed {
  const acquired: number[] = [];
  const lost: number[] = [];
  nextSeed += 1;
  const lease = createDutyLease({
    platform,
    key,
    holderId,
    ttlMs,
    marginMs,
    onAcquired: (fencingNumber) => {
      acquired.push(fencingNumber);
      onAcquired();
    },
    onLost: (fencingNumber) => lost.push(fencingNumber),
    random: createSeededRandom(nextSeed),
  });
  return { lease, acquired, lost };
}

function createPlatform(): StandinPlatform {
  return createStandinPlatform({ latencyMs: 4 });
}

async function advanceUntilDone<Value>(clock: Clock, work: PromiseLike<Value>, forMs = 100) {
  const done = Promise.resolve(work);
  await clock.tickAsync(forMs);
  return done;
}

testWithClock(
  'a lease is acquired, renewed and released, each time with a higher number',
  async (t, clock) => {
    const platform = createPlatform();
    const first = createLease(platform, 'entry-1');
    const second = createLease(platform, 'entry-2');
    t.is(
      (await advanceUntilDone(clock, first.lease.acquireOrRenew()))._unsafeUnwrap().fencingNumber,
      1,
    );
    const refused = await advanceUntilDone(clock, second.lease.acquireOrRenew());
    t.deepEqual(refused._unsafeUnwrapErr(), { kind: 'held-by-other', holderId: 'entry-1' });
    await clock.tickAsync(2000);
    t.is(
      (await advanceUntilDone(clock, first.lease.acquireOrRenew()))._unsafeUnwrap().fencingNumber,
      1,
    );
    t.true((await advanceUntilDone(clock, first.lease.release())).isOk());
    t.is(first.lease.heldFencing(), undefined);
    t.is(
      (await advanceUntilDone(clock, second.lease.acquireOrRenew()))._unsafeUnwrap().fencingNumber,
      2,
    );
    t.deepEqual([first.acquired, first.lost], [[1], [1]]);
  },
);

// The holder is paused or cannot reach the platform until its lease expires. It must stop by its own
// clock, without being notified, before a contender may start.
testWithClock('a holder that cannot renew stops before a contender starts', async (t, clock) => {
  const platform = createPlatform();
  const first = createLease(platform, 'entry-1');
  const second = createLease(platform, 'entry-2');
  await advanceUntilDone(clock, first.lease.acquireOrRenew(), 10);
  await advanceUntilDone(clock, second.lease.acquireOrRenew(), 10);
  await clock.tickAsync(ttlMs - marginMs);
  t.is(first.lease.heldFencing(), undefined);
  t.deepEqual(first.lost, [1]);
  t.is(
    (await advanceUntilDone(clock, second.lease.acquireOrRenew()))._unsafeUnwrapErr().kind,
    'held-by-other',
  );
  await clock.tickAsync(marginMs);
  t.is(
    (await advanceUntilDone(clock, second.lease.acquireOrRenew()))._unsafeUnwrap().fencingNumber,
    2,
  );
});

// A process resumes after another one has taken over its duty, and reads the fencing number before any of
// its timers has fired. Validity must therefore be checked against the clock.
testWithClock(
  'a resumed process sees that its lease has lapsed before any timer runs',
  async (t, clock) => {
    const first = createLease(createPlatform(), 'entry-1');
    await advanceUntilDone(clock, first.lease.acquireOrRenew(), 10);
    t.truthy(first.lease.heldFencing());
    clock.jump(0);
    const realNow = performance.now.bind(performance);
    performance.now = () => realNow() + ttlMs;
    t.is(first.lease.heldFencing(), undefined);
    t.deepEqual(first.lost, []);
  },
);

// The response to the acquisition is lost after it took effect. Reading back must recognise the own
// session, otherwise nobody would hold the duty for a whole time to live.
testWithClock(
  'a lost response to the acquisition or renewal is resolved by reading back',
  async (t, clock) => {
    const platform = createPlatform();
    const first = createLease(platform, 'entry-1');
    platform.control.loseResponses({ count: 1, verb: 'create', effect: 'applied' });
    t.is(
      (await advanceUntilDone(clock, first.lease.acquireOrRenew()))._unsafeUnwrap().fencingNumber,
      1,
    );
    await clock.tickAsync(3000);
    platform.control.loseResponses({ count: 1, verb: 'update', effect: 'applied' });
    const renewed = (
      await advanceUntilDone(clock, first.lease.acquireOrRenew(), 10)
    )._unsafeUnwrap();
    t.true(renewed.validForMs > ttlMs - marginMs - 20, `valid for ${renewed.validForMs} ms`);
    t.deepEqual(first.lost, []);
  },
);

// A slow renewal takes effect long after it was sent. Validity must count from before the call was
// sent; counted from the response, two processes could hold the duty at the same time.
testWithClock('validity counts from before the renewal was sent', async (t, clock) => {
  const platform = createPlatform();
  const first = createLease(platform, 'entry-1');
  await advanceUntilDone(clock, first.lease.acquireOrRenew());
  platform.control.setSlow(2000);
  const renewed = await advanceUntilDone(clock, first.lease.acquireOrRenew(), 2004);
  t.is(renewed._unsafeUnwrap().validForMs, ttlMs - marginMs - 2004);
});

// A renewal takes effect late, and a second one sent meanwhile fails because of it. Contenders saw only
// the first one, so validity must count from when that one was sent.
testWithClock(
  'after a lost response validity counts from the write that was stored',
  async (t, clock) => {
    const platform = createPlatform();
    const first = createLease(platform, 'entry-1');
    await advanceUntilDone(clock, first.lease.acquireOrRenew());
    platform.control.loseResponses({ count: 1, verb: 'update', effect: 'late', lateMs: 1000 });
    platform.control.loseResponses({ count: 1, verb: 'get', effect: 'dropped' });
    t.true((await advanceUntilDone(clock, first.lease.acquireOrRenew(), 2000)).isErr());
    const renewed = (
      await advanceUntilDone(clock, first.lease.acquireOrRenew(), 4)
    )._unsafeUnwrap();
    t.is(renewed.validForMs, ttlMs - marginMs - 2004);
  },
);

testWithClock('a contender takes over the duty when its holder stops', async (t, clock) => {
  const platform = createPlatform();
  const first = createLease(platform, 'entry-1');
  const second = createLease(platform, 'entry-2');
  first.lease.start();
  await clock.tickAsync(1000);
  second.lease.start();
  await clock.tickAsync(60_000);
  t.deepEqual([first.acquired, first.lost, second.acquired], [[1], [], []]);
  const stopped = first.lease.stop();
  await clock.tickAsync(5000);
  await stopped;
  t.deepEqual([first.lost, second.acquired], [[1], [2]]);
  const released = second.lease.stop();
  await clock.tickAsync(1000);
  await released;
});

// Three processes contend while the platform loses responses before, after or long after the calls take
// effect, has outages and is slow. Two of them must never hold the duty at the same time, and each
// acquisition must get a higher number than all earlier ones.
testWithClock(
  'there are never two holders, and fencing numbers strictly increase',
  async (t, clock) => {
    const faults = fc.array(
      fc.record({
        atMs: fc.integer({ min: 0, max: 40_000 }),
        fault: fc.oneof(
          fc.record({
            event: fc.constant('lose' as const),
            count: fc.integer({ min: 1, max: 4 }),
            verb: fc.constantFrom<PlatformVerb[]>('create', 'update', 'get'),
            effect: fc.constantFrom<LostResponses['effect'][]>('applied', 'dropped', 'late'),
            lateMs: fc.integer({ min: 0, max: 9000 }),
          }),
          fc.record({ event: fc.constant('outage' as const), durationMs: fc.nat(12_000) }),
          fc.record({ event: fc.constant('slow' as const), durationMs: fc.nat(12_000) }),
          fc.record({ event: fc.constant('restart' as const), process: fc.nat(2) }),
        ),
      }),
      { maxLength: 12 },
    );
    let acquisitions = 0;
    const property = fc.asyncProperty(faults, async (plan) => {
      const platform = createPlatform();
      const checkHolders = () => {
        const holders = processes.filter(({ lease }) => lease.heldFencing() !== undefined);
        t.true(holders.length <= 1, 'two processes hold the lease');
      };
      const processes = [0, 1, 2].map((index) =>
        createLease(platform, `entry-${index}`, checkHolders),
      );
      const numbers: number[] = [];
      const count = () => processes.forEach(({ acquired }) => numbers.push(...acquired.splice(0)));
      processes.forEach(({ lease }) => lease.start());
      plan.forEach(({ atMs, fault }) => {
        setTimeout(() => {
          if (fault.event === 'lose') {
            platform.control.loseResponses(fault);
          } else if (fault.event === 'outage') {
            platform.control.setOutage(true);
            setTimeout(() => platform.control.setOutage(false), fault.durationMs);
          } else if (fault.event === 'slow') {
            platform.control.setSlow(3000);
            setTimeout(() => platform.control.setSlow(0), fault.durationMs);
          } else {
            const { lease } = processes[fault.process] ?? createLease(platform, 'entry-x');
            void lease.stop().then(() => lease.start());
          }
        }, atMs);
      });
      for (let step = 0; step < 300; step += 1) {
        await clock.tickAsync(200);
        count();
        checkHolders();
      }
      numbers.forEach((number, index) => t.true(index === 0 || number > (numbers[index - 1] ?? 0)));
      acquisitions += numbers.length;
      const stopped = Promise.all(processes.map(({ lease }) => lease.stop()));
      await clock.tickAsync(20_000);
      await stopped;
    });
    await fc.assert(property, { numRuns: 60, seed: 20_261_202 });
    t.true(acquisitions > 60, `${acquisitions} acquisitions`);
  },
);
