import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { decodeLimitMessage } from '@bluebellhitch/protocol';
import { createServerLimits, type BackendServer, type ServerLimits } from '@bluebellhitch/routing';
import { createLogger } from '@bluebellhitch/telemetry';

const server = { id: 's', serviceName: 'counter' } as BackendServer;
const logger = createLogger({ binary: 'test', instanceId: 'test', write: () => undefined });

interface Fleet {
  clock: Clock;
  routers: ServerLimits[];
  /** Kinds of the sent datagrams. */
  sent: string[];
  /** Loses all datagrams sent from now on. */
  dropDatagrams(): void;
  deliverDatagrams(): void;
}

/** Creates routers that already know each other; a datagram takes 2 ms. */
async function withFleet(count: number, check: (fleet: Fleet) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install();
  const addresses = Array.from({ length: count }, (_none, index) => `10.0.0.${index + 1}:7400`);
  const sent: string[] = [];
  let isDropping = false;
  const routers = addresses.map((address) =>
    createServerLimits({
      channel: () => ({
        address,
        async send(bytes, to) {
          const message = decodeLimitMessage(bytes);
          to.forEach((other) => {
            sent.push(message?.kind ?? 'unreadable');
            if (message !== undefined && !isDropping) {
              setTimeout(() => routers[addresses.indexOf(other)]?.receive(message), 2);
            }
          });
        },
      }),
      isListed: (id) => id !== 'unlisted',
      logger,
      random: () => 0,
    }),
  );
  try {
    routers.forEach((router, index) =>
      router.setRouters(
        addresses[index] as string,
        addresses.filter((_address, other) => other !== index),
      ),
    );
    clock.tick(3_000);
    await check({
      clock,
      routers,
      sent,
      dropDatagrams() {
        isDropping = true;
      },
      deliverDatagrams() {
        isDropping = false;
      },
    });
  } finally {
    routers.forEach((router) => router.close());
    clock.uninstall();
  }
}

const stateLimit = (router: ServerLimits | undefined, requestsPerSecond: number) =>
  router?.note(server, requestsPerSecond);

test.serial(
  'a limit that one router reads, and its end, apply at the others within milliseconds',
  async (t) => {
    await withFleet(24, async ({ clock, routers }) => {
      stateLimit(routers[0], 2);
      clock.tick(10);
      t.true(routers.every((router) => !router.take('s')));
      routers[3]?.note(server);
      clock.tick(10);
      t.true(routers.every((router) => router.take('s')));
    });
  },
);

test.serial('lost announcements are repeated', async (t) => {
  // Otherwise routers that missed the announcement keep sending until each has read the limit from the server itself.
  await withFleet(24, async ({ clock, routers, dropDatagrams, deliverDatagrams }) => {
    dropDatagrams();
    stateLimit(routers[0], 2);
    clock.tick(10);
    deliverDatagrams();
    t.true(routers[1]?.take('s'));
    clock.tick(2_000);
    t.true(routers.slice(1).every((router) => !router.mayTake('s') || router.waitMs('s') === 0));
    t.false(routers.every((router) => router.take('s')));
  });
});

test.serial(
  'a router that reads a limit already announced to it does not announce it again',
  async (t) => {
    // All routers get responses of the same server: if each announced its limit to all others, a fleet of 359 would send
    // 128,000 datagrams at once.
    await withFleet(24, async ({ clock, routers, sent }) => {
      stateLimit(routers[0], 2);
      clock.tick(10);
      routers.slice(1).forEach((router) => stateLimit(router, 2));
      clock.tick(10);
      t.is(sent.length, 23);
    });
  },
);

test.serial('a router that issues no permits is granted one if an issuer has one', async (t) => {
  await withFleet(24, async ({ clock, routers }) => {
    stateLimit(routers[0], 2);
    clock.tick(5_000);
    routers.forEach((router) => router.mayTake('s'));
    clock.tick(3_000);
    const other = routers.find((router) => !router.mayTake('s')) as ServerLimits;
    const asked = other.request('s');
    await clock.tickAsync(10);
    t.true(await asked);
    t.true(other.take('s'));
    t.false(other.take('s'));
  });
});

test.serial('issuers without a permit are not asked again before they may have one', async (t) => {
  // Otherwise each request costs two questions while callers flood the fleet with requests for the server.
  await withFleet(24, async ({ clock, routers, sent }) => {
    stateLimit(routers[0], 2);
    clock.tick(10);
    const other = routers.find((router) => router.waitMs('s') === 500) as ServerLimits;
    const ask = async () => {
      const asked = other.request('s');
      await clock.tickAsync(10);
      return asked;
    };
    t.false(await ask());
    const questions = () => sent.filter((kind) => kind === 'permit-question').length;
    const first = questions();
    t.true(first > 0);
    t.false(await ask());
    t.is(questions(), first);
  });
});

test.serial('an issuer that does not answer delays a request only briefly', async (t) => {
  await withFleet(24, async ({ clock, routers, dropDatagrams }) => {
    stateLimit(routers[0], 2);
    clock.tick(10);
    dropDatagrams();
    const other = routers.find((router) => router.waitMs('s') === 500) as ServerLimits;
    const asked = other.request('s');
    await clock.tickAsync(125);
    t.false(await asked);
  });
});

test.serial('announcements about unlisted servers are ignored', async (t) => {
  // Any datagram may arrive at the port, and state must not grow with forged names.
  await withFleet(2, async ({ routers: [router] }) => {
    const limits = [{ serverId: 'unlisted', requestsPerSecond: 0, ageMs: 0 }];
    router?.receive({ kind: 'limit-news', limits });
    t.true(router?.take('unlisted'));
  });
});
