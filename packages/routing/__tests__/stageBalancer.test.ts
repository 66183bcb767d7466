import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok, type Result } from 'neverthrow';
import type { DutyLease, DutyLeaseError, HeldFencing } from '@bluebellhitch/objects';
import {
  createServerDirectory,
  createStageBalancer,
  type BackendServer,
  type Stage,
  type StageOrder,
} from '@bluebellhitch/routing';
import { createLogger } from '@bluebellhitch/telemetry';

interface Fixture {
  fencingNumber: number;
  isHeldByOther: boolean;
  /** This process may try to acquire the lease. */
  mayContend: boolean;
  /** Each one is a request to the object store. */
  leaseCalls: number;
  orders: { serverId: string; atMs: number; order: StageOrder }[];
  isLeaseHeld: boolean;
}

const engine = (id: string, stage: Stage): BackendServer => ({
  id,
  name: id,
  serviceName: 's',
  address: `${id}:80`,
  dataCentre: 'north',
  slots: 64,
  isDraining: false,
  softwareVersion: 'v1',
  stage,
});

function createLeaseFor(fixture: Fixture): DutyLease {
  const fencing = (): HeldFencing => {
    const { fencingNumber } = fixture;
    return { fencingNumber, validForMs: 1_000, isFirst: fencingNumber === 1 };
  };
  const held = (): Result<HeldFencing, DutyLeaseError> => {
    if (fixture.isHeldByOther) {
      return err({ kind: 'held-by-other', holderId: 'x' });
    }
    fixture.isLeaseHeld = true;
    return ok(fencing());
  };
  return {
    acquireOrRenew: async () => {
      fixture.leaseCalls += 1;
      return held();
    },
    release: async () => {
      fixture.isLeaseHeld = false;
      return ok(undefined);
    },
    heldFencing: () => (fixture.isLeaseHeld ? fencing() : undefined),
    start: () => undefined,
    stop: async () => undefined,
  } as unknown as DutyLease;
}

async function runBalancer(fixture: Fixture, initial: Stage[], forMs: number): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const directory = createServerDirectory();
    initial.forEach((stage, index) => directory.put(engine(`e${index}`, stage)));
    const load = { stage: 'decode', isBusyWithOrder: false, orderCount: 7 };
    const balancer = createStageBalancer({
      directory,
      backend: {
        readLoad: async () => ({ kind: 'done', value: load as never }),
        orderStage: async ({ id }, order) => {
          fixture.orders.push({ serverId: id, atMs: clock.now, order });
          return { kind: 'done', value: 'accepted' };
        },
      },
      services: () => [
        {
          name: 's',
          maxConnections: 10,
          engine: {
            kvTokens: 1_000,
            reservationLimitMs: 2_000,
            stageSwitchMs: 6_000,
          },
        },
      ],
      createLease: () => createLeaseFor(fixture),
      mayContend: () => fixture.mayContend,
      holderId: 'front-1',
      leaseMs: 3_000,
      prefillShare: () => 0.2,
      logger: createLogger({ binary: 'test', instanceId: 't', write: () => undefined }),
      random: () => 0.5,
    });
    balancer.start();
    await clock.tickAsync(forMs);
    const stopped = balancer.stop();
    await clock.tickAsync(2_000);
    await stopped;
  } finally {
    clock.uninstall();
  }
}

const createFixture = (overrides: Partial<Fixture> = {}): Fixture => ({
  fencingNumber: 1,
  isHeldByOther: false,
  mayContend: true,
  leaseCalls: 0,
  orders: [],
  isLeaseHeld: false,
  ...overrides,
});

const threePrefillOfFive: Stage[] = ['prefill', 'prefill', 'prefill', 'decode', 'decode'];

test.serial(
  'the lease holder orders one change at a time, each once, with the expected order count',
  async (t) => {
    const fixture = createFixture();
    await runBalancer(fixture, threePrefillOfFive, 5_000);
    t.is(fixture.orders.length, 2);
    t.is(new Set(fixture.orders.map(({ serverId }) => serverId)).size, 2);
    t.deepEqual(fixture.orders[0]?.order, {
      stage: 'decode',
      holderId: 'front-1',
      fencingNumber: 1,
      expectedOrderCount: 7,
    });
    t.false(fixture.isLeaseHeld);
  },
);

test.serial('a process without the lease sends no orders', async (t) => {
  const fixture = createFixture({ isHeldByOther: true });
  await runBalancer(fixture, threePrefillOfFive, 10_000);
  t.deepEqual(fixture.orders, []);
});

test.serial(
  'a new lease holder waits until the previous holder’s last order must have arrived',
  async (t) => {
    // Otherwise an engine could receive the orders of two holders interleaved. The previous holder may have sent an
    // order just before its lease expired, and engines here do not check fencing numbers.
    const fixture = createFixture({ fencingNumber: 2 });
    await runBalancer(fixture, threePrefillOfFive, 3_900);
    t.deepEqual(fixture.orders, []);
    await runBalancer(fixture, threePrefillOfFive, 8_000);
    t.true((fixture.orders[0]?.atMs ?? 0) >= 3_000);
  },
);

test.serial('no lease is acquired while the engines are balanced', async (t) => {
  const fixture = createFixture();
  await runBalancer(fixture, ['prefill', 'decode', 'decode', 'decode', 'decode'], 5_000);
  t.deepEqual(fixture.orders, []);
  t.false(fixture.isLeaseHeld);
});

test.serial('a process that may not contend for the lease sends no request for it', async (t) => {
  // Otherwise every process of a fleet would query the store every 400 ms as long as one engine has to change.
  const fixture = createFixture({ mayContend: false });
  await runBalancer(fixture, threePrefillOfFive, 20_000);
  t.is(fixture.leaseCalls, 0);
  t.deepEqual(fixture.orders, []);
});

test.serial(
  'a lease that another process holds is not requested again before it may have expired',
  async (t) => {
    const fixture = createFixture({ isHeldByOther: true });
    await runBalancer(fixture, threePrefillOfFive, 20_000);
    t.true(fixture.leaseCalls >= 4 && fixture.leaseCalls <= 10, `${fixture.leaseCalls} calls`);
  },
);
