import test from 'ava';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createLoadHints, resolvePolicyPlan, rankWorkers, type RankOptions } from '../src';
import { instances, loadHint } from './helpers/fixtures';

const decodeWorkers = instances(4);
const prefillWorkers = instances(2, { role: 'prefill', dataCentre: 'south' });

function rank(overrides: Partial<RankOptions>): string[] {
  return rankWorkers({
    by: 'random',
    instances: [...decodeWorkers, ...prefillWorkers],
    need: 'decode',
    hints: createLoadHints(),
    excluded: new Set(),
    random: createSeededRandom(3),
    nowMs: 0,
    ...overrides,
  }).map(({ id }) => id);
}

test('only the default policy uses bids and reserves decode memory before the prefill', (t) => {
  t.deepEqual(resolvePolicyPlan('default'), { workers: 'bids', reservesFirst: true });
  t.deepEqual(resolvePolicyPlan('random'), { workers: 'random', reservesFirst: false });
  t.deepEqual(resolvePolicyPlan('least-loaded'), { workers: 'last-hint', reservesFirst: true });
  t.deepEqual(resolvePolicyPlan('prefill-first'), { workers: 'bids', reservesFirst: false });
});

test('a random ranking has every worker that serves the need and is not excluded', (t) => {
  const ranked = rank({ excluded: new Set(['north-2']) });
  t.deepEqual([...ranked].sort(), ['north-0', 'north-1', 'north-3']);
  t.deepEqual([...rank({ need: 'prefill' })].sort(), ['south-0', 'south-1']);
});

test('random rankings put each worker first about equally often', (t) => {
  const random = createSeededRandom(11);
  const firsts = Array.from({ length: 4_000 }, () => rank({ random })[0]);
  decodeWorkers.forEach(({ id }) => {
    const count = firsts.filter((first) => first === id).length;
    t.true(count > 900 && count < 1_100, `${id} came first ${count} times`);
  });
});

test('ranks by the last hint regardless of its age', (t) => {
  const hints = createLoadHints();
  const freeKvBytes = [10, 90, 40, 70];
  decodeWorkers.forEach(({ id }, index) =>
    hints.record(id, loadHint({ freeKvBytes: freeKvBytes[index] }), 0),
  );
  const ranked = rank({ by: 'last-hint', hints, nowMs: 60_000 });
  t.deepEqual(ranked, ['north-1', 'north-3', 'north-2', 'north-0']);
});
