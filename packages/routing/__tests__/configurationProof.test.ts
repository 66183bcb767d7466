import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { decodeProofMessage, storePosition } from '@bluebellhitch/protocol';
import { createConfigurationProof, type ConfigurationProof } from '@bluebellhitch/routing';
import { earlierBy, readClocks } from '@bluebellhitch/shared';

interface Pair {
  clock: Clock;
  /** Calls the platform itself. */
  follower: ConfigurationProof;
  /** Asks the follower. */
  router: ConfigurationProof;
  /** Sent datagrams that the test has yet to deliver. */
  toFollower: Buffer[];
  toRouter: Buffer[];
  deliver(): void;
}

interface PairOptions {
  follower?: number;
  router?: number;
  /** Whether it starts at the same time as the router; by default it has been running for `establishedMs`. */
  isFollowerNew?: boolean;
}

const establishedMs = 5_000;

/** Creates two routers with these revisions and configuration versions; the test delivers their datagrams. */
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
    proofSources: string[],
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
      proofSources: () => proofSources,
      seenRevision: () => revision,
      onPeerRevision: () => undefined,
    });
    proof.noteConfiguration(version);
    return proof;
  };
  const follower = make('10.0.0.1:7000', toRouter, [], {
    ...{ revision: revisions.follower, version: versions.follower ?? 1 },
  });
  if (!isFollowerNew) {
    follower.ask();
    clock.tick(establishedMs);
  }
  const router = make('10.0.0.2:7000', toFollower, ['10.0.0.1:7000'], {
    ...{ revision: revisions.router, version: versions.router ?? 1 },
  });
  const deliverTo = (bytes: Buffer[], to: ConfigurationProof) =>
    bytes.splice(0).forEach((one) => {
      const message = decodeProofMessage(one);
      if (message !== undefined) {
        to.receive(message);
      }
    });
  const deliver = () => {
    deliverTo(toFollower, follower);
    deliverTo(toRouter, router);
  };
  try {
    check({ clock, follower, router, toFollower, toRouter, deliver });
  } finally {
    clock.uninstall();
  }
}

const sameRevisions = { follower: 5, router: 5 };

test('there is no proof before a call to the platform or an answer from another router', (t) => {
  withPair(sameRevisions, ({ router, follower, deliver }) => {
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
    t.is(follower.ageMs(), Infinity);
  });
});

test('a proof counts from the start of the call, however late its response is read', (t) => {
  withPair(sameRevisions, ({ clock, follower }) => {
    const startedAt = readClocks();
    clock.tick(3_000);
    follower.noteProved(startedAt, 1);
    t.is(follower.ageMs(), 3_000);
  });
});

test('a proof from another router counts from the question, however long the answer was in transit', (t) => {
  // Otherwise a revoked key is accepted by a router that was suspended with an answer in its buffer: it asks, is
  // answered at once, and reads the answer 4 s later.
  withPair(sameRevisions, ({ clock, follower, router, deliver }) => {
    follower.noteProved(earlierBy(readClocks(), 700), 1);
    router.ask();
    clock.tick(4_000);
    deliver();
    t.true(router.ageMs() >= 4_700);
  });
});

test('an answer without a matching question proves nothing', (t) => {
  withPair(sameRevisions, ({ router }) => {
    router.receive({ kind: 'answer', number: 1, revision: 5, ageMs: 0 });
    t.is(router.ageMs(), Infinity);
  });
});

test('an answer with a newer revision proves nothing about the revision known here', (t) => {
  withPair({ follower: 6, router: 5 }, ({ follower, router, deliver }) => {
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
  });
});

test('a router passes on only proofs from its own calls', (t) => {
  // Otherwise two routers partitioned from the platform renew each other's proofs indefinitely.
  withPair(sameRevisions, ({ clock, follower, router, toRouter, deliver }) => {
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.true(router.ageMs() < 100);
    clock.tick(200);
    router.receive({ kind: 'question', senderAddress: '10.0.0.3:7000', number: 9 });
    t.is(toRouter.length, 0);
  });
});

test('a step of the system clock, or a suspension of the machine, invalidates the proof', (t) => {
  withPair(sameRevisions, ({ clock, follower }) => {
    follower.noteProved(readClocks(), 1);
    clock.setSystemTime(Date.now() + 6_000);
    t.is(follower.ageMs(), Infinity);
    follower.noteProved(readClocks(), 1);
    t.is(follower.ageMs(), 0);
  });
});

test('an unusable configuration proves nothing until the next usable one', (t) => {
  withPair(sameRevisions, ({ follower, router, deliver }) => {
    follower.setUnusable(true);
    follower.noteProved(readClocks(), 1);
    router.ask();
    deliver();
    t.is(follower.ageMs(), Infinity);
    t.is(router.ageMs(), Infinity);
    follower.setUnusable(false);
    t.is(follower.ageMs(), 0);
  });
});

const laterEra = { follower: storePosition(1, 3), router: storePosition(1, 3) };

test('a call that returns an older configuration than the one in force proves nothing', (t) => {
  // The store was restored from a backup that still contains a revoked key.
  withPair(sameRevisions, ({ follower }) => {
    follower.noteProved(readClocks(), 0);
    t.is(follower.ageMs(), Infinity);
    follower.noteProved(readClocks(), 1);
    t.is(follower.ageMs(), 0);
  });
});

