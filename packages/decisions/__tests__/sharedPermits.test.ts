import test from 'ava';
import { createSharedPermits, type SharedPermits } from '@bluebellhitch/decisions';

const address = (index: number) => `10.0.0.${index + 1}:7400`;
/** Long after the start of the routers, when each knows all others. */
const warmMs = 3_000;

/** Creates routers that all know each other and the limit of server `s`. */
function createFleet(count: number, requestsPerSecond: number, random = () => 0): SharedPermits[] {
  const addresses = Array.from({ length: count }, (_, index) => address(index));
  return addresses.map((own) => {
    const permits = createSharedPermits({ nowMs: 0, random });
    permits.setRouters(
      own,
      addresses.filter((other) => other !== own),
      0,
    );
    permits.note('s', requestsPerSecond, warmMs);
    return permits;
  });
}

/** Number of permits taken by a fleet in which each router takes as many as it can. */
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

const maxIn4Seconds = (requestsPerSecond: number) => 1.5 * 4 * requestsPerSecond + 5;

test('a server that names no limit needs no permit', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  t.true(permits.take('s', 0));
  permits.note('s', 1, 1);
  permits.note('s', undefined, 2);
  t.true(permits.mayTake('s', 2));
  t.is(permits.limitedServerCount(), 0);
});

test('a fleet of any size uses the rate, and no more than is tolerated in four seconds', (t) => {
  // Guards against an overloaded server getting its rate from each router instead of from all together.
  [1, 4, 24, 359].forEach((count) => {
    [0, 0.3, 2, 20, 300].forEach((rate) => {
      const routers = createFleet(count, rate, () => 0.999);
      const first = takenBetween(routers, warmMs, warmMs + 4_000);
      t.true(first <= maxIn4Seconds(rate), `${count} routers, ${rate} a second: ${first}`);
      const later = takenBetween(routers, warmMs + 4_000, warmMs + 8_000);
      t.true(later <= maxIn4Seconds(rate) && later >= Math.floor(3.5 * rate), `later ${later}`);
    });
  });
});

test('permits accumulated in a quiet period stay within what is tolerated', (t) => {
  const routers = createFleet(24, 2);
  const issuers = routers.filter((router) => router.waitMs('s', warmMs) !== undefined);
  t.true(issuers.length < 5);
  issuers.forEach((router) => router.mayTake('s', warmMs + 9_000));
  t.true(takenBetween(routers, warmMs + 9_000, warmMs + 13_000) <= maxIn4Seconds(2));
});

test('a router that issues no permits names the issuers, and uses each granted permit once', (t) => {
  const routers = createFleet(24, 2);
  const nowMs = warmMs + 2_000;
  const other = routers.find((router) => router.waitMs('s', nowMs) === undefined) as SharedPermits;
  const issuers = other.issuers('s', nowMs);
  t.true(issuers.length > 0);
  t.false(other.take('s', nowMs));
  const issuer = routers[Number(issuers[0]?.slice(7, -5)) - 1] as SharedPermits;
  issuer.mayTake('s', warmMs);
  t.true(issuer.grant('s', nowMs));
  other.noteGranted('s', nowMs);
  t.true(other.take('s', nowMs + 100));
  t.false(other.take('s', nowMs + 100));
  other.noteGranted('s', nowMs);
  t.false(other.take('s', nowMs + 400), 'a granted permit that is not used soon expires');
});

test('a router that has just started takes hardly any permits', (t) => {
  // It knows no other router yet: of routers that start together, each would assume that it is the only one.
  const routers = Array.from({ length: 359 }, (_, index) => {
    const permits = createSharedPermits({ nowMs: 0, random: () => 0.999 });
    permits.setRouters(address(index), [], 0);
    permits.note('s', 10, 0);
    return permits;
  });
  t.true(takenBetween(routers, 0, 2_400) <= maxIn4Seconds(10));
});

