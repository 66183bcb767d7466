import test from 'ava';
import { createSharedPermits, type SharedPermits } from '@bluebellhitch/decisions';

const address = (at: number) => `10.0.0.${at + 1}:7400`;
/** Long after the routers' start, when each knows all others. */
const oldMs = 3_000;

/** Routers that all know each other, and that a server has named this limit. */
function createFleet(count: number, requestsPerSecond: number, random = () => 0): SharedPermits[] {
  const addresses = Array.from({ length: count }, (_none, at) => address(at));
  return addresses.map((own) => {
    const permits = createSharedPermits({ nowMs: 0, random });
    permits.setRouters(
      own,
      addresses.filter((other) => other !== own),
      0,
    );
    permits.note('s', requestsPerSecond, oldMs);
    return permits;
  });
}

/** Permits that a fleet takes in a time in which each router wants as many as it can have. */
function takenBetween(routers: readonly SharedPermits[], fromMs: number, toMs: number): number {
  let taken = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
    taken += routers.reduce((sum, router) => sum + takeAll(router, nowMs), 0);
  }
  return taken;
}

function takeAll(router: SharedPermits, nowMs: number): number {
  let taken = 0;
  while (router.take('s', nowMs)) {
    taken += 1;
  }
  return taken;
}

const mostIn4Seconds = (requestsPerSecond: number) => 1.5 * 4 * requestsPerSecond + 5;

test('a server that names no limit needs no permit', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  t.true(permits.take('s', 0));
  permits.note('s', 1, 1);
  permits.note('s', undefined, 2);
  t.true(permits.mayTake('s', 2));
  t.is(permits.limitedCount(), 0);
});

test('a fleet of any size takes the rate, and no more than is tolerated in four seconds', (t) => {
  // A server in need would get as many times its rate as there are routers.
  [1, 4, 24, 359].forEach((count) => {
    [0, 0.3, 2, 20, 300].forEach((rate) => {
      const routers = createFleet(count, rate, () => 0.999);
      const first = takenBetween(routers, oldMs, oldMs + 4_000);
      t.true(first <= mostIn4Seconds(rate), `${count} routers, ${rate} a second: ${first}`);
      const later = takenBetween(routers, oldMs + 4_000, oldMs + 8_000);
      t.true(later <= mostIn4Seconds(rate) && later >= Math.floor(3.5 * rate), `later ${later}`);
    });
  });
});

test('what was saved up in a quiet time is no more than is tolerated', (t) => {
  const routers = createFleet(24, 2);
  const keepers = routers.filter((router) => router.waitMs('s', oldMs) !== undefined);
  t.true(keepers.length < 5);
  keepers.forEach((router) => router.mayTake('s', oldMs + 9_000));
  t.true(takenBetween(routers, oldMs + 9_000, oldMs + 13_000) <= mostIn4Seconds(2));
});

test('routers that issue none name those that do, and use what they are granted once', (t) => {
  const routers = createFleet(24, 2);
  const nowMs = oldMs + 2_000;
  const other = routers.find((router) => router.waitMs('s', nowMs) === undefined) as SharedPermits;
  const issuers = other.issuers('s', nowMs);
  t.true(issuers.length > 0);
  t.false(other.take('s', nowMs));
  const issuer = routers[Number(issuers[0]?.slice(7, -5)) - 1] as SharedPermits;
  issuer.mayTake('s', oldMs);
  t.true(issuer.grant('s', nowMs));
  other.noteGranted('s', nowMs);
  t.true(other.take('s', nowMs + 100));
  t.false(other.take('s', nowMs + 100));
  other.noteGranted('s', nowMs);
  t.false(other.take('s', nowMs + 400), 'a permit that is not used soon is void');
});

test('a router that has just started takes next to nothing', (t) => {
  // It knows no other router yet: each of those that start together would take itself for the only one.
  const routers = Array.from({ length: 359 }, (_none, at) => {
    const permits = createSharedPermits({ nowMs: 0, random: () => 0.999 });
    permits.setRouters(address(at), [], 0);
    permits.note('s', 10, 0);
    return permits;
  });
  t.true(takenBetween(routers, 0, 2_400) <= mostIn4Seconds(10));
});

