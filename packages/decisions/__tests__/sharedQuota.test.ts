import test from 'ava';
import { createSharedQuota, type QuotaDecision, type SharedQuota } from '@bluebellhitch/decisions';

const quota = { name: 'w', ratePerSecond: 1_000, burst: 1_000 };
const slack = { windowMs: 8_000, overageShare: 0.1, amount: 4_000 };
const others = Array.from({ length: 23 }, (_none, at) => `10.0.0.${at + 2}:7400`);
/** Long after its start, so that it knows all there is to know. */
const startMs = -10_000;

function createRouter(over: { nowMs?: number; companions?: readonly string[] } = {}): SharedQuota {
  const { nowMs = startMs, companions = [] } = over;
  const router = createSharedQuota({ nowMs, slack, random: () => 0 });
  router.setRouters(companions, companions.length + 1);
  companions.forEach((address) => router.noteHeard(address, Math.max(0, nowMs)));
  router.setQuotas([quota], Math.max(0, nowMs));
  return router;
}

function hearAll(router: SharedQuota, nowMs: number): void {
  others.forEach((address) => router.noteHeard(address, nowMs));
}

const take = (router: SharedQuota, cost: number, nowMs: number) => router.take('w', cost, nowMs);
const isAdmitted = ({ kind }: QuotaDecision) => kind === 'admitted';

test('the burst comes at once, then the rate', (t) => {
  const router = createRouter();
  t.true(isAdmitted(take(router, 1_000, 0)));
  t.deepEqual(take(router, 100, 0), { kind: 'limited', retryAfterMs: 100 });
  t.true(isAdmitted(take(router, 100, 100)));
});

test('a workspace without a quota is without limit', (t) => {
  t.true(isAdmitted(createRouter().take('other', 1e9, 0)));
});

test('what is larger than the burst has no time to come back', (t) => {
  t.deepEqual(take(createRouter(), 1_001, 0), { kind: 'limited' });
});

test('what is given back may be taken again', (t) => {
  const router = createRouter();
  take(router, 1_000, 0);
  router.giveBack('w', 1_000, 0);
  t.true(isAdmitted(take(router, 1_000, 0)));
});

test('what others admit is missing here, once, however often it is told', (t) => {
  const router = createRouter({ companions: others });
  const tell = (sum: number) =>
    router.hear(
      { router: others[0] as string, life: 'a', isYoung: true, uses: [{ name: 'w', sum }] },
      0,
    );
  tell(600);
  tell(600);
  t.is(router.level('w', 0), 400);
  tell(700);
  t.is(router.level('w', 0), 300);
});

test('a router that hears nobody admits one request after another at its part of the rate', (t) => {
  // Its callers would be told again and again of a time at which there is room, and there never is: a part of the
  // burst of 24 routers holds less than one request. The router is cut off from the others.
  const router = createRouter({ companions: others });
  const waits = [5_000, 40_000, 80_000].map((nowMs) => {
    take(router, 900, nowMs);
    const refused = take(router, 900, nowMs);
    const waitMs = refused.kind === 'limited' ? (refused.retryAfterMs ?? Infinity) : 0;
    t.true(isAdmitted(take(router, 900, nowMs + waitMs + 1)), `at ${nowMs}`);
    return waitMs;
  });
  t.true(waits.every((waitMs) => waitMs > 0 && waitMs < 30_000));
});

test('routers that do not hear each other keep to their parts of the rate', (t) => {
  const router = createRouter({ companions: others });
  const admitted = Array.from({ length: 2_000 }, (_none, at) => take(router, 10, 5_000 + at * 10));
  const amount = 10 * admitted.filter(isAdmitted).length;
  // 20 s at a 24th of the rate, and what it may hold at once.
  t.true(amount > 750 && amount < 1_250, `${amount}`);
});

test('a router that starts takes an older one’s account, also before it has its configuration', (t) => {
  const router = createSharedQuota({ nowMs: 0, slack, random: () => 0 });
  router.setRouters(others, 24);
  hearAll(router, 100);
  const uses = [{ name: 'w', sum: 50_000, level: 120 }];
  router.hear({ router: others[0] as string, life: 'a', isYoung: false, uses }, 100);
  router.setQuotas([quota], 300);
  const level = router.level('w', 300) ?? 0;
  t.true(level >= 120 && level <= 320, `${level}`);
});

test('false news lock a workspace out for seconds at the most', (t) => {
  const router = createRouter({ companions: others });
  const uses = [{ name: 'w', sum: 1e15 }];
  router.hear({ router: others[0] as string, life: 'a', isYoung: true, uses }, 0);
  [1, 2, 3, 4, 5, 6].forEach((second) => hearAll(router, second * 1_000));
  t.true((router.level('w', 6_000) ?? 0) > 0);
});

test('a router that said that it stops is waited for no longer', (t) => {
  const [gone = '', ...left] = others;
  const router = createRouter({ companions: [gone] });
  router.noteHeard(gone, 0);
  router.noteLeft(gone);
  take(router, 1_000, 5_000);
  t.is(Math.round(router.level('w', 5_500) ?? 0), 500);
  t.is(left.length, 22);
});

test('a lower limit binds at once', (t) => {
  const router = createRouter();
  router.setQuotas([{ ...quota, ratePerSecond: 100, burst: 100 }], 0);
  t.is(router.level('w', 0), 100);
});
