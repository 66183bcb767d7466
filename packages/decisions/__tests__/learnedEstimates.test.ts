import test from 'ava';
import { createLearnedEstimates } from '../src';

const summary = { serverId: 'a', value: 10, weight: 2, ageMs: 0 };

test('a server without samples has no estimate, and none has a typical one', (t) => {
  const estimates = createLearnedEstimates();
  t.is(estimates.estimate('a', 0), undefined);
  t.is(estimates.typical(0), undefined);
  t.deepEqual(estimates.ownSince(-Infinity, 0), []);
});

test('follows a server that becomes seven times as slow within a few samples', (t) => {
  const estimates = createLearnedEstimates({ smoothing: 0.25 });
  Array.from({ length: 20 }, (_none, index) => estimates.observe('a', 70, index * 100));
  t.is(Math.round(estimates.estimate('a', 2_000) ?? 0), 70);
  Array.from({ length: 8 }, (_none, index) => estimates.observe('a', 10, 2_000 + index * 100));
  t.true((estimates.estimate('a', 2_800) ?? 70) < 17);
});

test('an engine that nobody has used for the lifetime counts as unknown again', (t) => {
  const estimates = createLearnedEstimates({ lifetimeMs: 1_000 });
  estimates.observe('a', 10, 0);
  estimates.applyRemote('peer', [summary], 0);
  t.is(estimates.estimate('a', 1_000), 10);
  t.is(estimates.estimate('a', 1_001), undefined);
  t.is(estimates.typical(1_001), undefined);
  t.deepEqual(estimates.ownSince(-Infinity, 1_001), []);
});

test('merges own samples with those of peers by weight and age', (t) => {
  const estimates = createLearnedEstimates({ halfLifeMs: 1_000, lifetimeMs: 10_000 });
  estimates.observe('a', 40, 0);
  estimates.applyRemote('peer', [{ ...summary, weight: 3 }], 0);
  t.is(estimates.estimate('a', 0), (40 + 3 * 10) / 4);
  estimates.applyRemote('peer', [{ ...summary, weight: 2, ageMs: 1_000 }], 0);
  t.is(estimates.estimate('a', 0), 25, 'two samples of half the weight');
});

test('a summary replaces the earlier one of its peer, and repeats change nothing', (t) => {
  const estimates = createLearnedEstimates();
  estimates.applyRemote('peer', [summary], 0);
  estimates.applyRemote('peer', [{ ...summary, value: 20 }], 0);
  estimates.applyRemote('peer', [{ ...summary, value: 20 }], 0);
  estimates.applyRemote('other', [{ ...summary, value: 40 }], 0);
  t.is(estimates.estimate('a', 0), 30);
  estimates.dropPeer('other');
  t.is(estimates.estimate('a', 0), 20);
});

test('peers cannot outweigh others by stating a weight beyond that of recent samples', (t) => {
  const estimates = createLearnedEstimates({ smoothing: 0.5 });
  estimates.applyRemote('peer', [{ ...summary, weight: 1e9 }], 0);
  estimates.applyRemote('other', [{ ...summary, value: 30, weight: 2 }], 0);
  t.is(estimates.estimate('a', 0), 20);
});

test('ignores summaries and samples that are no numbers or have expired', (t) => {
  const estimates = createLearnedEstimates({ lifetimeMs: 1_000 });
  estimates.observe('a', NaN, 0);
  estimates.applyRemote('peer', [{ ...summary, value: Infinity }], 0);
  estimates.applyRemote('peer', [{ ...summary, weight: 0 }], 0);
  estimates.applyRemote('peer', [{ ...summary, ageMs: 1_001 }], 0);
  t.is(estimates.estimate('a', 0), undefined);
});

test('the typical value is the median over servers, whoever sampled them', (t) => {
  const estimates = createLearnedEstimates();
  estimates.observe('a', 1, 0);
  estimates.observe('b', 5, 0);
  estimates.applyRemote('peer', [{ ...summary, serverId: 'c', value: 90 }], 0);
  t.is(estimates.typical(0), 5);
  estimates.observe('d', 7, 0);
  t.is(estimates.typical(100), 6);
});

test('tells own summaries with samples since a time, with their age', (t) => {
  const estimates = createLearnedEstimates();
  estimates.observe('a', 10, 100);
  estimates.observe('b', 20, 200);
  estimates.applyRemote('peer', [{ ...summary, serverId: 'c' }], 250);
  t.deepEqual(estimates.ownSince(100, 300), [{ serverId: 'b', value: 20, weight: 1, ageMs: 100 }]);
  t.is(estimates.ownSince(0, 300).length, 2);
});

test('forgets a removed server with all that peers have told of it', (t) => {
  const estimates = createLearnedEstimates();
  estimates.observe('a', 10, 0);
  estimates.applyRemote('peer', [summary], 0);
  estimates.forget('a');
  t.is(estimates.estimate('a', 0), undefined);
});

/** Guards against memory that grows with forged senders, or with servers that are never removed. */
test('keeps a bounded number of servers, and of peers for each', (t) => {
  const estimates = createLearnedEstimates({ maxServers: 2, maxPeers: 2, smoothing: 0.5 });
  ['a', 'b', 'c'].forEach((id) => estimates.observe(id, 1, 0));
  t.deepEqual(
    ['a', 'b', 'c'].map((id) => estimates.estimate(id, 0)),
    [undefined, 1, 1],
  );
  [10, 20, 30].forEach((value, index) =>
    estimates.applyRemote(`peer ${index}`, [{ serverId: 'd', value, weight: 1, ageMs: 0 }], 0),
  );
  t.is(estimates.estimate('d', 0), 25);
});
