import test from 'ava';
import { createWatchPlan } from '@bluebellhitch/routing';

const routers = Array.from({ length: 24 }, (_none, at) => `10.0.0.${at + 1}:7400`);

function planOf(own: string, live: readonly string[] = routers.filter((one) => one !== own)) {
  return createWatchPlan({
    peers: () => ({ address: own, livePeers: () => live }),
    contactMs: 4_000,
    revocationMs: 5_000,
    random: () => 1,
  });
}

test('a few follow and tell, the rest are told', (t) => {
  const plans = routers.map((own) => planOf(own));
  t.is(plans.filter((plan) => plan.isTelling()).length, 3);
  t.is(plans.filter((plan) => plan.isToldByOthers()).length, 21);
});

test('a router that hears nobody follows for itself, and tells nobody', (t) => {
  const alone = planOf(routers[0] as string, []);
  t.false(alone.isToldByOthers());
  t.false(alone.isTelling());
  t.deepEqual(alone.witnesses(Infinity), []);
});

test('those that follow are asked, and others too once their word comes too late', (t) => {
  const told = routers.map((own) => planOf(own)).find((plan) => plan.isToldByOthers());
  t.deepEqual(told?.witnesses(1_000), told?.followers());
  t.true((told?.witnesses(Infinity).length ?? 0) > 3);
});

test('a proof is renewed in time for one call to be lost, and given up before the bound', (t) => {
  const plan = planOf(routers[0] as string);
  // A call that is lost takes its wait and 0.7 s, and half a second passes until the next.
  t.true(plan.isFresh(plan.proofLeftMs(0) + 700 + 500));
  t.false(plan.isFresh(4_900));
  t.false(plan.isFresh(Infinity));
  t.true(plan.provingWaitMs() * 2 + 700 < plan.proofLeftMs(0));
});
