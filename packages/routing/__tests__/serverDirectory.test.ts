import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import {
  createServerDirectory,
  serverIdOf,
  type BackendServer,
  type ServerChange,
} from '@bluebellhitch/routing';
import { listedServer as server } from './support/listedServer';

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

test('draining and removed servers are not usable', (t) => {
  const directory = createServerDirectory();
  directory.replaceAll([server('a'), server('b'), server('c', { serviceName: 'other' })]);
  directory.put(server('a', { isDraining: true }));
  t.deepEqual(idsOf(directory.usable('s')), ['b']);
  directory.remove('b');
  t.deepEqual(idsOf(directory.usable('s')), []);
  t.deepEqual(idsOf(directory.all()), ['a', 'c']);
});

test.serial('entries that expired in an outage are kept for a grace period after it', (t) => {
  // Otherwise every request is refused although all servers are running: their entries expired while the store was
  // unavailable, and its first list after the recovery is empty.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const directory = createServerDirectory({ expiryGraceMs: 2_000 });
    directory.replaceAll([server('a'), server('b')]);
    directory.storeLost();
    clock.tick(30_000);
    directory.storeRecovered();
    directory.replaceAll([]);
    t.deepEqual(idsOf(directory.usable('s')), ['a', 'b']);
    clock.tick(1_000);
    directory.put(server('a'));
    directory.confirm('a');
    clock.tick(1_001);
    t.deepEqual(idsOf(directory.usable('s')), ['a']);
    directory.remove('a');
    t.deepEqual(idsOf(directory.usable('s')), []);
  } finally {
    clock.uninstall();
  }
});

test.serial('a draining server is not kept through an outage', (t) => {
  const directory = createServerDirectory();
  directory.put(server('a', { isDraining: true }));
  directory.storeLost();
  directory.remove('a');
  t.deepEqual(directory.all(), []);
});

test.serial('a leaving notice outlasts the server’s entries and ends with its incarnation', (t) => {
  // The store is late or unavailable: it lists the server as ready, loses its entry, lists it again, and is restored
  // from a backup. None of this revokes the notice. It does not apply to a later incarnation under the same name.
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
  directory.replaceAll([entry({ entryNumber: 2 })]);
  t.false(isUsable());
  directory.remove('a');
  t.is(directory.size(), 0);
  directory.put(entry({ entryNumber: 6 }));
  t.is(directory.size(), 1);
  t.false(isUsable());
  directory.noteStarted(entry(), 2, 'decode');
  t.deepEqual(idsOf(directory.usable('s')), [serverIdOf('a', 2)]);
});

test('a server that announces that it is leaving before it is listed is never used', (t) => {
  const directory = createServerDirectory();
  directory.noteLeaving({ id: 'a' });
  directory.put(server('a'));
  t.deepEqual(directory.usable('s'), []);
  t.true(directory.get('a')?.isDraining);
});

test('a server that restarts under its name counts as a new server', (t) => {
  // It crashes and is registered again within its heartbeat. State of the previous incarnation (memory in use, circuit
  // breakers, prefill results) must not be applied to an engine that starts empty.
  const changes: string[] = [];
  const directory = createServerDirectory({
    onChanged: ({ kind, server: { id } }) => changes.push(`${kind} ${id}`),
  });
  const incarnation = (bornAtMs: number) =>
    server(serverIdOf('a', bornAtMs), { name: 'a', bornAtMs, slots: bornAtMs });
  directory.put(incarnation(10));
  directory.put(incarnation(20));
  t.deepEqual(changes, ['added a~a', 'removed a~a', 'added a~k']);
  t.is(directory.get('a~a'), undefined);
  t.deepEqual(idsOf(directory.usable('s')), ['a~k']);
});

test('entries of a past incarnation are ignored, whether the server is listed or removed', (t) => {
  // Otherwise an entry from before a restart that arrives after it directs requests to the past incarnation.
  const directory = createServerDirectory();
  const incarnation = (bornAtMs: number) =>
    server(serverIdOf('a', bornAtMs), { name: 'a', bornAtMs });
  directory.put(incarnation(20));
  directory.put(incarnation(10));
  t.deepEqual(idsOf(directory.all()), ['a~k']);
  directory.replaceAll([incarnation(10)]);
  t.deepEqual(idsOf(directory.all()), ['a~k']);
  directory.remove('a');
  directory.put(incarnation(10));
  t.deepEqual(directory.all(), []);
  directory.put(incarnation(30));
  t.deepEqual(idsOf(directory.usable('s')), ['a~u']);
});