test('a router that has started since the store was restored learns that its configuration is older', (t) => {
  // It knows only the backup's configuration, whose keys may have been revoked. The router that it asks has a newer
  // one, but no proof of its own in this era.
  withPair(
    laterEra,
    ({ clock, router, deliver }) => {
      router.noteProved(readClocks(), 1);
      t.is(router.ageMs(), Infinity, 'others have had no time to answer');
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

test('routers that have both started since the restore do not confirm the backup to each other', (t) => {
  // Both answered 401 to valid keys for up to 0.9 s: all routers had restarted during the outage of the store, each
  // knew only the backup, and each took the other for a router that had been running before.
  withPair(
    laterEra,
    ({ clock, follower, router, deliver }) => {
      [follower, router].forEach((one) => one.noteProved(readClocks(), 1));
      router.ask();
      deliver();
      t.is(router.ageMs(), Infinity);
      t.is(follower.ageMs(), Infinity);
      // No router with a newer configuration has answered in time: there may be none.
      clock.tick(1_600);
      t.is(router.ageMs(), 1_600);
    },
    { isFollowerNew: true },
  );
});

test('a router that knows of a newer configuration does not confirm the backup that it has itself', (t) => {
  // Valid keys got 401 on a busy machine: two routers had just started, and one of them had learned of configuration
  // 12 from a third, which was about to stop. It answered the other with configuration 1, before the other had an
  // answer from the third.
  const clock = FakeTimers.install({ now: 1e12, toFake: ['setTimeout', 'Date', 'performance'] });
  try {
    const sent: { bytes: Buffer; to: readonly string[] }[] = [];
    const make = (address: string, proofSources: string[], version: number) => {
      const proof = createConfigurationProof({
        channel: () => ({
          address,
          async send(bytes, to) {
            sent.push({ bytes, to });
          },
        }),
        isNeeded: () => true,
        proofSources: () => proofSources,
        seenRevision: () => laterEra.router,
        onPeerRevision: () => undefined,
      });
      proof.noteConfiguration(version);
      return proof;
    };
    const stopping = make('10.0.0.1:7000', [], 12);
    stopping.ask();
    clock.tick(establishedMs);
    const middle = make('10.0.0.2:7000', ['10.0.0.1:7000'], 1);
    const last = make('10.0.0.3:7000', ['10.0.0.2:7000'], 1);
    const routers = new Map([
      ['10.0.0.1:7000', stopping],
      ['10.0.0.2:7000', middle],
      ['10.0.0.3:7000', last],
    ]);
    const deliverAll = () =>
      sent.splice(0).forEach(({ bytes, to }) => {
        const message = decodeProofMessage(bytes);
        to.forEach((address) => message && routers.get(address)?.receive(message));
      });
    [middle, last].forEach((one) => one.noteProved(readClocks(), 1));
    middle.ask();
    deliverAll();
    deliverAll();
    t.is(middle.ageMs(), Infinity);
    clock.tick(200);
    last.ask();
    deliverAll();
    deliverAll();
    t.is(last.ageMs(), Infinity);
  } finally {
    clock.uninstall();
  }
});

test('a proof from before the store was restored is not passed on', (t) => {
  withPair(laterEra, ({ follower, router, deliver }) => {
    follower.noteProved(readClocks(), 1);
    follower.noteEraChanged();
    router.ask();
    deliver();
    t.is(router.ageMs(), Infinity);
    follower.noteProved(readClocks(), 1);
  });
});

test('after a restore versions may be missing for ten seconds, whatever is written meanwhile', (t) => {
  // Callers with a key of such a version would otherwise get a final refusal; without a bound, no other caller would.
  withPair(laterEra, ({ follower, router, clock }) => {
    t.false(follower.mayLackVersions());
    [follower, router].forEach((proof) => proof.noteEraChanged());
    clock.tick(5_000);
    router.noteConfiguration(9);
    clock.tick(4_999);
    t.true(follower.mayLackVersions());
    t.true(router.mayLackVersions());
    clock.tick(1);
    t.false(follower.mayLackVersions());
    t.false(router.mayLackVersions());
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

test('a router that waited long for the store asks others before it relies on the backup', (t) => {
  // It answered 401 to valid keys for half a second. It had started during an outage of the store; when the store was
  // restored from a backup 9.7 s old, the time to wait for answers was over before it had asked any router. Its log
  // showed configuration 4 in force at 45.06 s, 21 at 45.50 s, and between them 401 for keys of version 15.
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

test('a newer configuration elsewhere does not invalidate proofs from before it', (t) => {
  // Otherwise every change causes keys to be refused for as long as a large configuration is in transit.
  withPair(
    sameRevisions,
    ({ clock, follower, router, deliver }) => {
      router.noteProved(readClocks(), 1);
      deliver();
      clock.tick(300);
      follower.noteConfiguration(2);
      router.ask();
      deliver();
      t.is(router.ageMs(), 300);
      router.noteProved(readClocks(), 1);
      t.is(router.ageMs(), 300, 'a call that does not return it proves nothing');
      router.noteConfiguration(2);
      router.noteProved(readClocks(), 2);
      t.is(router.ageMs(), 0);
    },
    { follower: 1, router: 1 },
  );
});

test('a call that started after another router had a newer version was answered from a backup', (t) => {
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
