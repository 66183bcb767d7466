import test from 'ava';
import { chooseBid, type BidChoiceOptions, type CandidateBid } from '../src/bidChoice';
import { createLinkRates } from '../src/linkRate';
import { initialPhaseModel } from '../src/phaseModel';
import { bid } from './helpers/fixtures';

const prefillBid: CandidateBid = {
  instanceId: 'prefill-1',
  bid: bid({}, { role: 'prefill', stepMs: 0.1 }),
};

function options(
  decodeBids: CandidateBid[],
  overrides: Partial<BidChoiceOptions> = {},
): BidChoiceOptions {
  return {
    decodeBids,
    prefillBids: [prefillBid],
    promptTokens: 2_000,
    targets: { firstTokenMs: 620, betweenTokensMs: 28 },
    weights: { goodput: 1, wastedPrefill: 0.25 },
    model: initialPhaseModel,
    linkRates: createLinkRates(),
    ...overrides,
  };
}

test('reserves where the slot is usable in time, with a transfer for a long prompt', (t) => {
  const choice = chooseBid(
    options([
      { instanceId: 'busy', bid: bid({ usableInMs: 500 }) },
      { instanceId: 'free', bid: bid() },
    ]),
  );
  t.like(choice, {
    kind: 'reserve',
    instanceId: 'free',
    prefill: 'transfer',
    prefillInstanceId: 'prefill-1',
    expected: { neededInMs: 200, uncachedTokens: 2_000, late: false },
  });
});

test('a short prompt, or one mostly cached at the decode worker, is prefilled there', (t) => {
  const free = { instanceId: 'free', bid: bid() };
  const cached = { instanceId: 'cached', bid: bid({ cachedPrefixTokens: 1_900 }) };
  t.like(chooseBid(options([free], { promptTokens: 60 })), { prefill: 'local' });
  t.like(chooseBid(options([cached])), { instanceId: 'cached', prefill: 'local' });
  t.like(chooseBid(options([free], { prefillBids: [] })), { prefill: 'local' });
});

test('takes the rate of the link to the prefill worker into account', (t) => {
  const linkRates = createLinkRates();
  linkRates.observe({ sourceId: 'prefill-1', targetId: 'far', bytes: 1e8, durationMs: 2_000 });
  const decodeBids = ['far', 'near'].map((instanceId) => ({ instanceId, bid: bid() }));
  t.like(chooseBid(options(decodeBids, { linkRates })), { instanceId: 'near' });
});

test('a refusal has a reason and a retry delay', (t) => {
  const leaving = { instanceId: 'a', bid: bid({}, { leaving: true }) };
  const unusable = { instanceId: 'a', bid: bid({ usableInMs: undefined }) };
  const late = { instanceId: 'a', bid: bid({ usableInMs: 4_000 }) };
  t.like(chooseBid(options([leaving])), { kind: 'refuse', reason: 'no-instances' });
  t.like(chooseBid(options([unusable])), { kind: 'refuse', reason: 'no-capacity' });
  const refused = chooseBid(options([late]));
  t.like(refused, { kind: 'refuse', reason: 'deadline-hopeless' });
  t.true(refused.kind === 'refuse' && refused.retryAfterMs > 3_000);
});

// Guards against transfers over a congested link: the prompt waits for the prefill worker's link, although
// the decode worker could compute it in a third of the time.
test('the decode worker prefills a long prompt if a transfer would take longer', (t) => {
  const computing = bid({ prefillWaitMs: 0, prefillMsPerToken: 0.1 });
  const congested = { instanceId: 'prefill-1', bid: bid({ exportMs: 700 }, { role: 'prefill' }) };
  const decodeBids = [{ instanceId: 'free', bid: computing }];
  t.like(chooseBid(options(decodeBids)), { prefill: 'transfer' });
  const choice = chooseBid(options(decodeBids, { prefillBids: [congested] }));
  t.like(choice, { instanceId: 'free', prefill: 'local' });
});

test('prefers a decode worker without queued prompts for a local prefill', (t) => {
  const busy = { instanceId: 'busy', bid: bid({ prefillWaitMs: 900, prefillMsPerToken: 0.1 }) };
  const idle = { instanceId: 'idle', bid: bid({ prefillWaitMs: 0, prefillMsPerToken: 0.1 }) };
  const congested = { instanceId: 'prefill-1', bid: bid({ exportMs: 700 }, { role: 'prefill' }) };
  const choice = chooseBid(options([busy, idle], { prefillBids: [congested] }));
  t.like(choice, { instanceId: 'idle', prefill: 'local' });
});

// Guards against lost goodput under overload: each long prompt that a full worker accepts makes several
// typical requests miss their first-token target.
test('a long prompt is refused if typical requests wait for the same slot', (t) => {
  const contended = { instanceId: 'full', bid: bid({ usableInMs: 150 }) };
  const free = { instanceId: 'free', bid: bid() };
  const long = { promptTokens: 3_000, prefillBids: [prefillBid] };
  const typical = { promptTokens: 1_000, prefillBids: [prefillBid] };
  t.like(chooseBid(options([contended], typical)), { kind: 'reserve' });
  t.like(chooseBid(options([contended], long)), { kind: 'refuse', reason: 'deadline-hopeless' });
  t.like(chooseBid(options([free], long)), { kind: 'reserve' });
});

// A long prompt delays the tokens of the worker's running streams. Many of them make all its responses miss
// the time between tokens, although a single one does not. The worker has to stop before its slow steps reach
// the target of 28 ms, because the path to the caller adds to the delay.
test('a decode worker with slow steps prefills no long prompts', (t) => {
  const prefilling = { prefillWaitMs: 0, prefillMsPerToken: 0.1 };
  const congested = { instanceId: 'prefill-1', bid: bid({ exportMs: 350 }, { role: 'prefill' }) };
  const choose = (slowStepMs: number) =>
    chooseBid(
      options([{ instanceId: 'a', bid: bid({ ...prefilling, slowStepMs }) }], {
        prefillBids: [congested],
      }),
    );
  t.like(choose(23), { prefill: 'local' });
  t.like(choose(25), { prefill: 'transfer' });
});

// A server with half of its memory in use is not idle: a request that is late in any case would make its
// running streams late as well.
test('a request that will miss its target is served only by idle servers', (t) => {
  const late = { promptTokens: 16_000, prefillBids: [] };
  const idle = { instanceId: 'a', bid: bid({ prefillWaitMs: 0 }, { freeKvBytes: 60 }) };
  const used = { instanceId: 'a', bid: bid({ prefillWaitMs: 0 }, { freeKvBytes: 40 }) };
  const computing = { instanceId: 'a', bid: bid({ prefillWaitMs: 80 }, { freeKvBytes: 60 }) };
  t.like(chooseBid(options([idle], late)), { kind: 'reserve', expected: { late: true } });
  t.like(chooseBid(options([used], late)), { kind: 'refuse' });
  t.like(chooseBid(options([computing], late)), { kind: 'refuse' });
});
