import test from 'ava';
import { createUnsettledRuns } from '../src/unsettledRuns';

const create = () => createUnsettledRuns<string>({ settleMs: 1_000, maxRunsPerServer: 3 });

test('a run has settled once its server responds some time after it began to write', (t) => {
  const runs = create();
  runs.begin('s1', 'a', 0);
  runs.begin('s1', 'b', 400);
  runs.begin('s2', 'c', 0);
  t.deepEqual(runs.noteAlive('s1', 999), []);
  t.deepEqual(runs.noteAlive('s1', 1_000), ['a']);
  t.deepEqual(runs.noteAlive('s1', 5_000), ['b']);
  t.deepEqual(runs.noteAlive('s1', 9_000), []);
});

test('the end of a server suspects the runs that had only just begun', (t) => {
  // A short answer may be complete before the engine that wrote it ends.
  const runs = create();
  runs.begin('s1', 'long before', 0);
  runs.begin('s1', 'just before', 4_500);
  t.deepEqual(runs.noteEnded('s1', 5_000), ['just before']);
  t.deepEqual(runs.noteEnded('s1', 5_000), []);
  t.deepEqual(runs.noteAlive('s1', 9_000), []);
});

test('holds a bounded number of runs of a server', (t) => {
  const runs = create();
  ['a', 'b', 'c', 'd'].forEach((run) => runs.begin('s1', run, 0));
  t.deepEqual(runs.noteAlive('s1', 1_000), ['b', 'c', 'd']);
});
