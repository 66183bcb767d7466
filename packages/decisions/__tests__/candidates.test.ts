import test from 'ava';
import fc from 'fast-check';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createCandidateSelector, prefixKey, selectCandidates } from '../src/candidates';
import { createLoadHints } from '../src/loadHints';
import { fixedSeed, instances, loadHint } from './helpers/fixtures';

function selectorOptions(seed = 1) {
  return {
    entryId: 'entry-1',
    dataCentre: 'north',
    hints: createLoadHints(),
    random: createSeededRandom(seed),
  };
}

test('candidates are distinct, live, serve the need and are not excluded', (t) => {
  const instance = fc.record({
    dataCentre: fc.constantFrom('north', 'south'),
    role: fc.constantFrom('prefill', 'decode', 'both', 'plain'),
    state: fc.constantFrom('live', 'leaving'),
  });
  const fleet = fc.array(instance, { maxLength: 40, size: 'max' });
  fc.assert(
    fc.property(fleet, fc.nat(), fc.array(fc.nat(39)), (generated, seed, excludedIndexes) => {
      const all = generated.map((item, index) => ({ ...item, id: `i-${index}` }));
      const excluded = new Set(excludedIndexes.map((index) => `i-${index}`));
      const query = { instances: all, need: 'decode' as const, key: 'k', excluded, nowMs: 0 };
      const chosen = selectCandidates({ ...selectorOptions(seed), ...query });
      const eligible = all.filter(
        ({ id, role, state }) =>
          state === 'live' && ['decode', 'both'].includes(role) && !excluded.has(id),
      );
      const ids = chosen.map(({ instanceId }) => instanceId);
      t.is(new Set(ids).size, ids.length);
      t.true(ids.every((id) => eligible.some((item) => item.id === id)));
      const local = eligible.filter(({ dataCentre }) => dataCentre === 'north');
      const expected = { 0: eligible.length, 1: Math.min(2, eligible.length) }[local.length];
      t.is(chosen.length, Math.min(3, expected ?? local.length));
    }),
    fixedSeed,
  );
});

test('a single local worker is asked together with a remote one, a plain server alone', (t) => {
  const fleet = [
    { id: 'local', dataCentre: 'north', state: 'live' as const },
    { id: 'remote-1', dataCentre: 'south', state: 'live' as const },
    { id: 'remote-2', dataCentre: 'south', state: 'live' as const },
  ];
  const select = (role: 'both' | 'plain', need: 'decode' | 'plain') =>
    selectCandidates({
      ...selectorOptions(),
      instances: fleet.map((item) => ({ ...item, role })),
      need,
      nowMs: 0,
    }).map(({ reason }) => reason);
  t.deepEqual(select('both', 'decode'), ['low-load', 'remote']);
  t.deepEqual(select('plain', 'plain'), ['low-load']);
});

test('all entries agree on the home of a prefix while it is not overloaded', (t) => {
  const fleet = instances(100);
  const homes = ['entry-1', 'entry-2', 'entry-3'].map((entryId) => {
    const options = { ...selectorOptions(), entryId, instances: fleet, nowMs: 0 };
    return selectCandidates({ ...options, need: 'decode', key: 'service/prefix' })[0];
  });
  t.is(homes[0]?.reason, 'prefix-home');
  t.is(new Set(homes.map((home) => home?.instanceId)).size, 1);
});

test('an overloaded home is replaced by the next worker in the rendezvous order', (t) => {
  const options = selectorOptions();
  const selector = createCandidateSelector(options);
  const query = {
    instances: instances(8),
    membershipVersion: 1,
    need: 'decode' as const,
    key: 'service/prefix',
    nowMs: 0,
  };
  const home = selector.select(query)[0]?.instanceId;
  instances(8).forEach(({ id }) =>
    options.hints.record(id, loadHint({ freeKvBytes: id === home ? 0 : 90 }), 0),
  );
  const next = selector.select(query)[0];
  t.not(next?.instanceId, home);
  t.is(next?.reason, 'prefix-home');
});

