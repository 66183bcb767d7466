import test from 'ava';
import fc from 'fast-check';
import { createRateLimiter, shareByDemand } from '../src/rateLimit';
import { fixedSeed } from './helpers/fixtures';

const limit = { requestsPerSecond: 10, burst: 10 };

function admittedIn(
  limiter: ReturnType<typeof createRateLimiter>,
  perSecond: number,
  seconds: number,
) {
  const times = Array.from(
    { length: perSecond * seconds },
    (_, index) => (index * 1_000) / perSecond,
  );
  return times.filter((nowMs) => limiter.take({ key: 'k', limit, nowMs }).kind === 'admitted')
    .length;
}

test('admits the burst and then the rate', (t) => {
  t.is(admittedIn(createRateLimiter(), 100, 10), 10 + 99);
  t.is(admittedIn(createRateLimiter(), 5, 10), 50);
});

test('entries that know only the entry count take an even share', (t) => {
  const admitted = admittedIn(createRateLimiter({ entryCount: 5 }), 100, 100);
  t.true(admitted >= 200 && admitted <= 202, `${admitted}`);
});

test('a refusal names the time until the next request is admitted', (t) => {
  const limiter = createRateLimiter();
  Array.from({ length: 10 }, () => limiter.take({ key: 'k', limit, nowMs: 0 }));
  const refused = limiter.take({ key: 'k', limit, nowMs: 0 });
  t.true(refused.kind === 'limited' && Math.abs(refused.retryAfterMs - 100) < 1e-6);
  t.is(limiter.take({ key: 'k', limit, nowMs: 101 }).kind, 'admitted');
});

test('a busy entry gets the unused share of an idle one, within one report', (t) => {
  const limiter = createRateLimiter({ entryCount: 2 });
  const times = Array.from({ length: 2_000 }, (_, index) => index * 10);
  const admitted = times.filter((nowMs) => {
    limiter.reportDemand('idle', 'k', 0, nowMs);
    return limiter.take({ key: 'k', limit, nowMs }).kind === 'admitted';
  }).length;
  // 20 s at 7.5 of 10 a second: the idle entry keeps half of its even share.
  t.true(admitted >= 145 && admitted <= 165, `${admitted}`);
});

test('shares of entries that know the same demands never add up to more than the rate', (t) => {
  const demands = fc.array(fc.double({ min: 0, max: 1_000, noNaN: true }), {
    minLength: 1,
    maxLength: 20,
    size: 'max',
  });
  fc.assert(
    fc.property(demands, (all) => {
      const shares = all.map((ownDemand, index) =>
        shareByDemand({
          requestsPerSecond: 100,
          ownDemand,
          peerDemands: all.filter((_, other) => other !== index),
          entryCount: all.length,
        }),
      );
      const sum = shares.reduce((total, share) => total + share, 0);
      t.true(sum <= 100.000_001, `${sum}`);
      t.true(
        sum >=
          Math.min(
            100,
            all.reduce((total, demand) => total + demand, 0),
          ) -
            1e-6,
      );
    }),
    fixedSeed,
  );
});

test('holds a bounded number of buckets', (t) => {
  const limiter = createRateLimiter({ maxBuckets: 5 });
  Array.from({ length: 50 }, (_, index) => limiter.take({ key: `k-${index}`, limit, nowMs: 0 }));
  t.is(limiter.size(), 5);
});