test('a router that still hears of others takes next to nothing, and later newcomers change nothing', (t) => {
  // In a large fleet news of all take many seconds: who knows a third of the routers would issue for three.
  const permits = createSharedPermits({ nowMs: 0, random: () => 0.999 });
  const others: string[] = [];
  const hearOfOne = (nowMs: number) => {
    others.push(address(others.length + 1));
    permits.setRouters(address(0), others, nowMs);
  };
  permits.note('s', 2, 0);
  for (let nowMs = 0; nowMs < 9_000; nowMs += 1_000) {
    hearOfOne(nowMs);
    t.false(permits.take('s', nowMs), `${nowMs}`);
  }
  const isIssuer = (nowMs: number) => (permits.waitMs('s', nowMs) ?? Infinity) < 1_000;
  permits.note('s', 400, 11_000);
  t.true(isIssuer(11_000));
  hearOfOne(11_100);
  t.true(isIssuer(11_200));
});

test('the newest word counts, wherever it was read', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [address(1)], 0);
  permits.note('s', 5, 1_000);
  permits.hear({ serverId: 's', requestsPerSecond: 9, ageMs: 500 }, 1_400);
  t.is(permits.limitOf('s'), 5);
  permits.hear({ serverId: 's', ageMs: 100 }, 1_500);
  t.is(permits.limitOf('s'), undefined);
  permits.hear({ serverId: 's', requestsPerSecond: 5, ageMs: 600 }, 1_600);
  t.is(permits.limitOf('s'), undefined, 'older than its end');
});

test('only what was read here is told on', (t) => {
  // News of news would go round for ever, younger with each router that it passes.
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [address(1)], 0);
  permits.hear({ serverId: 'far', requestsPerSecond: 9, ageMs: 0 }, 100);
  permits.note('near', 4, 100);
  t.deepEqual(permits.sightingsSince(0, 150), [
    { serverId: 'near', requestsPerSecond: 4, ageMs: 50 },
  ]);
});

test('others learn at once of a limit that comes, ends or changes much', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [], 0);
  t.false(permits.note('s', undefined, 0));
  t.true(permits.note('s', 10, 1));
  t.false(permits.note('s', 11, 2));
  t.true(permits.note('s', 5, 3));
  t.true(permits.note('s', undefined, 4));
  t.false(permits.note('s', undefined, 5));
});

test('where nobody hears of a server any more, other routers take their turn', (t) => {
  // Its issuers are gone or have no callers. Without a turn for others the server would stay limited for ever, since
  // only an answer ends a limit.
  const routers = createFleet(24, 2);
  const issuersAt = (nowMs: number) =>
    routers.flatMap((router, at) => (router.waitMs('s', nowMs) === undefined ? [] : [at]));
  const first = issuersAt(oldMs);
  const second = issuersAt(oldMs + 11_000);
  t.deepEqual(issuersAt(oldMs + 9_000), first);
  t.is(second.length, first.length);
  t.false(second.some((at) => first.includes(at)));
});

test('a limit that falls takes what was saved up for the higher one', (t) => {
  const routers = createFleet(4, 100);
  takenBetween(routers, oldMs, oldMs + 1_000);
  routers.forEach((router) => router.note('s', 1, oldMs + 2_000));
  const taken = takenBetween(routers, oldMs + 2_000, oldMs + 6_000);
  t.true(taken <= mostIn4Seconds(1), `${taken}`);
});

test('a server that is gone is forgotten with its limit', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [], 0);
  permits.note('s', 0, 0);
  permits.forget('s');
  t.true(permits.take('s', 0));
});

test('several permits are taken together or not at all', (t) => {
  const permits = createSharedPermits({ nowMs: 0, random: () => 0.5 });
  permits.setRouters(address(0), [], 0);
  permits.note('s', 1, oldMs);
  permits.mayTake('s', oldMs);
  t.false(permits.take('s', oldMs + 1_000, 2));
  t.true(permits.take('s', oldMs + 1_000));
  permits.noteGranted('s', oldMs + 1_600);
  t.true(permits.take('s', oldMs + 1_600, 2));
  t.false(permits.mayTake('s', oldMs + 1_600));
});
