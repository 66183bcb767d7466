import type { Clock } from '@sinonjs/fake-timers';
import type { StreamOrigin } from '@bluebellhitch/protocol';
import type { StreamOrigins } from '@bluebellhitch/routing';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import { testWithFakeClock } from './support/fakeClockTest';
import {
  createStreamOriginFleet,
  firstOrigin,
  type StreamOriginFleet,
  type StreamOriginFleetOptions,
} from './support/streamOriginFleet';

/** What a router finds out about a stream, and the time that it takes. */
async function find(clock: Clock, fleet: StreamOriginFleet, router: number, streamId: string) {
  const startedAtMs = clock.now;
  const found: { origin?: StreamOrigin; tookMs?: number } = {};
  void fleet.routers[router]?.find(streamId).then((origin) => {
    Object.assign(found, { origin, tookMs: clock.now - startedAtMs });
  });
  await clock.tickAsync(300);
  return found;
}

function unreliable(random: Random, lossShare: number): StreamOriginFleetOptions {
  return {
    delaysMs() {
      if (random() < lossShare) {
        return [];
      }
      const copies = random() < 0.05 ? 2 : 1;
      return Array.from({ length: copies }, () => 1 + random() * 4);
    },
  };
}

testWithFakeClock(
  'any router finds where a stream began, though the one that served it is gone',
  async (t, clock) => {
    // A caller returns to any router, most often because the one that served it was killed.
    const fleet = createStreamOriginFleet(4);
    fleet.routers[0]?.noteBegan('a', firstOrigin);
    await clock.tickAsync(20);
    fleet.restart(0);
    for (const router of [0, 1, 2, 3]) {
      const { origin, tookMs = Infinity } = await find(clock, fleet, router, 'a');
      t.deepEqual(origin, firstOrigin);
      t.true(tookMs <= 5);
    }
    fleet.close();
  },
);

testWithFakeClock(
  'a stream that no router knows is reported unknown as soon as all have answered',
  async (t, clock) => {
    // The caller has to be refused at once rather than kept waiting.
    const fleet = createStreamOriginFleet(4);
    const { origin, tookMs = Infinity } = await find(clock, fleet, 2, 'a');
    t.is(origin, undefined);
    t.true(tookMs <= 5);
    fleet.close();
  },
);

testWithFakeClock(
  'a router that is cut off from all others reports an unknown stream in bounded time',
  async (t, clock) => {
    // Datagrams to routers behind a cut get no answer.
    const fleet = createStreamOriginFleet(4, { delaysMs: () => [] });
    const { origin, tookMs = Infinity } = await find(clock, fleet, 2, 'a');
    t.is(origin, undefined);
    t.true(tookMs <= 250);
    fleet.close();
  },
);

testWithFakeClock(
  'a stream keeps the version that was stated first, and is forgotten after some minutes',
  async (t, clock) => {
    // A late or repeated datagram must not change where a stream belongs, and memory must not grow.
    const fleet = createStreamOriginFleet(4);
    fleet.routers[0]?.noteBegan('a', firstOrigin);
    await clock.tickAsync(20);
    fleet.routers[1]?.noteBegan('a', { ...firstOrigin, softwareVersion: 'v2' });
    await clock.tickAsync(20);
    t.deepEqual((await find(clock, fleet, 3, 'a')).origin, firstOrigin);
    await clock.tickAsync(180_000);
    t.is((await find(clock, fleet, 3, 'a')).origin, undefined);
    fleet.close();
  },
);

testWithFakeClock('messages of strangers are ignored', async (t, clock) => {
  // Anyone may send to the port.
  const fleet = createStreamOriginFleet(4, { delaysMs: () => [] });
  const streams = [{ digest: '0'.repeat(20), origin: firstOrigin }];
  const senderAddress = '10.9.9.9:1';
  fleet.routers[0]?.receive({ kind: 'announcement', senderAddress, streams });
  fleet.routers[0]?.receive({ kind: 'question', senderAddress, streams });
  await clock.tickAsync(20);
  t.is(fleet.sentBytes[0], 0);
  fleet.close();
});

testWithFakeClock(
  'streams of a version that served alone are announced once another one serves',
  async (t, clock) => {
    // With one version the announcements are limited to a part of the bytes; what they left out must follow in time.
    let hasSeveral = false;
    const fleet = createStreamOriginFleet(359, { hasSeveralVersions: () => hasSeveral });
    const ids = Array.from({ length: 2_000 }, (_none, index) => `s${index}`);
    ids.forEach((id) => fleet.routers[0]?.noteBegan(id, firstOrigin));
    await clock.tickAsync(20);
    const bytesBefore = fleet.sentBytes[0] ?? 0;
    hasSeveral = true;
    fleet.routers[0]?.noteSeveralVersions('s');
    await clock.tickAsync(20);
    t.true((fleet.sentBytes[0] ?? 0) > bytesBefore);
    fleet.restart(0);
    t.deepEqual((await find(clock, fleet, 7, ids.at(-1) ?? '')).origin, firstOrigin);
    fleet.close();
  },
);

[4, 24, 68, 359].forEach((count) => {
  testWithFakeClock(
    `with ${count} routers, most streams are found after three in five were killed at one moment`,
    async (t, clock) => {
      // Half of the streams must be able to go on as new ones begin, even if their routers have ended.
      const random = createSeededRandom(count);
      const fleet = createStreamOriginFleet(count, unreliable(random, 0.05));
      const ids = Array.from({ length: 200 }, (_none, index) => `s${index}`);
      const pick = () => Math.floor(random() * count);
      ids.forEach((id) => fleet.routers[pick()]?.noteBegan(id, firstOrigin));
      await clock.tickAsync(20);
      const killed = Array.from({ length: count }, (_none, router) => router)
        .sort(() => random() - 0.5)
        .slice(0, Math.ceil(0.6 * count));
      killed.forEach(fleet.restart);
      const searches = ids.map((id) => (fleet.routers[pick()] as StreamOrigins).find(id));
      await clock.tickAsync(300);
      const found = (await Promise.all(searches)).filter((origin) => origin !== undefined).length;
      t.log(`${found} of ${ids.length} found; ${Math.max(...fleet.sentBytes)} bytes at the most`);
      t.true(found >= 0.5 * ids.length, `${found}`);
      fleet.close();
    },
  );
});
