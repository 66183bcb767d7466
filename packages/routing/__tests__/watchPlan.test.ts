import test from 'ava';
import { createWatchPlan } from '@bluebellhitch/routing';

const routers = Array.from({ length: 24 }, (_none, index) => `10.0.0.${index + 1}:7400`);

function createPlan(own: string, live: readonly string[] = routers.filter((one) => one !== own)) {
  return createWatchPlan({
    peers: () => ({ address: own, livePeers: () => live }),
    contactMs: 4_000,
    revocationMs: 5_000,
    random: () => 1,
  });
}

test('a few routers watch and relay, the others receive relayed changes', (t) => {
  const plans = routers.map((own) => createPlan(own));
  t.is(plans.filter((plan) => plan.isRelaying()).length, 3);
  t.is(plans.filter((plan) => plan.hasRelays()).length, 21);
});

test('a router without live peers watches for itself and relays nothing', (t) => {
  const alone = createPlan(routers[0] as string, []);
  t.false(alone.hasRelays());
  t.false(alone.isRelaying());
  t.deepEqual(alone.proofSources(Infinity), []);
});

test('relays are asked for a proof, and other routers too once that proof is late', (t) => {
  const receiver = routers.map((own) => createPlan(own)).find((plan) => plan.hasRelays());
  t.deepEqual(receiver?.proofSources(1_000), receiver?.relays());
  t.true((receiver?.proofSources(Infinity).length ?? 0) > 3);
});

test('a proof is renewed early enough for one call to be lost, and expires before the bound', (t) => {
  const plan = createPlan(routers[0] as string);
  // A lost call takes its watch duration plus 0.7 s, and half a second passes until the next one.
  t.true(plan.isFresh(plan.proofLeftMs(0) + 700 + 500));
  t.false(plan.isFresh(4_900));
  t.false(plan.isFresh(Infinity));
  t.true(plan.proofWatchWaitMs() * 2 + 700 < plan.proofLeftMs(0));
});
