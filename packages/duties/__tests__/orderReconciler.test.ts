import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import { createDutyLease } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createStandinPlatform } from '@bluebellhitch/standins';
import { createOrderReconciler } from '../src/orderReconciler';
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

  function startReconciler(holderId: string) {
    const stopping = new AbortController();
    let isDisconnected = false;
    const random = createSeededRandom(3);
    const key = orderLeaseKey(service);
    const times = { ttlMs: 6000, marginMs: 1500, renewMs: 1500, contendMs: 3000 };
    const lease = createDutyLease({
      platform: {
        ...platform,
        update: (...call) => (isDisconnected ? hang() : platform.update(...call)),
      },
      key,
      holderId,
      random,
      ...times,
    });
    const reconciler = createOrderReconciler({
      service,
      holderId,
      lease,
      agentClient: fleet.connect(() => isDisconnected),
      document: () => accepted,
      instances: fleet.instances,
      rank: () => 0,
      random,
    });
    const ended = reconciler.run(stopping.signal);
    return {
      lease,
      /** Disconnects it, as when its process crashes: nothing that it sends arrives any more. */
      crash: () => {
        isDisconnected = true;
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
    startReconciler,
    accept: (version: string, rollout?: object) => {
      accepted = acceptedDocument(version, rollout);
    },
  };
}

/** A call that never completes. */
function hang<Value>(): Value {
  return new Promise(() => {}) as Value;
}

test.afterEach.always(() => clock.uninstall());

test.serial('a rollout reaches every worker within its share and the limit of loads', async (t) => {
  const { fleet, startReconciler, accept, platform } = createFixture();
  const reconciler = startReconciler('entry-1');
  await clock.tickAsync(20_000);
  t.is(platform.control.stats().calls.update + platform.control.stats().calls.create, 0);
  accept('2');
  await clock.tickAsync(60_000);
  t.is(fleet.countAt('2'), 13);
  t.true(fleet.maxOutOfService() <= 3);
  t.is(fleet.maxLoads(), 2);
  await clock.tickAsync(60_000);
  t.is(reconciler.lease.heldFencing(), undefined, 'an idle service holds no lease');
  await reconciler.stop();
});

// The holder crashes while two workers are loading. To its successor they report the old version, as if they were
// serving, and two further workers have appeared in the list. Ordering those at once would take twice the share out of
// service.
test.serial(
  'a successor continues a rollout and counts what is still loading for the crashed holder',
  async (t) => {
    const { fleet, startReconciler, accept } = createFixture(13, 20_000);
    fleet.workers.slice(0, 2).forEach((worker) => {
      worker.models = [];
    });
    ['worker-0', 'worker-1'].forEach((id) => fleet.unlisted.add(id));
    const first = startReconciler('entry-1');
    accept('2', { maxUnavailableShare: 0.2 });
    await clock.tickAsync(7000);
    const before = fleet.countAt('2');
    t.true(before < 13 && fleet.applied.length > 0);
    first.crash();
    fleet.unlisted.clear();
    const second = startReconciler('entry-2');
    await clock.tickAsync(300_000);
    t.is(fleet.countAt('2'), 13);
    t.true(fleet.maxOutOfService() <= 2, `${fleet.maxOutOfService()} out of service`);
    await second.stop();
  },
);

// The holder is paused after planning orders, for longer than its lease, and another one takes over. When the first one
// resumes, it must not send any order under its old fencing number.
test.serial(
  'a holder that was paused past its lease orders nothing under its old number',
  async (t) => {
    const { fleet, startReconciler: startHolder, accept, platform } = createFixture();
    const paused = startHolder('entry-1');
    accept('2');
    await clock.tickAsync(3000);
    t.is(paused.lease.heldFencing()?.fencingNumber, 1);
    // Time passes without any of its timers firing.
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
    // Time passes without any of its timers firing.
    clock.jump(10_000);
    await clock.tickAsync(15_000);
    t.is(paused.lease.heldFencing(), undefined);
    t.is(fleet.received.length, receivedBefore);
    await paused.stop();
  },
);

// One worker fails every load, for example because its disk is full, or reports "done" without loading anything. The
// rollout takes one worker at a time: if the broken one were always retried first, no other worker would be updated.
const brokenWorker = test.macro({
  title: (_, loads: 'fail' | 'vanish') => `a worker whose loads ${loads} does not delay the others`,
  exec: async (t, loads: 'fail' | 'vanish') => {
    const { fleet, startReconciler: startHolder, accept } = createFixture(6);
    fleet.workers.slice(0, 1).forEach((worker) => {
      worker.loads = loads;
    });
    const reconciler = startHolder('entry-1');
    accept('2');
    await clock.tickAsync(90_000);
    t.is(fleet.countAt('2'), 5);
    const tries = fleet.received.filter(({ order }) => order.kind === 'load-model').length - 5;
    t.true(tries >= 2 && tries < 10, `${tries} tries`);
    await reconciler.stop();
  },
});
test.serial(brokenWorker, 'fail');
test.serial(brokenWorker, 'vanish');
