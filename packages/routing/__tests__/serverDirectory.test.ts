import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { createServerDirectory, type BackendServer } from '@bluebellhitch/routing';

const server = (id: string, over: Partial<BackendServer> = {}): BackendServer => ({
  id,
  serviceName: 's',
  address: '10.0.0.1:80',
  dataCentre: 'north',
  slots: 4,
  isDraining: false,
  ...over,
});

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

test('servers that drain or are gone are not usable', (t) => {
  const directory = createServerDirectory();
  directory.replaceAll([server('a'), server('b'), server('c', { serviceName: 'other' })]);
  directory.put(server('a', { isDraining: true }));
  t.deepEqual(idsOf(directory.usable('s')), ['b']);
  directory.remove('b');
  t.deepEqual(idsOf(directory.usable('s')), []);
  t.deepEqual(idsOf(directory.all()), ['a', 'c']);
});

test.serial('entries that lapsed in an outage stay until moments after its end', (t) => {
  // Every request would be refused although all servers are alive. The store was away, their entries lapsed,
  // and its first list after the return is empty.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const directory = createServerDirectory({ lapseGraceMs: 2_000 });
    directory.replaceAll([server('a'), server('b')]);
    directory.storeLost();
    clock.tick(30_000);
    directory.storeBack();
    directory.replaceAll([]);
    t.deepEqual(idsOf(directory.usable('s')), ['a', 'b']);
    clock.tick(1_000);
    directory.put(server('a'));
    clock.tick(1_001);
    t.deepEqual(idsOf(directory.usable('s')), ['a']);
    directory.remove('a');
    t.deepEqual(idsOf(directory.usable('s')), []);
  } finally {
    clock.uninstall();
  }
});

test.serial('a server known to drain is not kept over an outage', (t) => {
  const directory = createServerDirectory();
  directory.put(server('a', { isDraining: true }));
  directory.storeLost();
  directory.remove('a');
  t.deepEqual(directory.all(), []);
});
