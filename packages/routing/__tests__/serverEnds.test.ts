import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { createServerEnds, type ServerEndsOptions } from '@bluebellhitch/routing';
import type { ServerPresence } from '../src/backendApi';
import type { BackendServer } from '../src/model';

const server = { id: 's1', isDraining: false } as BackendServer;

interface Situation {
  presences?: ServerPresence[];
  listed?: BackendServer;
  hasRestarted?: boolean;
}

async function check(situation: Situation): Promise<{ hasCrashed: boolean; probeCount: number }> {
  const { presences = [], listed = server, hasRestarted = false } = situation;
  const left = [...presences];
  let probeCount = 0;
  const directory: ServerEndsOptions['directory'] = {
    get: (id) => (listed.id === id ? listed : undefined),
    hasRestarted: () => hasRestarted,
  };
  const backend: ServerEndsOptions['backend'] = {
    async probe() {
      probeCount += 1;
      return left.shift() ?? 'unknown';
    },
  };
  const clock = FakeTimers.install();
  try {
    const { hasCrashed } = createServerEnds({ backend, directory });
    const both = Promise.all([hasCrashed(server), hasCrashed(server)]);
    await clock.tickAsync(2_000);
    const [first, second] = await both;
    return { hasCrashed: first && second, probeCount };
  } finally {
    clock.uninstall();
  }
}

test.serial(
  'a server whose address refuses connections, or belongs to another, has crashed',
  async (t) => {
    t.deepEqual(await check({ presences: ['ended'] }), { hasCrashed: true, probeCount: 1 });
    t.deepEqual(await check({ presences: ['unknown', 'ended'] }), {
      hasCrashed: true,
      probeCount: 2,
    });
  },
);

test.serial('a server that answers has only closed a connection', async (t) => {
  // Full servers reset connections, and responses are lost on the way: no request is to blame for that.
  t.deepEqual(await check({ presences: ['running'] }), { hasCrashed: false, probeCount: 1 });
});

test.serial('a server that cannot be reached has not crashed for certain', async (t) => {
  // Behind a cut link everything that it ran is lost, and it runs on.
  t.deepEqual(await check({ presences: [] }), { hasCrashed: false, probeCount: 3 });
});

test.serial(
  'a server that has announced its end, or has left the list, has not crashed',
  async (t) => {
    // At its planned end it cuts the streams that last longer than it may stay.
    const draining = { ...server, isDraining: true };
    const unlisted = { ...server, id: 's2' };
    for (const listed of [draining, unlisted]) {
      t.deepEqual(await check({ listed }), { hasCrashed: false, probeCount: 0 });
    }
  },
);

test.serial('a server that is listed as a later incarnation has crashed', async (t) => {
  t.deepEqual(await check({ hasRestarted: true }), { hasCrashed: true, probeCount: 0 });
});
