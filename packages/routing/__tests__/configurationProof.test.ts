import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { decodeProofMessage, storePosition } from '@bluebellhitch/protocol';
import { createConfigurationProof, type ConfigurationProof } from '@bluebellhitch/routing';
import { earlierBy, readClocks } from '@bluebellhitch/shared';

interface Pair {
  clock: Clock;
  /** Looks at the platform itself. */
  follower: ConfigurationProof;
  /** Asks the follower. */
  router: ConfigurationProof;
  /** Datagrams on their way, to be delivered by the test. */
  toFollower: Buffer[];
  toRouter: Buffer[];
  deliver(): void;
}

interface PairOptions {
  follower?: number;
  router?: number;
  /** It has started at the same moment as the router; otherwise it has been there for long. */
  isFollowerNew?: boolean;
}

const longBeforeMs = 5_000;

/** Two routers, by the versions of their configurations; what they send waits until the test delivers it. */
function withPair(
  revisions: { follower: number; router: number },
  check: (pair: Pair) => void,
  { isFollowerNew = false, ...versions }: PairOptions = {},
) {
  const clock = FakeTimers.install({ now: 1e12, toFake: ['setTimeout', 'Date', 'performance'] });
  const toFollower: Buffer[] = [];
  const toRouter: Buffer[] = [];
  const make = (
    address: string,
    others: Buffer[],
    witnesses: string[],
    { revision, version }: { revision: number; version: number },
  ) => {
    const proof = createConfigurationProof({
      channel: () => ({
        address,
        async send(bytes) {
          others.push(bytes);
        },
      }),
      isNeeded: () => true,
      witnesses: () => witnesses,
      seenRevision: () => revision,
      onRevisionElsewhere: () => undefined,
    });
    proof.noteConfiguration(version);
    return proof;
  };
  const follower = make('10.0.0.1:7000', toRouter, [], {
    ...{ revision: revisions.follower, version: versions.follower ?? 1 },
  });
  if (!isFollowerNew) {
    follower.ask();
    clock.tick(longBeforeMs);
  }
  const router = make('10.0.0.2:7000', toFollower, ['10.0.0.1:7000'], {
    ...{ revision: revisions.router, version: versions.router ?? 1 },
  });
  const pass = (bytes: Buffer[], to: ConfigurationProof) =>
    bytes.splice(0).forEach((one) => {
      const message = decodeProofMessage(one);
      if (message !== undefined) {
        to.receive(message);
      }
    });
  const deliver = () => {
    pass(toFollower, follower);
    pass(toRouter, router);
  };
  try {
    check({ clock, follower, router, toFollower, toRouter, deliver });
  } finally {
    clock.uninstall();
  }
}

const same = { follower: 5, router: 5 };

test('nothing is proved before a call or a word of another', (t) => {
  withPair(same, ({ router, follower, deliver }) => {
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
    t.is(follower.ageMs(), Infinity);
  });
});

test('a call proves from its beginning, however late its answer is read', (t) => {
  withPair(same, ({ clock, follower }) => {
    const begun = readClocks();
    clock.tick(3_000);
    follower.noteProved(begun, 1);
    t.is(follower.ageMs(), 3_000);
  });
});

test('another’s word counts from the question, however long the answer was on its way', (t) => {
  // A key that was taken away would open at a router that stood still with an answer in its buffer. The router asks,
  // is answered at once, and reads the answer 4 s later.
  withPair(same, ({ clock, follower, router, deliver }) => {
    follower.noteProved(earlierBy(readClocks(), 700), 1);
    router.ask();
    clock.tick(4_000);
    deliver();
    t.true(router.ageMs() >= 4_700);
  });
});

test('a word that no question asked for, or that comes twice as another’s, proves nothing', (t) => {
  withPair(same, ({ router }) => {
    router.receive({ kind: 'answer', number: 1, revision: 5, ageMs: 0 });
    t.is(router.ageMs(), Infinity);
  });
});

