import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';
import { createSeededRandom, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { BackendServer } from '../src/model';
import {
  addressOf,
  createQuarantineFleet,
  identityOf,
  type FleetNetwork,
  type QuarantineFleet,
} from './support/quarantineFleet';

/** Bound within which all routers that are in contact must hold a request back. */
const contactMs = 3_000;
/** From the last crash of the first part of prompts to its first trial. */
const trialPauseMs = 10_000;
const hourMs = 3_600_000;
const request = 'a request that crashes servers';

/** Numbers of routers, and how many random fleets of each are played. */
const fleetSizes = [
  { count: 4, fleets: 60 },
  { count: 24, fleets: 40 },
  { count: 68, fleets: 10 },
  { count: 359, fleets: 2 },
];

type Check = (fleet: QuarantineFleet, clock: Clock) => Promise<void>;

async function withFleet(
  count: number,
  check: Check,
  { network, seed = 1 }: { network?: FleetNetwork; seed?: number } = {},
): Promise<void> {
  const clock = FakeTimers.install();
  const fleet = createQuarantineFleet(count, createSeededRandom(seed), network);
  try {
    await check(fleet, clock);
  } finally {
    fleet.close();
    clock.uninstall();
  }
}

function countHeldBack({ routers, isHeldBack }: QuarantineFleet): number {
  return routers.filter((_router, index) => isHeldBack(index, request)).length;
}

async function crashThree({ crash, routers }: QuarantineFleet, clock: Clock): Promise<void> {
  for (const number of [1, 2, 3]) {
    await crash(number % routers.length, request, `s${number}`);
    await clock.tickAsync(200);
  }
}

test.serial(
  'the third server that crashes under a request puts it into quarantine at all routers',
  (t) =>
    // Callers repeat the request at any router, and each of the three crashes may be noticed by another one.
    withFleet(4, async (fleet, clock) => {
      await fleet.crash(0, request, 's1');
      await fleet.crash(1, request, 's2');
      await clock.tickAsync(50);
      t.is(countHeldBack(fleet), 0);
      await fleet.crash(2, request, 's3');
      t.true(fleet.isHeldBack(2, request));
      await clock.tickAsync(50);
      t.is(countHeldBack(fleet), 4);
      t.false(fleet.isHeldBack(0, 'another request'));
    }),
);

test.serial('a crash counts once, however many routers and requests notice it', (t) =>
  // A server that crashes cuts the calls of all routers, among them several with the same request.
  withFleet(4, async (fleet, clock) => {
    for (const serverId of ['s1', 's1', 's2', 's2', 's2']) {
      for (const router of [0, 1, 2, 3]) {
        await fleet.crash(router, request, serverId);
      }
      await clock.tickAsync(50);
    }
    t.is(countHeldBack(fleet), 0);
  }),
);

test.serial('servers that end together do not put what they all ran into quarantine', (t) =>
  // All servers of a service may lose power at once, while each of them runs a request that many callers send.
  withFleet(4, async (fleet, clock) => {
    for (const router of [0, 1, 2, 3]) {
      await fleet.crash(router, request, `s${router}`, 100 + 20 * router);
      await clock.tickAsync(20);
    }
    await clock.tickAsync(50);
    t.is(countHeldBack(fleet), 0);
    await fleet.crash(0, request, 's4', 30);
    await clock.tickAsync(50);
    t.is(countHeldBack(fleet), 4);
  }),
);

test.serial('a request that completes at any router is cleared at all of them', (t) =>
  // It only shared the servers that crashed with another request.
  withFleet(4, async (fleet, clock) => {
    await fleet.crash(0, request, 's1');
    await fleet.crash(1, request, 's2');
    await clock.tickAsync(50);
    fleet.routers[3]?.noteCompleted(identityOf(request));
    await clock.tickAsync(50);
    await fleet.crash(2, request, 's3');
    await clock.tickAsync(50);
    t.is(countHeldBack(fleet), 0);
    await fleet.crash(2, request, 's4');
    await fleet.crash(2, request, 's5');
    t.true(fleet.isHeldBack(2, request));
    fleet.routers[1]?.noteCompleted(identityOf(request));
    await clock.tickAsync(50);
    t.is(countHeldBack(fleet), 0);
  }),
);

test.serial(
  'after an hour the request may run again, and one further crash renews the quarantine',
  (t) =>
    withFleet(4, async (fleet, clock) => {
      await crashThree(fleet, clock);
      await clock.tickAsync(hourMs - 1_000);
      t.is(countHeldBack(fleet), 4);
      await clock.tickAsync(2_000);
      t.is(countHeldBack(fleet), 0);
      await fleet.crash(0, request, 's4');
      await clock.tickAsync(50);
      t.is(countHeldBack(fleet), 4);
    }),
);

test.serial('a router that has restarted asks the others for what it has forgotten', (t) =>
  withFleet(4, async (fleet, clock) => {
    fleet.meet();
    await crashThree(fleet, clock);
    fleet.restart(2);
    t.false(fleet.isHeldBack(2, request));
    fleet.meet();
    await clock.tickAsync(50);
    t.true(fleet.isHeldBack(2, request));
  }),
);

test.serial('a router that returns after a partition learns what happened meanwhile', (t) => {
  let isCut = true;
  const delaysMs = (from: number, to: number) => (isCut && (from === 0 || to === 0) ? [] : [1]);
  return withFleet(
    4,
    async (fleet, clock) => {
      fleet.meet();
      await crashThree(fleet, clock);
      await clock.tickAsync(contactMs);
      t.false(fleet.isHeldBack(0, request));
      isCut = false;
      fleet.routers.forEach((router, index) =>
        fleet.routers.forEach(
          (_other, other) => other !== index && router.dropPeer(addressOf(other)),
        ),
      );
      fleet.meet();
      await clock.tickAsync(50);
      t.true(fleet.isHeldBack(0, request));
    },
    { network: { delaysMs } },
  );
});

test.serial(
  'a router behind a cut link to another one learns of its crashes from the rest',
  (t) => {
    const delaysMs = (from: number, to: number) => (from === 0 && to === 1 ? [] : [1]);
    return withFleet(
      4,
      async (fleet, clock) => {
        await fleet.crash(0, request, 's1');
        await fleet.crash(0, request, 's2');
        await fleet.crash(0, request, 's3');
        await clock.tickAsync(50);
        t.is(countHeldBack(fleet), 4);
      },
      { network: { delaysMs } },
    );
  },
);

test.serial('messages of senders that are not known as routers are ignored', (t) =>
  withFleet(2, async (fleet) => {
    const crashes = ['s1', 's2', 's3'].map((serverId) => ({
      serverId,
      ageMs: 0,
      durationMs: 0,
      isCleared: false,
    }));
    const requests = [{ fingerprint: request, crashes }];
    fleet.routers[0]?.receive({ senderAddress: '10.9.9.9:7400', isQuestion: false, requests });
    t.false(fleet.isHeldBack(0, request));
    fleet.routers[0]?.receive({ senderAddress: addressOf(1), isQuestion: false, requests });
    t.true(fleet.isHeldBack(0, request));
  }),
);

test.serial('without crashes nothing is sent and no fingerprint is computed', (t) =>
  withFleet(4, async (fleet, clock) => {
    const unused = () => t.fail('computed a fingerprint');
    const identity = { fingerprint: unused, partFingerprints: [] };
    t.is(fleet.routers[0]?.guard(identity).heldBackMs(), undefined);
    fleet.routers[0]?.noteCompleted(identity);
    await clock.tickAsync(10_000);
    t.deepEqual(fleet.sentBytes, [0, 0, 0, 0]);
  }),
);

/** Loses up to a tenth of the datagrams, and repeats and delays others. */
function createUnreliableNetwork(random: Random) {
  const lossShare = random() * 0.1;
  const delaysMs = () => {
    if (random() < lossShare) {
      return [];
    }
    const delayMs = random() * 100;
    return random() < 0.1 ? [delayMs, delayMs + random() * 1_000] : [delayMs];
  };
  return { lossShare, delaysMs };
}

/** Crashes noticed at random routers. */
async function checkRandomFleet(t: ExecutionContext, count: number, seed: number): Promise<void> {
  const random = createSeededRandom(seed);
  random();
  const { lossShare, delaysMs } = createUnreliableNetwork(random);
  const check: Check = async (fleet, clock) => {
    const isOneRouter = random() < 0.3;
    for (const number of [1, 2, 3]) {
      const router = isOneRouter ? 0 : Math.floor(random() * count);
      await fleet.crash(router, request, `s${number}`);
      await clock.tickAsync(random() * 500);
    }
    await clock.tickAsync(contactMs);
    t.is(countHeldBack(fleet), count, `${count} routers, seed ${seed}, loss ${lossShare}`);
  };
  await withFleet(count, check, { network: { delaysMs }, seed });
}

fleetSizes.forEach(({ count, fleets }) => {
  test.serial(
    `all of ${count} routers hold the request back within the bound of contact`,
    async (t) => {
      for (let seed = 1; seed <= fleets; seed += 1) {
        await checkRandomFleet(t, count, seed);
      }
    },
  );
});

test.serial('a crash that ends many requests delays none of their announcements for long', (t) =>
  // A server may run dozens of requests of one router, and any of them may be the one that crashes servers.
  withFleet(4, async (fleet, clock) => {
    const requests = Array.from({ length: 40 }, (_none, index) => `request ${index}`);
    for (const number of [1, 2, 3]) {
      await Promise.all(requests.map((one) => fleet.crash(0, one, `s${number}`)));
      await clock.tickAsync(200);
    }
    const heldBack = requests.filter((one) => fleet.isHeldBack(3, one));
    t.is(heldBack.length, requests.length);
  }),
);

test.serial('many crashes at once stay within the budget of bytes', (t) =>
  // A rack that loses power ends hundreds of requests, each of which is announced.
  withFleet(68, async (fleet, clock) => {
    for (let number = 0; number < 400; number += 1) {
      await fleet.crash(number % 3, `request ${number}`, `s${number % 8}`);
    }
    await clock.tickAsync(60_000);
    t.true(Math.max(...fleet.sentBytes) <= 1_000 * (300 + 60));
  }),
);

const firstPart = 'part-c0';
const harmfulPart = 'part-bad0';

const isPartHeldBack = (fleet: QuarantineFleet, router: number, part: string) =>
  fleet.routers[router]?.guard(identityOf('a new request', [part])).heldBackMs() !== undefined;

function countPartHeldBack(fleet: QuarantineFleet, part: string): number {
  return fleet.routers.filter((_router, index) => isPartHeldBack(fleet, index, part)).length;
}

/** Servers that end under one part, with sound requests that share their first part, over an unreliable network. */
async function checkPartFleet(t: ExecutionContext, count: number, seed: number): Promise<void> {
  const random = createSeededRandom(seed);
  random();
  const { lossShare, delaysMs } = createUnreliableNetwork(random);
  const anyRouter = () => Math.floor(random() * count);
  const check: Check = async (fleet, clock) => {
    for (let crash = 1; crash <= 5; crash += 1) {
      const server = `s${crash}`;
      const ranMs = 40 + random() * 210;
      const parts = [firstPart, harmfulPart];
      await fleet.crash(anyRouter(), `harmful ${crash}`, server, ranMs, parts);
      const bystanderCount = Math.floor(random() * 8);
      for (let number = 0; number < bystanderCount; number += 1) {
        await fleet.crash(anyRouter(), `sound ${crash} ${number}`, server, random() * 900, [
          firstPart,
        ]);
      }
      await clock.tickAsync(100 + random() * 400);
    }
    await clock.tickAsync(contactMs);
    const detail = `${count} routers, seed ${seed}, loss ${lossShare}`;
    t.is(countPartHeldBack(fleet, harmfulPart), count, detail);
    t.is(countPartHeldBack(fleet, firstPart), 0, detail);
    t.true(Math.max(...fleet.sentBytes) <= 1_000 * (300 + 10));
  };
  await withFleet(count, check, { network: { delaysMs }, seed });
}

fleetSizes.forEach(({ count, fleets }) => {
  test.serial(
    `all of ${count} routers hold a part of prompts back within the bound of contact, and none the part before it`,
    async (t) => {
      // No two of the requests are alike, and each crash ends sound requests of other routers.
      for (let seed = 1; seed <= fleets; seed += 1) {
        await checkPartFleet(t, count, seed);
      }
    },
  );
});

test.serial(
  'a part held back by mistake is tried by one request of one router, and released',
  (t) =>
    // Nothing else runs that could show that the part does no harm.
    withFleet(4, async (fleet, clock) => {
      for (const number of [1, 2, 3, 4, 5]) {
        await fleet.crash(0, `sound ${number}`, `s${number}`, 50, [firstPart]);
        await clock.tickAsync(100);
      }
      t.is(countPartHeldBack(fleet, firstPart), 4);
      await clock.tickAsync(9_000);
      t.is(countPartHeldBack(fleet, firstPart), 4);
      await clock.tickAsync(1_500);
      t.is(countPartHeldBack(fleet, firstPart), 3);
      t.is(countPartHeldBack(fleet, firstPart), 4);
      await clock.tickAsync(11_000);
      const guards = fleet.routers.map((router) => router.guard(identityOf('q', [firstPart])));
      const trial = guards.findIndex((guard) => guard.heldBackMs() === undefined);
      const server = { id: 's6' } as BackendServer;
      const identity = identityOf('q', [firstPart]);
      const run = fleet.routers[trial]?.observeRun({
        ...{ identity, requestId: 'q', server, startedAtMs: monotonicNowMs() },
      });
      run?.noteEvent();
      t.is(guards[trial]?.heldBackMs(), undefined);
      await clock.tickAsync(1_000);
      run?.noteEvent();
      await clock.tickAsync(1_000);
      t.is(countPartHeldBack(fleet, firstPart), 0);
    }),
);

test.serial('a held part is stored with its position in prompts', (t) =>
  // After a restart of all routers, the part must not count as a whole request.
  withFleet(1, async (fleet, clock) => {
    for (const number of [1, 2, 3]) {
      const parts = [firstPart, harmfulPart];
      await fleet.crash(0, `harmful ${number}`, `s${number}`, 50, parts);
      await clock.tickAsync(100);
    }
    t.deepEqual(
      fleet.saved.map(({ fingerprint, depth }) => ({ fingerprint, depth })),
      [{ fingerprint: harmfulPart, depth: 1 }],
    );
  }),
);

/** A run at the router with the parts that writes for longer than a harmful part lets it. */
async function runWell(
  fleet: QuarantineFleet,
  clock: Clock,
  router: number,
  parts = [firstPart],
): Promise<void> {
  const identity = identityOf('a sound request', parts);
  const server = { id: 'sound' } as BackendServer;
  const startedAtMs = monotonicNowMs();
  const run = fleet.routers[router]?.observeRun({ identity, requestId: 'q', server, startedAtMs });
  run?.noteEvent();
  await clock.tickAsync(1_100);
  run?.noteEvent();
  await clock.tickAsync(600);
}

[
  { hasRunWell: true, expected: 0 },
  { hasRunWell: false, expected: 24 },
].forEach(({ hasRunWell, expected }) => {
  test.serial(
    `a part that ${hasRunWell ? 'one router has seen' : 'no router has seen'} run well is held at ${expected} of 24 routers for crashes of many requests`,
    (t) =>
      // Crashes are known to all routers, and runs only to the one that had them: after a start each has few.
      withFleet(24, async (fleet, clock) => {
        if (hasRunWell) {
          await runWell(fleet, clock, 5);
        }
        for (let number = 1; number <= 8; number += 1) {
          await fleet.crash(number % 2, `request ${number}`, `s${number}`, 100, [firstPart]);
          await clock.tickAsync(500);
        }
        t.is(countPartHeldBack(fleet, firstPart), expected);
        t.true(Math.max(...fleet.sentBytes) <= 1_000 * (300 + 10));
      }),
  );
});

[24, 359].forEach((count) => {
  test.serial(
    `the first part of prompts is held at all of ${count} routers after five crashes that five routers have noticed`,
    (t) =>
      // Guards against crashes that a router keeps to itself until it knows of another one: of many routers each notices one.
      withFleet(count, async (fleet, clock) => {
        for (const number of [1, 2, 3, 4, 5]) {
          t.is(countPartHeldBack(fleet, harmfulPart), 0);
          await fleet.crash(number, `request ${number}`, `s${number}`, 100, [harmfulPart]);
          await clock.tickAsync(500);
        }
        t.is(countPartHeldBack(fleet, harmfulPart), count);
      }),
  );
});

test.serial(
  'the first part of prompts is held after three crashes once the part after it has run well',
  (t) =>
    // Guards against first parts that were not known to have all crashes of a part after them, which had run well.
    withFleet(24, async (fleet, clock) => {
      const secondPart = 'part-c1';
      for (const number of [1, 2, 3]) {
        const parts = [harmfulPart, secondPart];
        await fleet.crash(number, `request ${number}`, `s${number}`, 100, parts);
        await clock.tickAsync(500);
      }
      t.is(countPartHeldBack(fleet, secondPart), 24);
      await runWell(fleet, clock, 5, [firstPart, secondPart]);
      await clock.tickAsync(500);
      t.is(countPartHeldBack(fleet, secondPart), 0);
      t.is(countPartHeldBack(fleet, harmfulPart), 24);
    }),
);

test.serial('a request that is held itself does not take the place of the trial of a part', (t) =>
  // The part stayed held, as nothing else could clear it.
  withFleet(1, async (fleet, clock) => {
    const heldBackMs = (fingerprint: string) =>
      fleet.routers[0]?.guard(identityOf(fingerprint, [harmfulPart])).heldBackMs();
    for (const number of [1, 2, 3, 4, 5]) {
      await fleet.crash(0, request, `s${number}`, 50, [harmfulPart]);
      await fleet.crash(0, `other ${number}`, `t${number}`, 50, [harmfulPart]);
      await clock.tickAsync(200);
    }
    t.not(heldBackMs('a sound request'), undefined);
    await clock.tickAsync(hourMs - 60_000);
    t.not(heldBackMs(request), undefined);
    t.is(heldBackMs('a sound request'), undefined);
  }),
);

test.serial(
  'the trial of a part is a request without another part that has crashes, if one comes',
  (t) =>
    // The harmful part that it had too crashed the engine, and the sound part that all requests share stayed held.
    withFleet(1, async (fleet, clock) => {
      const guardOf = (name: string, parts: string[]) =>
        fleet.routers[0]?.guard(identityOf(name, parts));
      const suspected = [firstPart, harmfulPart];
      for (const [number, parts] of [
        suspected,
        suspected,
        [firstPart],
        [firstPart],
        [firstPart],
      ].entries()) {
        await fleet.crash(0, `request ${number}`, `s${number}`, 50, parts);
        await clock.tickAsync(200);
      }
      await clock.tickAsync(trialPauseMs);
      t.not(guardOf('suspected', suspected)?.heldBackMs(), undefined);
      t.is(guardOf('clean', [firstPart])?.heldBackMs(), undefined);
      t.not(guardOf('further', [firstPart])?.heldBackMs(), undefined);
    }),
);

test.serial(
  'a request with another part that has crashes is the trial of a part if no other request comes',
  (t) =>
    // Parts that all requests have together would be held for as long as the quarantine lasts.
    withFleet(1, async (fleet, clock) => {
      const heldBackMs = () =>
        fleet.routers[0]?.guard(identityOf('suspected', [firstPart, harmfulPart])).heldBackMs();
      for (const number of [1, 2, 3, 4, 5]) {
        const parts = number > 3 ? [firstPart, harmfulPart] : [firstPart];
        await fleet.crash(0, `request ${number}`, `s${number}`, 50, parts);
        await clock.tickAsync(200);
      }
      await clock.tickAsync(trialPauseMs);
      t.not(heldBackMs(), undefined);
      await clock.tickAsync(trialPauseMs);
      t.is(heldBackMs(), undefined);
    }),
);
