import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { createServerDirectory, serverIdOf, type BackendServer } from '@bluebellhitch/routing';

const server = (id: string, over: Partial<BackendServer> = {}): BackendServer => ({
  id,
  name: id,
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

test.serial(
  'that a server leaves by its own word outlives its entries, and ends with its life',
  (t) => {
    // The store is late or away: it lists the server as ready, loses its entry, lists it again, comes back from an older
    // copy. None of it undoes the word. A later life under the same name has not said it.
    const directory = createServerDirectory();
    const entry = (over: Partial<BackendServer> = {}) =>
      server('a~1', { name: 'a', bornAtMs: 1, entryNumber: 1, ...over });
    directory.put(entry());
    const version = directory.version();
    directory.noteLeaving({ id: 'a~1' });
    t.true(directory.version() > version);
    const isUsable = () => directory.usable('s').length > 0;
    t.false(isUsable());
    directory.put(entry({ entryNumber: 2 }));
    directory.replaceAll([entry({ entryNumber: 3, slots: 5 })]);
    t.false(isUsable());
    directory.withdraw('a');
    directory.put(entry({ entryNumber: 4 }));
    t.false(isUsable());
    directory.noteOlderCopy();
    directory.put(entry({ entryNumber: 5 }));
    t.false(isUsable());
    directory.remove('a');
    t.is(directory.size(), 0);
    directory.put(entry({ entryNumber: 6 }));
    t.is(directory.size(), 1);
    t.false(isUsable());
    directory.noteBorn(entry(), 2, 'decode');
    t.deepEqual(idsOf(directory.usable('s')), [serverIdOf('a', 2)]);
  },
);

test('a server that says that it leaves before it is listed is never used', (t) => {
  const directory = createServerDirectory();
  directory.noteLeaving({ id: 'a' });
  directory.put(server('a'));
  t.deepEqual(directory.usable('s'), []);
  t.true(directory.get('a')?.isDraining);
});

test('a server that starts again under its name is another server', (t) => {
  // What was believed of the life before (memory in use, breakers, prefill results) would be held against an
  // engine that holds and knows nothing. It crashes and is back under its name within its heartbeat.
  const changes: string[] = [];
  const directory = createServerDirectory({
    onChanged: ({ kind, server: { id } }) => changes.push(`${kind} ${id}`),
  });
  const life = (bornAtMs: number) =>
    server(serverIdOf('a', bornAtMs), { name: 'a', bornAtMs, slots: bornAtMs });
  directory.put(life(10));
  directory.put(life(20));
  t.deepEqual(changes, ['added a~a', 'removed a~a', 'added a~k']);
  t.is(directory.get('a~a'), undefined);
  t.deepEqual(idsOf(directory.usable('s')), ['a~k']);
});

test('news of a life that is over changes nothing, whether the server is listed or gone', (t) => {
  // Requests would go to a life that is over. An entry of before a restart arrives after it.
  const directory = createServerDirectory();
  const life = (bornAtMs: number) => server(serverIdOf('a', bornAtMs), { name: 'a', bornAtMs });
  directory.put(life(20));
  directory.put(life(10));
  t.deepEqual(idsOf(directory.all()), ['a~k']);
  directory.replaceAll([life(10)]);
  t.deepEqual(idsOf(directory.all()), ['a~k']);
  directory.remove('a');
  directory.put(life(10));
  t.deepEqual(directory.all(), []);
  directory.put(life(30));
  t.deepEqual(idsOf(directory.usable('s')), ['a~u']);
});

test('a server whose entry turns unreadable gets nothing new until it is readable again', (t) => {
  // Another writer has spoiled the entry: nobody vouches for the address any more. What is in progress there goes
  // on, so the server is still known.
  const directory = createServerDirectory();
  directory.put(server('a'));
  directory.withdraw('a');
  t.deepEqual(directory.usable('s'), []);
  t.deepEqual(idsOf(directory.all()), ['a']);
  directory.put(server('a'));
  t.deepEqual(idsOf(directory.usable('s')), ['a']);
  directory.replaceAll([], ['a']);
  t.deepEqual(directory.usable('s'), []);
  t.deepEqual(idsOf(directory.all()), ['a']);
});

test('an entry without the birth that its server has told before is not its own', (t) => {
  const directory = createServerDirectory();
  directory.put(server('a~a', { name: 'a', bornAtMs: 10 }));
  directory.put(server('a', { address: '10.9.9.9:1' }));
  t.deepEqual(directory.usable('s'), []);
});

test('a report may tell of a restart before the entry does', (t) => {
  const directory = createServerDirectory();
  const before = server('a~a', { name: 'a', bornAtMs: 10, stage: 'prefill' });
  directory.put(before);
  directory.noteBorn(before, 20, 'decode');
  t.like(directory.usable('s')[0], { id: 'a~k', stage: 'decode' });
  directory.noteBorn(before, 30, 'decode');
  t.like(directory.usable('s')[0], { id: 'a~k' });
  directory.put(before);
  t.like(directory.usable('s')[0], { id: 'a~k' });
});

test.serial('what an older copy of the store lists does not go before what is known', (t) => {
  // Requests would go to servers that end. The store has lost that one said it leaves, that another is gone, and that a
  // third changed; each counts again by an entry that it has written later.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const directory = createServerDirectory();
    const entry = (id: string, entryNumber: number, over: Partial<BackendServer> = {}) =>
      server(id, { entryNumber, ...over });
    directory.replaceAll([entry('leaves', 5), entry('gone', 5), entry('changed', 5)]);
    directory.put(entry('leaves', 9, { isDraining: true }));
    directory.remove('gone');
    directory.put(entry('changed', 9, { slots: 8 }));
    directory.noteOlderCopy();
    directory.replaceAll([entry('leaves', 5), entry('gone', 5), entry('changed', 6)]);
    t.deepEqual(idsOf(directory.usable('s')), ['changed']);
    t.is(directory.get('changed')?.slots, 8);
    directory.put(entry('leaves', 9));
    t.deepEqual(idsOf(directory.usable('s')), ['changed']);
    directory.put(entry('gone', 10));
    directory.put(entry('leaves', 10));
    t.deepEqual(idsOf(directory.usable('s')).sort(), ['changed', 'gone', 'leaves']);
    clock.tick(11_000);
    directory.replaceAll([entry('changed', 2)]);
    t.is(directory.get('changed')?.slots, 4);
  } finally {
    clock.uninstall();
  }
});

test.serial('a server whose entry could not be read has not said that it leaves', (t) => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const directory = createServerDirectory();
    directory.replaceAll([server('a', { entryNumber: 5 })]);
    directory.withdraw('a');
    directory.noteOlderCopy();
    directory.replaceAll([server('a', { entryNumber: 5 })]);
    t.deepEqual(idsOf(directory.usable('s')), ['a']);
  } finally {
    clock.uninstall();
  }
});
