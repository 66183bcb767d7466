/** Entries that the directory does not apply, and what replaces the known one after all. */
import test from 'ava';
import { createServerDirectory, serverIdOf, type BackendServer } from '@bluebellhitch/routing';
import { listedServer as server } from './support/listedServer';

const entryOf = (id: string, entryNumber: number, over: Partial<BackendServer> = {}) =>
  server(id, { entryNumber, ...over });

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

const foreignEntries: {
  name: string;
  foreign: BackendServer;
  own(number: number): BackendServer;
}[] = [
  {
    name: 'a start time where its own state none',
    foreign: entryOf('a~1', 4, { name: 'a', bornAtMs: 1 }),
    own: (number) => entryOf('a', number),
  },
  {
    name: 'a later start time',
    foreign: entryOf('a~k', 4, { name: 'a', bornAtMs: 20 }),
    own: (number) => entryOf('a~a', number, { name: 'a', bornAtMs: 10 }),
  },
  {
    name: 'a higher number',
    foreign: entryOf('a', 1_000, { address: '10.9.9.9:1' }),
    own: (number) => entryOf('a', number),
  },
];
foreignEntries.forEach(({ name, foreign, own }) => {
  test(`a server is confirmed after a foreign entry with ${name} once it has written two more`, (t) => {
    // The foreign entry counted as newer than all that the server wrote, which was ignored for good. A server that has left
    // may look the same if several of its writes are executed late, so its health is asked for.
    const changes: string[] = [];
    const directory = createServerDirectory({ onChanged: ({ kind }) => changes.push(kind) });
    directory.replaceAll([own(3)]);
    directory.put(foreign);
    directory.put(own(5));
    t.true(directory.isIgnoring('a'));
    directory.reviewIgnored(own(6));
    t.false(changes.includes('adopted'));
    directory.reviewIgnored(own(7));
    t.true(changes.includes('adopted'));
    t.false(directory.isIgnoring('a'));
    t.deepEqual(directory.usable('s'), []);
    t.like(directory.unconfirmed(own(7).id), { knownNumber: 5, returnedNumber: 7 });
    directory.confirm(own(7).id);
    t.like(directory.usable('s')[0], own(7));
    directory.put(own(8));
    t.like(directory.usable('s')[0], own(8));
    directory.put({ ...own(9), isDraining: true });
    t.deepEqual(directory.usable('s'), []);
  });

  test(`a foreign entry with ${name} does not hide that the server leaves`, (t) => {
    const directory = createServerDirectory();
    directory.replaceAll([own(3)]);
    directory.put(foreign);
    directory.put({ ...own(5), isDraining: true });
    t.deepEqual(directory.usable('s'), []);
    directory.reviewIgnored({ ...own(6), isDraining: true });
    directory.reviewIgnored({ ...own(7), isDraining: true });
    t.deepEqual(directory.usable('s'), []);
  });
});

test('a late announcement of a past incarnation keeps the server from requests until its next entry', (t) => {
  const directory = createServerDirectory();
  const incarnation = (bornAtMs: number, over: Partial<BackendServer> = {}) =>
    server(serverIdOf('a', bornAtMs), { name: 'a', bornAtMs, ...over });
  directory.put(incarnation(20));
  directory.put(incarnation(10, { isDraining: true }));
  t.deepEqual(directory.usable('s'), []);
  directory.put(incarnation(20));
  t.deepEqual(idsOf(directory.usable('s')), ['a~k']);
});

test('entries are no longer ignored once the server in use writes again, or its entry is removed', (t) => {
  const directory = createServerDirectory();
  directory.replaceAll([entryOf('a', 9)]);
  directory.put(entryOf('a', 5, { slots: 8 }));
  t.true(directory.isIgnoring('a'));
  directory.reviewIgnored(entryOf('a', 10));
  t.false(directory.isIgnoring('a'));
  directory.put(entryOf('a', 6, { slots: 8 }));
  directory.remove('a');
  t.false(directory.isIgnoring('a'));
});

test('an entry that says nothing else than the known one need not be read again', (t) => {
  // A store that was restored from a backup lists earlier entries of all servers.
  const directory = createServerDirectory();
  directory.replaceAll([entryOf('a', 9)]);
  directory.replaceAll([entryOf('a', 5)]);
  t.false(directory.isIgnoring('a'));
});

test('what a server says of its start goes before what an entry says', (t) => {
  // Another writer can leave an entry with a later start time, and then no report of the server was applied.
  const directory = createServerDirectory();
  const foreign = server('a~k', { name: 'a', bornAtMs: 20, stage: 'decode' });
  directory.put(foreign);
  directory.noteStarted(foreign, 10, 'decode');
  t.deepEqual(idsOf(directory.usable('s')), ['a~a']);
  directory.put(server('a~a', { name: 'a', bornAtMs: 10, stage: 'decode', slots: 8 }));
  t.like(directory.usable('s')[0], { id: 'a~a', slots: 8 });
});