test('one that has seen more proves nothing for what is known here', (t) => {
  withPair({ follower: 6, router: 5 }, ({ follower, router, deliver }) => {
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
  });
});

test('a router passes on no proof but its own', (t) => {
  // Two routers that are cut off from the platform would keep each other fresh for ever.
  withPair(same, ({ clock, follower, router, toRouter, deliver }) => {
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.true(router.ageMs() < 100);
    clock.tick(200);
    router.receive({ kind: 'question', senderAddress: '10.0.0.3:7000', number: 9 });
    t.is(toRouter.length, 0);
  });
});

test('a step of the time of day, or a suspension of the machine, undoes the proof', (t) => {
  withPair(same, ({ clock, follower }) => {
    follower.noteProved(readClocks(), 1);
    clock.setSystemTime(Date.now() + 6_000);
    t.is(follower.ageMs(), Infinity);
    follower.noteProved(readClocks(), 1);
    t.is(follower.ageMs(), 0);
  });
});

test('a configuration that cannot be used proves nothing until the next', (t) => {
  withPair(same, ({ follower, router, deliver }) => {
    follower.noteUnusable(true);
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.is(follower.ageMs(), Infinity);
    t.is(router.ageMs(), Infinity);
    follower.noteUnusable(false);
    t.is(follower.ageMs(), 0);
  });
});

const laterEra = { follower: storePosition(1, 3), router: storePosition(1, 3) };

test('a call that shows an older configuration than the one in force proves nothing', (t) => {
  // The store is back from a copy that still has a key that was taken away.
  withPair(same, ({ follower }) => {
    follower.noteProved(readClocks(), 0);
    t.is(follower.ageMs(), Infinity);
    follower.noteProved(readClocks(), 1);
    t.is(follower.ageMs(), 0);
  });
});

test('a router that has started since the store came back learns that it has an older configuration', (t) => {
  // It knows the copy only, and a key that it shows may have been taken away. The router that it asks knows better, and
  // has no proof of its own in this era.
  withPair(
    laterEra,
    ({ clock, router, deliver }) => {
      router.noteProved(readClocks(), 1);
      t.is(router.ageMs(), Infinity, 'others have had no time to tell');
      router.ask();
      deliver();
      t.is(router.ageMs(), Infinity);
      clock.tick(2_000);
      t.is(router.ageMs(), Infinity);
    },
    { follower: 2, router: 1 },
  );
  withPair(laterEra, ({ router, deliver }) => {
    router.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.is(router.ageMs(), 0);
  });
});

test('routers that have both started since the store came back do not confirm its copy to each other', (t) => {
  // Both gave 401 for keys in force for up to 0.9 s: all routers had restarted while the store was away, each knew its copy
  // only, and took the other's word that it had nothing newer for that of one that had been there before.
  withPair(
    laterEra,
    ({ clock, follower, router, deliver }) => {
      [follower, router].forEach((one) => one.noteProved(readClocks(), 1));
      router.ask();
      deliver();
      t.is(router.ageMs(), Infinity);
      t.is(follower.ageMs(), Infinity);
      // Nobody who knew better has been heard: there may be nobody.
      clock.tick(1_600);
      t.is(router.ageMs(), 1_600);
    },
    { isFollowerNew: true },
  );
});