test('picks the less loaded of two: a full worker is picked less often than an empty one', (t) => {
  const options = selectorOptions(5);
  const fleet = instances(4);
  fleet.forEach(({ id }, index) =>
    options.hints.record(id, loadHint({ freeKvBytes: index === 0 ? 0 : 100 }), 0),
  );
  const selector = createCandidateSelector({ ...options, count: 1 });
  const query = { instances: fleet, membershipVersion: 1, need: 'decode' as const, nowMs: 0 };
  const picks = Array.from({ length: 400 }, () => selector.select(query)[0]?.instanceId);
  const full = picks.filter((id) => id === 'north-0').length;
  // A uniform choice would give 100, the power of two choices gives 400 / 16.
  t.true(full > 5 && full < 50, `${full}`);
});

// Guards against callers that wait in a queue although another data centre is idle: the local workers have
// reported a wait of 300 ms, so a remote candidate must be asked too.
test('remote workers are added only while the local ones are saturated', (t) => {
  const options = selectorOptions();
  const fleet = [...instances(3), ...instances(3, { dataCentre: 'south' })];
  const selector = createCandidateSelector(options);
  const query = { instances: fleet, membershipVersion: 1, need: 'decode' as const, nowMs: 0 };
  t.true(selector.select(query).every(({ dataCentre }) => dataCentre === 'north'));
  instances(3).forEach(({ id }) => options.hints.record(id, loadHint({ queueWaitMs: 300 }), 0));
  const reasons = selector.select(query).map(({ reason }) => reason);
  t.deepEqual(reasons, ['low-load', 'low-load', 'remote']);
  t.true(selector.select({ ...query, nowMs: 5_000 }).every(({ reason }) => reason === 'low-load'));
});

// Guards against requests to a server that is leaving: the instance list lags by ten seconds and still shows
// it as live, but the server's own hint is newer.
test('a server that reported that it is leaving is no candidate, even if still listed as live', (t) => {
  const options = selectorOptions();
  const fleet = instances(2);
  options.hints.record('north-0', loadHint({ leaving: true }), 0);
  const query = { instances: fleet, need: 'decode' as const, nowMs: 12_000 };
  const chosen = selectCandidates({ ...options, ...query });
  t.deepEqual(
    chosen.map(({ instanceId }) => instanceId),
    ['north-1'],
  );
});

test('a role reported by the server overrides the one in the instance list', (t) => {
  const options = selectorOptions();
  const selector = createCandidateSelector(options);
  const query = { instances: instances(2), membershipVersion: 1, nowMs: 0 };
  t.is(selector.select({ ...query, need: 'prefill' }).length, 0);
  options.hints.record('north-0', loadHint({ role: 'prefill' }), 0);
  t.is(selector.select({ ...query, need: 'prefill' })[0]?.instanceId, 'north-0');
});

test('entry processes spread over the workers: no worker is in most subsets', (t) => {
  const fleet = instances(100);
  const chosen = Array.from({ length: 300 }, (_, index) => {
    const options = { ...selectorOptions(index), entryId: `entry-${index}`, subsetSize: 8 };
    const query = { instances: fleet, need: 'decode' as const, nowMs: 0 };
    return selectCandidates({ ...options, ...query }).map(({ instanceId }) => instanceId);
  }).flat();
  const counts = fleet.map(({ id }) => chosen.filter((other) => other === id).length);
  // 900 picks over 100 workers: 9 each on average.
  t.true(Math.max(...counts) < 30, `${Math.max(...counts)}`);
  t.true(counts.filter((count) => count === 0).length < 5);
});

test('the prefix key depends only on the first blocks', (t) => {
  t.is(prefixKey('s', []), undefined);
  t.is(prefixKey('s', ['a', 'b', 'c', 'd', 'e']), prefixKey('s', ['a', 'b', 'c', 'd', 'f']));
  t.not(prefixKey('s', ['a']), prefixKey('other', ['a']));
});