test('a router that is still discovering others takes hardly any permits, one that is warm ignores newcomers', (t) => {
  // Discovery takes many seconds in a large fleet: a router that knows a third of it would issue three times its share.
  const permits = createSharedPermits({ nowMs: 0, random: () => 0.999 });
  const others: string[] = [];
  const discoverOne = (nowMs: number) => {
    others.push(address(others.length + 1));
    permits.setRouters(address(0), others, nowMs);
  };
  permits.note('s', 2, 0);
  for (let nowMs = 0; nowMs < 9_000; nowMs += 1_000) {
    discoverOne(nowMs);
    t.false(permits.take('s', nowMs), `${nowMs}`);
  }
  const isIssuer = (nowMs: number) => (permits.waitMs('s', nowMs) ?? Infinity) < 1_000;
  permits.note('s', 400, 11_000);
  t.true(isIssuer(11_000));
  discoverOne(11_100);
  t.true(isIssuer(11_200));
});

test('the newest observation counts, whichever router made it', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [address(1)], 0);
  permits.note('s', 5, 1_000);
  permits.applyRemote({ serverId: 's', requestsPerSecond: 9, ageMs: 500 }, 1_400);
  t.is(permits.limitOf('s'), 5);
  permits.applyRemote({ serverId: 's', ageMs: 100 }, 1_500);
  t.is(permits.limitOf('s'), undefined);
  permits.applyRemote({ serverId: 's', requestsPerSecond: 5, ageMs: 600 }, 1_600);
  t.is(permits.limitOf('s'), undefined, 'older than the end of the limit');
});

test('only own observations are passed on', (t) => {
  // Observations passed on from other routers would circulate indefinitely, with a smaller age at each router.
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [address(1)], 0);
  permits.applyRemote({ serverId: 'far', requestsPerSecond: 9, ageMs: 0 }, 100);
  permits.note('near', 4, 100);
  t.deepEqual(permits.observationsSince(0, 150), [
    { serverId: 'near', requestsPerSecond: 4, ageMs: 50 },
  ]);
});

test('other routers learn at once of a limit that starts, ends or changes significantly', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [], 0);
  t.false(permits.note('s', undefined, 0));
  t.true(permits.note('s', 10, 1));
  t.false(permits.note('s', 11, 2));
  t.true(permits.note('s', 5, 3));
  t.true(permits.note('s', undefined, 4));
  t.false(permits.note('s', undefined, 5));
});

test('issuers rotate when no router observes the server any more', (t) => {
  // Its issuers are gone or have no callers. Without rotation the server would stay limited indefinitely, since only a
  // response ends a limit.
  const routers = createFleet(24, 2);
  const issuersAt = (nowMs: number) =>
    routers.flatMap((router, index) => (router.waitMs('s', nowMs) === undefined ? [] : [index]));
  const first = issuersAt(warmMs);
  const second = issuersAt(warmMs + 11_000);
  t.deepEqual(issuersAt(warmMs + 9_000), first);
  t.is(second.length, first.length);
  t.false(second.some((index) => first.includes(index)));
});

test('a lower limit discards permits accumulated under the higher one', (t) => {
  const routers = createFleet(4, 100);
  takenBetween(routers, warmMs, warmMs + 1_000);
  routers.forEach((router) => router.note('s', 1, warmMs + 2_000));
  const taken = takenBetween(routers, warmMs + 2_000, warmMs + 6_000);
  t.true(taken <= maxIn4Seconds(1), `${taken}`);
});

test('forgetting a server removes its limit', (t) => {
  const permits = createSharedPermits({ nowMs: 0 });
  permits.setRouters(address(0), [], 0);
  permits.note('s', 0, 0);
  permits.forget('s');
  t.true(permits.take('s', 0));
});

test('several permits are taken together or not at all', (t) => {
  const permits = createSharedPermits({ nowMs: 0, random: () => 0.5 });
  permits.setRouters(address(0), [], 0);
  permits.note('s', 1, warmMs);
  permits.mayTake('s', warmMs);
  t.false(permits.take('s', warmMs + 1_000, 2));
  t.true(permits.take('s', warmMs + 1_000));
  permits.noteGranted('s', warmMs + 1_600);
  t.true(permits.take('s', warmMs + 1_600, 2));
  t.false(permits.mayTake('s', warmMs + 1_600));
});