test('a router that has heard of a newer configuration is no witness for the copy that it has itself', (t) => {
  // 401 for keys in force, on a busy machine: two routers had just started, and one of them had heard from a third, which was
  // about to stop, of configuration 12. It answered the other, with configuration 1, before that one had heard the third.
  const clock = FakeTimers.install({ now: 1e12, toFake: ['setTimeout', 'Date', 'performance'] });
  try {
    const sent: { bytes: Buffer; to: readonly string[] }[] = [];
    const make = (address: string, witnesses: string[], version: number) => {
      const proof = createConfigurationProof({
        channel: () => ({
          address,
          async send(bytes, to) {
            sent.push({ bytes, to });
          },
        }),
        isNeeded: () => true,
        witnesses: () => witnesses,
        seenRevision: () => laterEra.router,
        onRevisionElsewhere: () => undefined,
      });
      proof.noteConfiguration(version);
      return proof;
    };
    const stopping = make('10.0.0.1:7000', [], 12);
    stopping.ask();
    clock.tick(longBeforeMs);
    const between = make('10.0.0.2:7000', ['10.0.0.1:7000'], 1);
    const last = make('10.0.0.3:7000', ['10.0.0.2:7000'], 1);
    const routers = new Map([
      ['10.0.0.1:7000', stopping],
      ['10.0.0.2:7000', between],
      ['10.0.0.3:7000', last],
    ]);
    const deliverAll = () =>
      sent.splice(0).forEach(({ bytes, to }) => {
        const message = decodeProofMessage(bytes);
        to.forEach((address) => message && routers.get(address)?.receive(message));
      });
    [between, last].forEach((one) => one.noteProved(readClocks(), 1));
    between.ask();
    deliverAll();
    deliverAll();
    t.is(between.ageMs(), Infinity);
    clock.tick(200);
    last.ask();
    deliverAll();
    deliverAll();
    t.is(last.ageMs(), Infinity);
  } finally {
    clock.uninstall();
  }
});

test('what was proved before the store came back is no proof for others', (t) => {
  withPair(laterEra, ({ follower, router, deliver }) => {
    follower.noteProved(readClocks(), 1);
    follower.noteEraRisen();
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
    follower.noteProved(readClocks(), 1);
  });
});

test('a router that is still in an earlier era, or has an older configuration, proves nothing to others', (t) => {
  const positions = { follower: storePosition(0, 9), router: storePosition(1, 3) };
  withPair(positions, ({ follower, router, deliver }) => {
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
  });
  withPair(
    laterEra,
    ({ follower, router, deliver }) => {
      follower.noteProved(readClocks(), 1);
      router.ask();
      deliver();
      t.is(router.ageMs(), Infinity);
    },
    { follower: 1, router: 2 },
  );
});

test('a router that had no store for long asks others before it believes the copy', (t) => {
  // It gave 401 for keys in force, for half a second: it started while the store was away, and when that came back from a
  // copy 9.7 s old, the time to listen to others was over before it had asked anybody. In its log: configuration 4 in
  // force at 45.06 s, 21 at 45.50 s, and between them 401 for keys of version 15.
  withPair(
    laterEra,
    ({ clock, router, deliver }) => {
      clock.tick(5_000);
      router.noteProved(readClocks(), 1);
      t.is(router.ageMs(), Infinity);
      clock.tick(100);
      deliver();
      t.is(router.ageMs(), Infinity);
      clock.tick(5_000);
      t.is(router.ageMs(), Infinity);
    },
    { follower: 2, router: 1 },
  );
});

test('a newer configuration elsewhere leaves what was proved before it', (t) => {
  // Keys would be refused with each change, for as long as a large configuration is on its way.
  withPair(
    same,
    ({ clock, follower, router, deliver }) => {
      router.noteProved(readClocks(), 1);
      deliver();
      clock.tick(300);
      follower.noteConfiguration(2);
      router.ask();
      deliver();
      t.is(router.ageMs(), 300);
      router.noteProved(readClocks(), 1);
      t.is(router.ageMs(), 300, 'a call that does not show it proves nothing');
      router.noteConfiguration(2);
      router.noteProved(readClocks(), 2);
      t.is(router.ageMs(), 0);
    },
    { follower: 1, router: 1 },
  );
});

test('a call that began after another router knew better was answered from an older copy', (t) => {
  withPair(
    laterEra,
    ({ clock, router, deliver }) => {
      clock.tick(300);
      router.noteProved(readClocks(), 1);
      clock.tick(100);
      router.ask();
      deliver();
      t.is(router.ageMs(), Infinity);
    },
    { follower: 2, router: 1 },
  );
});
