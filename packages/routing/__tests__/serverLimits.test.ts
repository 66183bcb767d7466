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
  /** Kinds of the datagrams that were sent. */
  sent: string[];
  /** What is sent from now on is lost. */
  cut(): void;
  heal(): void;
}

/** Routers that have known each other for long; a datagram is on its way for 2 ms. */
async function withFleet(count: number, check: (fleet: Fleet) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install();
  const addresses = Array.from({ length: count }, (_none, at) => `10.0.0.${at + 1}:7400`);
  const sent: string[] = [];
  let isCut = false;
  const routers = addresses.map((address) =>
    createServerLimits({
      channel: () => ({
        address,
        async send(bytes, to) {
          const message = decodeLimitMessage(bytes);
          to.forEach((other) => {
            sent.push(message?.kind ?? 'unreadable');
            if (message !== undefined && !isCut) {
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
    routers.forEach((router, at) =>
      router.setRouters(
        addresses[at] as string,
        addresses.filter((_address, other) => other !== at),
      ),
    );
    clock.tick(3_000);
    await check({
      clock,
      routers,
      sent,
      cut() {
        isCut = true;
      },
      heal() {
        isCut = false;
      },
    });
  } finally {
    routers.forEach((router) => router.close());
    clock.uninstall();
  }
}

const name = (router: ServerLimits | undefined, requestsPerSecond: number) =>
  router?.note(server, requestsPerSecond);

test.serial(
  'a limit that one router reads holds at the others within milliseconds, and so does its end',
  async (t) => {
    await withFleet(24, async ({ clock, routers }) => {
      name(routers[0], 2);
      clock.tick(10);
      t.true(routers.every((router) => !router.take('s')));
      routers[3]?.note(server);
      clock.tick(10);
      t.true(routers.every((router) => router.take('s')));
    });
  },
);

test.serial('news that are lost are told again', async (t) => {
  // Routers that were not told would send as before, and each would have to be told by the server.
  await withFleet(24, async ({ clock, routers, cut, heal }) => {
    cut();
    name(routers[0], 2);
    clock.tick(10);
    heal();
    t.true(routers[1]?.take('s'));
    clock.tick(2_000);
    t.true(routers.slice(1).every((router) => !router.mayTake('s') || router.waitMs('s') === 0));
    t.false(routers.every((router) => router.take('s')));
  });
});

test.serial('a router that reads what it has been told tells nobody', async (t) => {
  // All routers get answers of the same server: if each told all, a fleet of 359 would send 128,000 datagrams at once.
  await withFleet(24, async ({ clock, routers, sent }) => {
    name(routers[0], 2);
    clock.tick(10);
    routers.slice(1).forEach((router) => name(router, 2));
    clock.tick(10);
    t.is(sent.length, 23);
  });
});

test.serial('a router that issues none has one granted where an issuer has one', async (t) => {
  await withFleet(24, async ({ clock, routers }) => {
    name(routers[0], 2);
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

test.serial('issuers that have none are not asked again before they may have one', async (t) => {
  // While a server's callers flood the fleet, each request would cost two questions.
  await withFleet(24, async ({ clock, routers, sent }) => {
    name(routers[0], 2);
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

test.serial('an issuer that does not answer holds a request up for a moment only', async (t) => {
  await withFleet(24, async ({ clock, routers, cut }) => {
    name(routers[0], 2);
    clock.tick(10);
    cut();
    const other = routers.find((router) => router.waitMs('s') === 500) as ServerLimits;
    const asked = other.request('s');
    await clock.tickAsync(125);
    t.false(await asked);
  });
});

test.serial('what others say of servers that are not listed is not kept', async (t) => {
  // Anything may arrive at the port, and state must not grow with made-up names.
  await withFleet(2, async ({ routers: [router] }) => {
    const limits = [{ serverId: 'unlisted', requestsPerSecond: 0, ageMs: 0 }];
    router?.receive({ kind: 'limit-news', limits });
    t.true(router?.take('unlisted'));
  });
});
