import test from 'ava';
import { createFleetShares } from '@bluebellhitch/routing';

function sharesOf({ shardPeerCount = 0, shardCount = 1, routerCount = 1 }) {
  const addresses = Array.from(
    { length: shardPeerCount },
    (_none, index) => `10.0.0.${index + 1}:7400`,
  );
  const fleetShard = { shardPeers: () => addresses, shardCount: () => shardCount };
  return createFleetShares({ fleetShard, routerCount: () => routerCount });
}

test('a router that knows no other is capped at a fixed share', (t) => {
  t.is(sharesOf({}).connections(96), 12);
  t.deepEqual(sharesOf({}).furtherAttempts(160), { initial: 1, full: 20 });
});

test('shares shrink with the number of routers that use the same servers', (t) => {
  t.is(sharesOf({ shardPeerCount: 23 }).connections(480), 15);
  t.is(sharesOf({ shardPeerCount: 23, shardCount: 2 }).connections(480), 7);
  t.deepEqual(sharesOf({ routerCount: 25 }).furtherAttempts(100), { initial: 1, full: 2 });
});

test('a router always has connections to call a server and to poll its load', (t) => {
  t.is(sharesOf({ shardPeerCount: 99 }).connections(96), 2);
});

test('a router that no longer hears from the others keeps its share of the further attempts', (t) => {
  let routerCount = 24;
  const shares = createFleetShares({
    fleetShard: { shardPeers: () => [], shardCount: () => 1 },
    routerCount: () => routerCount,
  });
  const before = shares.furtherAttempts(88);
  routerCount = 4;
  t.deepEqual(shares.furtherAttempts(88), before);
});
