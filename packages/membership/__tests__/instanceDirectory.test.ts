import { install, type Clock } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';
import { createInstanceDirectory, selectRelays } from '@bluebellhitch/membership';
import type { PlatformInstance } from '@bluebellhitch/objects';
import { createStandinPlatform } from '@bluebellhitch/standins';

function agent(id: string, fields: Partial<PlatformInstance> = {}): PlatformInstance {
  return {
    id,
    kind: 'agent',
    service: 'draft-models',
    dataCentre: 'salem-hall',
    innerAddress: `http://127.0.0.1/${id}`,
    state: 'live',
    ...fields,
  };
}

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

async function createDirectory(instanceLagMs = 0) {
  const platform = createStandinPlatform({ instanceLagMs });
  platform.control.putInstance(agent('w-1'));
  platform.control.putInstance(agent('w-2'));
  const directory = createInstanceDirectory({ platform, random: () => 0.5 });
  const agentIds = () => directory.agents('draft-models').map(({ id }) => id);
  return { platform, directory, agentIds };
}

// A worker refuses with "leaving" while the list has it as live for another ten seconds. It must not get work again at
// the next refresh; and once the list has caught up, a new process under the same id must get work.
testWithClock('a leaving instance stays excluded while the list lags', async (t, clock) => {
  const { platform, directory, agentIds } = await createDirectory(10_000);
  directory.start();
  await clock.tickAsync(15_000);
  t.deepEqual(agentIds(), ['w-1', 'w-2']);
  let changes = 0;
  directory.onChange(() => {
    changes += 1;
  });
  platform.control.markLeaving('w-1');
  directory.markLeaving('w-1');
  t.deepEqual(agentIds(), ['w-2']);
  t.is(changes, 1);
  await clock.tickAsync(6000);
  t.deepEqual(agentIds(), ['w-2']);
  await clock.tickAsync(10_000);
  platform.control.putInstance(agent('w-1'));
  await clock.tickAsync(16_000);
  t.deepEqual(agentIds(), ['w-2', 'w-1'].sort());
  await directory.stop();
});

testWithClock(
  'an instance marked as down comes back after a while or at a new address',
  async (t, clock) => {
    const { platform, directory, agentIds } = await createDirectory();
    await directory.refresh();
    directory.markDown('w-1');
    t.deepEqual(agentIds(), ['w-2']);
    await clock.tickAsync(5000);
    t.deepEqual(agentIds(), ['w-1', 'w-2']);
    directory.markDown('w-2');
    platform.control.putInstance(agent('w-2', { innerAddress: 'http://127.0.0.1/moved' }));
    await directory.refresh();
    t.deepEqual(agentIds(), ['w-1', 'w-2']);
  },
);

testWithClock('the last view stays in force during an outage', async (t, clock) => {
  const { platform, directory, agentIds } = await createDirectory();
  directory.start();
  await clock.tickAsync(1000);
  platform.control.setOutage(true);
  await clock.tickAsync(60_000);
  t.deepEqual(agentIds(), ['w-1', 'w-2']);
  t.true((directory.viewAgeMs() ?? 0) >= 55_000);
  await directory.stop();
});

test('relays are the same for every view of the same instances, and change little', (t) => {
  const entries = Array.from({ length: 30 }, (_, index) =>
    agent(`entry-${index}`, { kind: 'entry', service: undefined }),
  );
  const relays = selectRelays(entries, 'salem-hall').map(({ id }) => id);
  t.is(relays.length, 3);
  t.deepEqual(
    selectRelays([...entries].reverse(), 'salem-hall').map(({ id }) => id),
    relays,
  );
  const without = entries.filter(({ id }) => id !== relays[0]);
  t.deepEqual(
    selectRelays(without, 'salem-hall')
      .map(({ id }) => id)
      .slice(0, 2),
    relays.slice(1),
  );
  t.deepEqual(selectRelays(entries, 'tacoma-hall'), []);
});

// Two relays read the platform at different times. The older list arrives second and still has an instance that is
// removed: applying it would send requests to a dead address until the next list.
testWithClock('an older list from a relay does not replace a younger one', async (t, clock) => {
  const { platform, directory, agentIds } = await createDirectory();
  await directory.refresh();
  const older = directory.listing('all');
  await clock.tickAsync(3000);
  platform.control.removeInstance('w-1');
  await directory.refresh();
  await clock.tickAsync(1000);
  directory.applyUpdate({ digest: 'older', ageMs: 4000, instances: older?.instances }, 'all');
  t.deepEqual(agentIds(), ['w-2']);
  directory.applyUpdate({ digest: 'younger', ageMs: 500, instances: [agent('w-3')] }, 'all');
  t.deepEqual(agentIds(), ['w-3']);
  t.is(directory.listing('all')?.digest, 'younger');
});

// A single entry starts before the platform lists it. Until it is in its own list it is not a relay, and with the usual
// pause between refreshes documents that it has accepted itself would take five seconds to be in force.
testWithClock('the list is read more often while it contains no entry', async (t, clock) => {
  const { platform, directory } = await createDirectory();
  directory.start();
  await clock.tickAsync(100);
  platform.control.putInstance(agent('entry-1', { kind: 'entry', service: undefined }));
  await clock.tickAsync(1300);
  t.is(directory.entries().length, 1);
  await directory.stop();
});