test('a server whose entry becomes unreadable gets no new requests until it is readable again', (t) => {
  // The entry was overwritten by someone else, so its address can no longer be trusted. Requests in progress continue,
  // so the server is still known.
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

test('an entry that lacks the start time of earlier entries is not the server’s own', (t) => {
  const directory = createServerDirectory();
  directory.put(server('a~a', { name: 'a', bornAtMs: 10 }));
  directory.put(server('a', { address: '10.9.9.9:1' }));
  t.deepEqual(directory.usable('s'), []);
});

test('a load report may reveal a restart before the entry does', (t) => {
  const directory = createServerDirectory();
  const before = server('a~a', { name: 'a', bornAtMs: 10, stage: 'prefill' });
  directory.put(before);
  directory.noteStarted(before, 20, 'decode');
  t.like(directory.usable('s')[0], { id: 'a~k', stage: 'decode' });
  directory.noteStarted(before, 30, 'decode');
  t.like(directory.usable('s')[0], { id: 'a~k' });
  directory.put(before);
  t.like(directory.usable('s')[0], { id: 'a~k' });
});

const entryOf = (id: string, entryNumber: number, over: Partial<BackendServer> = {}) =>
  server(id, { entryNumber, ...over });

test('the list of a restored backup does not replace newer known state', (t) => {
  // Otherwise requests are sent to servers that are stopping. The store has lost that one server announced its leaving,
  // that another was removed, and that a third changed. Only the second may still be in service.
  const directory = createServerDirectory();
  const backup = [entryOf('leaves', 5), entryOf('gone', 5), entryOf('changed', 5)];
  directory.replaceAll(backup);
  directory.put(entryOf('leaves', 9, { isDraining: true }));
  directory.remove('gone');
  directory.put(entryOf('changed', 9, { slots: 8 }));
  directory.replaceAll(backup);
  t.deepEqual(idsOf(directory.usable('s')), ['changed']);
  t.is(directory.get('changed')?.slots, 8);
  directory.put(entryOf('leaves', 9));
  directory.put(entryOf('gone', 10));
  directory.put(entryOf('leaves', 10));
  t.deepEqual(idsOf(directory.usable('s')), ['changed']);
  directory.confirm('gone');
  directory.confirm('leaves');
  t.deepEqual(idsOf(directory.usable('s')).sort(), ['changed', 'gone']);
});

test('no entry revokes that an incarnation is leaving', (t) => {
  // Requests reach a server that exits: an entry that it wrote before it announced its leaving arrives after it.
  const directory = createServerDirectory();
  directory.replaceAll([entryOf('a', 5)]);
  directory.put(entryOf('a', 7, { isDraining: true }));
  [6, 7, 8].forEach((number) => directory.put(entryOf('a', number)));
  directory.replaceAll([entryOf('a', 9)]);
  t.deepEqual(directory.usable('s'), []);
  directory.remove('a');
  directory.put(entryOf('a', 10));
  directory.confirm('a');
  t.deepEqual(directory.usable('s'), []);
});

test('an announcement of leaving counts although a later entry has arrived before it', (t) => {
  const directory = createServerDirectory();
  directory.replaceAll([entryOf('a', 6)]);
  directory.put(entryOf('a', 5, { isDraining: true }));
  t.deepEqual(directory.usable('s'), []);
});

test('a late entry does not replace what a later one says', (t) => {
  // Requests for one stage would be sent to an engine that has changed to the other.
  const directory = createServerDirectory();
  directory.replaceAll([entryOf('a', 6, { stage: 'decode' })]);
  directory.put(entryOf('a', 5, { stage: 'prefill' }));
  t.is(directory.get('a')?.stage, 'decode');
});

test('an incarnation that returns after its removal gets requests once it is confirmed', (t) => {
  // It may have left: a write that it sent before may be executed after the removal of its entry.
  const changes: ServerChange[] = [];
  const directory = createServerDirectory({ onChanged: (change) => changes.push(change) });
  directory.put(entryOf('a', 1));
  directory.put(entryOf('a', 5, { slots: 8 }));
  directory.remove('a');
  directory.put(entryOf('a', 9));
  t.deepEqual(directory.usable('s'), []);
  t.like(directory.unconfirmed('a'), { knownNumber: 5, returnedNumber: 9 });
  t.like(changes.at(-1), { kind: 'added', known: 'removed', knownNumber: 5, isUnconfirmed: true });
  directory.confirm('a');
  t.like(changes.at(-1), { kind: 'confirmed', known: 'removed', knownNumber: 9 });
  t.deepEqual(idsOf(directory.usable('s')), ['a']);
  t.is(directory.unconfirmed('a'), undefined);
  directory.put(entryOf('a', 10));
  t.deepEqual(idsOf(directory.usable('s')), ['a']);
});

test('an incarnation of which this router first sees a later entry is unconfirmed, unless it is listed', (t) => {
  // It may have left before this router started.
  const directory = createServerDirectory();
  directory.replaceAll([entryOf('listed', 7)]);
  directory.put(entryOf('started', 1));
  directory.put(entryOf('returned', 7));
  t.deepEqual(idsOf(directory.usable('s')), ['listed', 'started']);
});

test('an unconfirmed server whose entry is unreadable does not get requests by being confirmed', (t) => {
  const directory = createServerDirectory();
  directory.put(entryOf('a', 7));
  directory.withdraw('a');
  directory.confirm('a');
  t.deepEqual(directory.usable('s'), []);
  directory.put(entryOf('a', 8));
  t.deepEqual(idsOf(directory.usable('s')), ['a']);
});

test('an unconfirmed server that announces its leaving is not confirmed any more', (t) => {
  const directory = createServerDirectory();
  directory.put(entryOf('a', 7));
  directory.noteLeaving({ id: 'a' });
  directory.put(entryOf('b', 7));
  directory.put(entryOf('b', 8, { isDraining: true }));
  ['a', 'b'].forEach((id) => directory.confirm(id));
  t.deepEqual(directory.usable('s'), []);
  t.is(directory.unconfirmed('b'), undefined);
});

const withClock = (run: (clock: Clock) => void) => {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    run(clock);
  } finally {
    clock.uninstall();
  }
};

test.serial(
  'a removal after an outage is in force within the bound that counts from its end',
  (t) => {
    // The router keeps sending to a server that has left while it is in touch again: the outage has ended up to a second
    // before its first response.
    withClock((clock) => {
      const directory = createServerDirectory({ expiryGraceMs: 2_250, contactMs: 3_000 });
      directory.replaceAll([server('a')]);
      directory.storeLost();
      clock.tick(10_000);
      directory.storeRecovered(0, 1_200);
      directory.replaceAll([]);
      clock.tick(1_500);
      t.deepEqual(idsOf(directory.usable('s')), ['a']);
      clock.tick(300);
      t.deepEqual(directory.all(), []);
    });
  },
);

test.serial(
  'a removal received in an outage is in force within the bound that counts from its end',
  (t) => {
    // Of two calls that fail, one may end after the store has answered the other.
    withClock((clock) => {
      const directory = createServerDirectory({ expiryGraceMs: 2_250, contactMs: 3_000 });
      directory.replaceAll([server('a')]);
      directory.storeLost();
      directory.remove('a');
      clock.tick(500);
      directory.storeRecovered(0, 2_000);
      clock.tick(801);
      t.deepEqual(directory.all(), []);
    });
  },
);

test.serial('a removal received while calls failed is in force once there was no outage', (t) => {
  // A peer relays the removal while the calls of this router fail, which are answered a moment later.
  withClock((clock) => {
    const directory = createServerDirectory({ expiryGraceMs: 2_250 });
    directory.replaceAll([server('a'), server('b')]);
    directory.storeLost();
    directory.remove('a');
    t.deepEqual(idsOf(directory.usable('s')), ['a', 'b']);
    directory.storeAnswered();
    clock.tick(1);
    t.deepEqual(idsOf(directory.all()), ['b']);
    directory.remove('b');
    t.deepEqual(directory.all(), []);
  });
});

test.serial('failed calls do not end the delay after an outage', (t) => {
  // A watch may be cut off just after an outage, while entries that expired in it are still missing.
  withClock((clock) => {
    const directory = createServerDirectory({ expiryGraceMs: 2_250, contactMs: 3_000 });
    directory.replaceAll([server('a')]);
    directory.storeLost();
    clock.tick(10_000);
    directory.storeRecovered(0, 200);
    directory.replaceAll([]);
    directory.storeLost();
    directory.storeAnswered();
    clock.tick(2_200);
    t.deepEqual(idsOf(directory.usable('s')), ['a']);
    clock.tick(100);
    t.deepEqual(directory.all(), []);
  });
});

test.serial(
  'a removal after the first answer of the store is in force within the drain time',
  (t) => {
    // A process that starts while the store is in service kept removed servers for longer than that.
    withClock((clock) => {
      const directory = createServerDirectory({ expiryGraceMs: 2_250, drainMs: 2_000 });
      directory.storeFound();
      directory.replaceAll([server('a')]);
      directory.remove('a');
      clock.tick(1_000);
      directory.storeFound();
      t.deepEqual(idsOf(directory.usable('s')), ['a']);
      clock.tick(801);
      t.deepEqual(directory.all(), []);
    });
  },
);

test.serial(
  'an entry that returns while its removal is delayed keeps a server in use only if confirmed',
  (t) => {
    // A late entry of a server that left in an outage would end the delay of its removal, and keep the server in use until
    // that entry expires.
    withClock((clock) => {
      const directory = createServerDirectory({ expiryGraceMs: 2_000 });
      directory.replaceAll([entryOf('left', 5), entryOf('back', 5)]);
      directory.storeLost();
      directory.storeRecovered();
      directory.replaceAll([]);
      clock.tick(1_000);
      directory.put(entryOf('left', 6));
      directory.put(entryOf('back', 6));
      directory.put(entryOf('left', 7));
      t.deepEqual(idsOf(directory.usable('s')), ['left', 'back']);
      t.like(directory.unconfirmed('left'), { knownNumber: 5, returnedNumber: 6 });
      directory.confirm('back');
      clock.tick(1_001);
      t.deepEqual(idsOf(directory.usable('s')), ['back']);
      directory.confirm('left');
      t.deepEqual(idsOf(directory.usable('s')), ['left', 'back']);
    });
  },
);

test.serial(
  'a late entry that arrives while the removal is delayed does not hide that the server writes on',
  (t) => {
    // What a server writes next changes nothing but the number, which no watch shows: were the late entry ignored, the
    // server would be removed, and not be seen again.
    withClock((clock) => {
      const directory = createServerDirectory({ expiryGraceMs: 2_000 });
      directory.replaceAll([entryOf('a', 5)]);
      directory.storeRecovered();
      directory.remove('a');
      directory.put(entryOf('a', 4));
      t.like(directory.unconfirmed('a'), { knownNumber: 5, returnedNumber: 4 });
      clock.tick(2_001);
      t.deepEqual(idsOf(directory.all()), ['a']);
      directory.confirm('a');
      t.deepEqual(idsOf(directory.usable('s')), ['a']);
    });
  },
);

test.serial('a later incarnation that starts while the removal is delayed is used', (t) => {
  // It was kept from requests like an incarnation that may have left.
  withClock((clock) => {
    const directory = createServerDirectory({ expiryGraceMs: 2_000 });
    const incarnation = (bornAtMs: number) =>
      entryOf(serverIdOf('a', bornAtMs), 1, { name: 'a', bornAtMs });
    directory.replaceAll([incarnation(10)]);
    directory.storeRecovered();
    directory.remove('a');
    directory.put(incarnation(20));
    clock.tick(2_001);
    t.deepEqual(idsOf(directory.usable('s')), [serverIdOf('a', 20)]);
  });
});

test('a server whose entry could not be read has not announced that it is leaving', (t) => {
  const directory = createServerDirectory();
  directory.replaceAll([server('a', { entryNumber: 5 })]);
  directory.withdraw('a');
  directory.replaceAll([server('a', { entryNumber: 5 })]);
  t.deepEqual(idsOf(directory.usable('s')), ['a']);
});
