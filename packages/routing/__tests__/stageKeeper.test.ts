import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok, type Result } from 'neverthrow';
import type { DutyLease, DutyLeaseError, HeldFencing } from '@bluebellhitch/objects';
import {
  createServerDirectory,
  createStageKeeper,
  type BackendServer,
  type Stage,
  type StageOrder,
} from '@bluebellhitch/routing';
import { createLogger } from '@bluebellhitch/telemetry';

interface World {
  fencingNumber: number;
  /** Another process holds the lease. */
  isHeldByOther: boolean;
  /** This process is one of the few that order. */
  mayContend: boolean;
  /** Each a call of the store. */
  leaseLooks: number;
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
  stage,
});

function leaseOf(world: World): DutyLease {
  const fencing = (): HeldFencing => {
    const { fencingNumber } = world;
    return { fencingNumber, validForMs: 1_000, isFirst: fencingNumber === 1 };
  };
  const held = (): Result<HeldFencing, DutyLeaseError> => {
    if (world.isHeldByOther) {
      return err({ kind: 'held-by-other', holderId: 'x' });
    }
    world.isLeaseHeld = true;
    return ok(fencing());
  };
  return {
    acquireOrRenew: async () => {
      world.leaseLooks += 1;
      return held();
    },
    release: async () => {
      world.isLeaseHeld = false;
      return ok(undefined);
    },
    heldFencing: () => (world.isLeaseHeld ? fencing() : undefined),
    start: () => undefined,
    stop: async () => undefined,
  } as unknown as DutyLease;
}

async function keep(world: World, initial: Stage[], forMs: number): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const directory = createServerDirectory();
    initial.forEach((stage, index) => directory.put(engine(`e${index}`, stage)));
    const load = { stage: 'decode', isBusyWithOrder: false, orderCount: 7 };
    const keeper = createStageKeeper({
      directory,
      backend: {
        readLoad: async () => ({ kind: 'done', value: load as never }),
        orderStage: async ({ id }, order) => {
          world.orders.push({ serverId: id, atMs: clock.now, order });
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
      createLease: () => leaseOf(world),
      mayContend: () => world.mayContend,
      holderId: 'front-1',
      leaseMs: 3_000,
      prefillShare: () => 0.2,
      logger: createLogger({ binary: 'test', instanceId: 't', write: () => undefined }),
      random: () => 0.5,
    });
    keeper.start();
    await clock.tickAsync(forMs);
    const stopped = keeper.stop();
    await clock.tickAsync(2_000);
    await stopped;
  } finally {
    clock.uninstall();
  }
}

const createWorld = (over: Partial<World> = {}): World => ({
  fencingNumber: 1,
  isHeldByOther: false,
  mayContend: true,
  leaseLooks: 0,
  orders: [],
  isLeaseHeld: false,
  ...over,
});

const fivePrefill: Stage[] = ['prefill', 'prefill', 'prefill', 'decode', 'decode'];

test.serial(
  'the holder orders one change at a time, each once, and says how many it expects',
  async (t) => {
    const world = createWorld();
    await keep(world, fivePrefill, 5_000);
    t.is(world.orders.length, 2);
    t.is(new Set(world.orders.map(({ serverId }) => serverId)).size, 2);
    t.deepEqual(world.orders[0]?.order, {
      stage: 'decode',
      holderId: 'front-1',
      fencingNumber: 1,
      expectedOrderCount: 7,
    });
    t.false(world.isLeaseHeld);
  },
);

test.serial('a process without the lease orders nothing', async (t) => {
  const world = createWorld({ isHeldByOther: true });
  await keep(world, fivePrefill, 10_000);
  t.deepEqual(world.orders, []);
});

test.serial(
  'a holder after another waits until that one’s last order must have arrived',
  async (t) => {
    // Two holders' orders would reach one engine by turns. The holder before may have sent an order just before
    // its lease ended; engines here do not check fencing numbers.
    const world = createWorld({ fencingNumber: 2 });
    await keep(world, fivePrefill, 3_900);
    t.deepEqual(world.orders, []);
    await keep(world, fivePrefill, 8_000);
    t.true((world.orders[0]?.atMs ?? 0) >= 3_000);
  },
);

test.serial('engines that are divided well need no lease', async (t) => {
  const world = createWorld();
  await keep(world, ['prefill', 'decode', 'decode', 'decode', 'decode'], 5_000);
  t.deepEqual(world.orders, []);
  t.false(world.isLeaseHeld);
});

test.serial('a process that is none of the few that order makes no call for it', async (t) => {
  // The store would be asked by every process of a fleet each 400 ms for as long as one engine has to change.
  const world = createWorld({ mayContend: false });
  await keep(world, fivePrefill, 20_000);
  t.is(world.leaseLooks, 0);
  t.deepEqual(world.orders, []);
});

test.serial('a lease that another holds is looked at no sooner than it may lapse', async (t) => {
  const world = createWorld({ isHeldByOther: true });
  await keep(world, fivePrefill, 20_000);
  t.true(world.leaseLooks >= 4 && world.leaseLooks <= 10, `${world.leaseLooks} looks`);
});
