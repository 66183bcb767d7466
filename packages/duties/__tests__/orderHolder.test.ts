import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import { createDutyLease } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createStandinPlatform } from '@bluebellhitch/standins';
import { createOrderHolder } from '../src/orderHolder';
import { orderLeaseKey } from '../src/orderSender';
import { settle } from './helpers/settle';
import { createWorkerFleet } from './helpers/workerFleet';

const service = 'draft-models';
let clock: FakeTimers.Clock;

function acceptedDocument(version: string, rollout: object = {}) {
  const document = serviceDocumentSchema.parse({
    apiVersion: 'bluebellhitch/v1',
    service,
    institution: 'halloran-voss',
    kind: 'model',
    dataCentres: ['tacoma-hall'],
    models: [{ name: 'letters', version }],
    rollout: { prefillWorkers: 0, ...rollout },
  });
  return { generation: Number(version), documentVersion: 1, acceptedAt: '', document };
}

function createFixture(workerCount = 13, loadMs = 4000) {
  clock = FakeTimers.install();
  const platform = createStandinPlatform({ latencyMs: 4 });
  const fleet = createWorkerFleet({ platform, service, workerCount, loadMs });
  let accepted = acceptedDocument('1');

  function startHolder(holderId: string) {
    const stopping = new AbortController();
    let cut = false;
    const random = createSeededRandom(3);
    const key = orderLeaseKey(service);
    const times = { ttlMs: 6000, marginMs: 1500, renewMs: 1500, contendMs: 3000 };
    const lease = createDutyLease({
      platform: { ...platform, update: (...call) => (cut ? hang() : platform.update(...call)) },
      key,
      holderId,
      random,
      ...times,
    });
    const holder = createOrderHolder({
      service,
      holderId,
      lease,
      agentClient: fleet.connect(() => cut),
      document: () => accepted,
      instances: fleet.instances,
      rank: () => 0,
      random,
    });
    const ended = holder.run(stopping.signal);
    return {
      lease,
      /** Nothing that it sends arrives any more, as when its process died. */
      die: () => {
        cut = true;
        stopping.abort();
      },
      stop: async () => {
        stopping.abort();
        await clock.tickAsync(5000);
        await ended;
      },
    };
  }

  return {
    platform,
    fleet,
    startHolder,
    accept: (version: string, rollout?: object) => {
      accepted = acceptedDocument(version, rollout);
    },
  };
}

/** A call that is never answered. */
function hang<Value>(): Value {
  return new Promise(() => {}) as Value;
}

test.afterEach.always(() => clock.uninstall());

test.serial('a rollout reaches every worker within its share and the bound of loads', async (t) => {
  const { fleet, startHolder, accept, platform } = createFixture();
  const holder = startHolder('entry-1');
  await clock.tickAsync(20_000);
  t.is(platform.control.stats().calls.update + platform.control.stats().calls.create, 0);
  accept('2');
  await clock.tickAsync(60_000);
  t.is(fleet.countAt('2'), 13);
  t.true(fleet.highestOut() <= 3);
  t.is(fleet.highestLoads(), 2);
  await clock.tickAsync(60_000);
  t.is(holder.lease.heldFencing(), undefined, 'a service at rest holds no lease');
  await holder.stop();
});

// The holder dies with two workers loading. Its successor sees them report the old version, as if they
// were serving, and two others that the list did not show before. Ordering those right away would take
// twice the share out of service.
test.serial(
  'a successor continues a rollout and counts what still loads for the dead holder',
  async (t) => {
    const { fleet, startHolder, accept } = createFixture(13, 20_000);
    fleet.workers.slice(0, 2).forEach((worker) => {
      worker.models = [];
    });
    ['worker-0', 'worker-1'].forEach((id) => fleet.unlisted.add(id));
    const first = startHolder('entry-1');
    accept('2', { maxUnavailableShare: 0.2 });
    await clock.tickAsync(7000);
    const before = fleet.countAt('2');
    t.true(before < 13 && fleet.applied.length > 0);
    first.die();
    fleet.unlisted.clear();
    const second = startHolder('entry-2');
    await clock.tickAsync(300_000);
    t.is(fleet.countAt('2'), 13);
    t.true(fleet.highestOut() <= 2, `${fleet.highestOut()} out of service`);
    await second.stop();
  },
);

// The holder's process is paused, with orders planned, for longer than its lease. Another one takes
// over. When the first one wakes up, it must not order anything under its old number.
test.serial(
  'a holder that was paused past its lease orders nothing under its old number',
  async (t) => {
    const { fleet, startHolder, accept, platform } = createFixture();
    const paused = startHolder('entry-1');
    accept('2');
    await clock.tickAsync(3000);
    t.is(paused.lease.heldFencing()?.fencingNumber, 1);
    // Time passes without any of its timers running.
    clock.setSystemTime(Date.now());
    const stored = await settle(clock, platform.get('lease', orderLeaseKey(service)));
    const taken = {
      fencingNumber: 2,
      holderId: 'entry-2',
      session: 's',
      sequence: 1,
      ttlMs: 60_000,
    };
    await settle(
      clock,
      platform.update('lease', orderLeaseKey(service), stored._unsafeUnwrap().version, taken),
    );
    const receivedBefore = fleet.received.length;
    // Time passes without any of its timers running.
    clock.jump(10_000);
    await clock.tickAsync(15_000);
    t.is(paused.lease.heldFencing(), undefined);
    t.is(fleet.received.length, receivedBefore);
    await paused.stop();
  },
);

// One worker's disk is full, or its engine says "done" and loads nothing. The rollout takes one worker
// at a time; were the broken one tried again first each time, no other would ever get its turn.
const brokenWorker = test.macro({
  title: (_, loads: 'fail' | 'vanish') =>
    `a worker whose loads ${loads} does not hold up the others`,
  exec: async (t, loads: 'fail' | 'vanish') => {
    const { fleet, startHolder, accept } = createFixture(6);
    fleet.workers.slice(0, 1).forEach((worker) => {
      worker.loads = loads;
    });
    const holder = startHolder('entry-1');
    accept('2');
    await clock.tickAsync(90_000);
    t.is(fleet.countAt('2'), 5);
    const tries = fleet.received.filter(({ order }) => order.kind === 'load-model').length - 5;
    t.true(tries >= 2 && tries < 10, `${tries} tries`);
    await holder.stop();
  },
});
test.serial(brokenWorker, 'fail');
test.serial(brokenWorker, 'vanish');
