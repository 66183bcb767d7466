import {
  createReturnedServers,
  createServerDirectory,
  type ServerHealth,
} from '@bluebellhitch/routing';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createLogger } from '@bluebellhitch/telemetry';
import { testWithFakeClock } from './support/fakeClockTest';
import { listedServer } from './support/listedServer';

const logger = createLogger({ binary: 'test', instanceId: 'r1', write: () => undefined });

const entry = (entryNumber: number) => listedServer('a', { entryNumber });

interface Server {
  health: ServerHealth;
  entryNumber?: number;
}

/** A server that was removed with entry 5 and has returned with entry 9. */
function createReturn(server: Server, routerCount = 1, random = createSeededRandom(1)) {
  const calls: string[] = [];
  const directory = createServerDirectory();
  directory.replaceAll([entry(5)]);
  directory.remove('a');
  directory.put(entry(9));
  const returnedServers = createReturnedServers({
    directory,
    backend: {
      async readHealth() {
        calls.push('health');
        return server.health;
      },
    },
    async readEntryNumber() {
      calls.push('entry');
      return server.entryNumber;
    },
    routerCount: () => routerCount,
    logger,
    random,
  });
  return { directory, calls, returnedServers, isUsed: () => directory.usable('s').length > 0 };
}

testWithFakeClock(
  'a healthy server is confirmed by one health check, without a call to the store',
  async (t, clock) => {
    const { calls, returnedServers, isUsed } = createReturn({ health: 'healthy' });
    returnedServers.noteUnconfirmed('a');
    returnedServers.noteUnconfirmed('a');
    await clock.tickAsync(10);
    t.true(isUsed());
    t.deepEqual(calls, ['health']);
  },
);

testWithFakeClock(
  'a server that says it is unhealthy, and one that is too busy to say, are asked again',
  async (t, clock) => {
    const server: Server = { health: 'unhealthy', entryNumber: 9 };
    const { returnedServers, isUsed } = createReturn(server);
    returnedServers.noteUnconfirmed('a');
    await clock.tickAsync(1_000);
    server.health = 'unknown';
    await clock.tickAsync(1_000);
    t.false(isUsed());
    server.health = 'healthy';
    await clock.tickAsync(600);
    t.true(isUsed());
  },
);

testWithFakeClock('a server that is removed or leaves is not asked any more', async (t, clock) => {
  for (const end of ['remove', 'leave', 'close'] as const) {
    const { directory, calls, returnedServers } = createReturn({ health: 'unhealthy' });
    returnedServers.noteUnconfirmed('a');
    await clock.tickAsync(100);
    if (end === 'remove') {
      directory.remove('a');
    } else if (end === 'leave') {
      directory.noteLeaving({ id: 'a' });
    } else {
      returnedServers.close();
    }
    calls.length = 0;
    await clock.tickAsync(10_000);
    t.deepEqual(calls, [], end);
  }
});

testWithFakeClock(
  'the first health checks of a large fleet are spread over a second',
  async (t, clock) => {
    // A plain server has a few slots, which health checks take like requests.
    const routerCount = 359;
    const random = createSeededRandom(1);
    const fleet = Array.from({ length: routerCount }, () =>
      createReturn({ health: 'healthy' }, routerCount, random),
    );
    fleet.forEach(({ returnedServers }) => returnedServers.noteUnconfirmed('a'));
    const askedIn100Ms: number[] = [];
    for (let slice = 0; slice < 10; slice += 1) {
      const asked = () => fleet.filter(({ calls }) => calls.length > 0).length;
      const before = asked();
      await clock.tickAsync(100);
      askedIn100Ms.push(asked() - before);
    }
    t.true(fleet.every(({ isUsed }) => isUsed()));
    t.true(Math.max(...askedIn100Ms) <= routerCount / 5, askedIn100Ms.join(' '));
  },
);
