import test from 'ava';
import { createSharedQuota, type QuotaDecision, type SharedQuota } from '@bluebellhitch/decisions';

const quota = { name: 'w', ratePerSecond: 1_000, burst: 1_000 };
const slack = { windowMs: 8_000, overageShare: 0.1, amount: 4_000 };
const shardPeers = Array.from({ length: 23 }, (_, index) => `10.0.0.${index + 2}:7400`);
/** Long before time 0, so that the router is no longer warming up. */
const startMs = -10_000;

function createRouter(overrides: { nowMs?: number; peers?: readonly string[] } = {}): SharedQuota {
  const { nowMs = startMs, peers = [] } = overrides;
  const router = createSharedQuota({ nowMs, slack, random: () => 0 });
  router.setRouters(peers, peers.length + 1);
  peers.forEach((address) => router.noteContact(address, Math.max(0, nowMs)));
  router.setQuotas([quota], Math.max(0, nowMs));
  return router;
}

function contactAll(router: SharedQuota, nowMs: number): void {
  shardPeers.forEach((address) => router.noteContact(address, nowMs));
}

const take = (router: SharedQuota, cost: number, nowMs: number) => router.take('w', cost, nowMs);
const isAdmitted = ({ kind }: QuotaDecision) => kind === 'admitted';

test('admits the burst at once, then the rate', (t) => {
  const router = createRouter();
  t.true(isAdmitted(take(router, 1_000, 0)));
  t.deepEqual(take(router, 100, 0), { kind: 'limited', retryAfterMs: 100 });
  t.true(isAdmitted(take(router, 100, 100)));
});

test('a workspace without a quota is not limited', (t) => {
  t.true(isAdmitted(createRouter().take('other', 1e9, 0)));
});

test('a request larger than the burst gets no retry time', (t) => {
  t.deepEqual(take(createRouter(), 1_001, 0), { kind: 'limited' });
});

test('a refunded cost may be taken again', (t) => {
  const router = createRouter();
  take(router, 1_000, 0);
  router.refund('w', 1_000, 0);
  t.true(isAdmitted(take(router, 1_000, 0)));
});

test('what a peer admits is debited once, however often it is announced', (t) => {
  const router = createRouter({ peers: shardPeers });
  const announce = (sum: number) =>
    router.applyRemote(
      { router: shardPeers[0] as string, life: 'a', isYoung: true, uses: [{ name: 'w', sum }] },
      0,
    );
  announce(600);
  announce(600);
  t.is(router.level('w', 0), 400);
  announce(700);
  t.is(router.level('w', 0), 300);
});

test('an isolated router admits single requests at its share of the rate', (t) => {
  // A 24th of the burst is less than one request: without a minimum bucket size, callers of a router that is isolated
  // from the others would get one retry time after another, and never be admitted.
  const router = createRouter({ peers: shardPeers });
  const waits = [5_000, 40_000, 80_000].map((nowMs) => {
    take(router, 900, nowMs);
    const refused = take(router, 900, nowMs);
    const waitMs = refused.kind === 'limited' ? (refused.retryAfterMs ?? Infinity) : 0;
    t.true(isAdmitted(take(router, 900, nowMs + waitMs + 1)), `at ${nowMs}`);
    return waitMs;
  });
  t.true(waits.every((waitMs) => waitMs > 0 && waitMs < 30_000));
});

test('routers isolated from each other keep to their shares of the rate', (t) => {
  const router = createRouter({ peers: shardPeers });
  const admitted = Array.from({ length: 2_000 }, (_, index) =>
    take(router, 10, 5_000 + index * 10),
  );
  const amount = 10 * admitted.filter(isAdmitted).length;
  // 20 s at a 24th of the rate, plus a full bucket.
  t.true(amount > 750 && amount < 1_250, `${amount}`);
});

test('a new router adopts the level of an older one, also before it has its configuration', (t) => {
  const router = createSharedQuota({ nowMs: 0, slack, random: () => 0 });
  router.setRouters(shardPeers, 24);
  contactAll(router, 100);
  const uses = [{ name: 'w', sum: 50_000, level: 120 }];
  router.applyRemote({ router: shardPeers[0] as string, life: 'a', isYoung: false, uses }, 100);
  router.setQuotas([quota], 300);
  const level = router.level('w', 300) ?? 0;
  t.true(level >= 120 && level <= 320, `${level}`);
});

test('a false announcement locks a workspace out for a few seconds at most', (t) => {
  const router = createRouter({ peers: shardPeers });
  const uses = [{ name: 'w', sum: 1e15 }];
  router.applyRemote({ router: shardPeers[0] as string, life: 'a', isYoung: true, uses }, 0);
  [1, 2, 3, 4, 5, 6].forEach((second) => contactAll(router, second * 1_000));
  t.true((router.level('w', 6_000) ?? 0) > 0);
});

test('no share is reserved for a router that has announced its stop', (t) => {
  const [stopped = '', ...remaining] = shardPeers;
  const router = createRouter({ peers: [stopped] });
  router.noteContact(stopped, 0);
  router.noteStopped(stopped);
  take(router, 1_000, 5_000);
  t.is(Math.round(router.level('w', 5_500) ?? 0), 500);
  t.is(remaining.length, 22);
});

test('a lower limit applies at once', (t) => {
  const router = createRouter();
  router.setQuotas([{ ...quota, ratePerSecond: 100, burst: 100 }], 0);
  t.is(router.level('w', 0), 100);
});
