import test from 'ava';
import { createCacheView, type CacheViewEvent } from '../src';

function stored(sequence: number, block: string): CacheViewEvent {
  return { kind: 'stored', sequence, block };
}

test('counts the leading blocks that are stored', (t) => {
  const view = createCacheView();
  view.apply([stored(1, 'a'), stored(2, 'b'), stored(3, 'd')], 0);
  t.is(view.cachedBlocks(['a', 'b', 'c', 'd'], 0), 2);
  t.is(view.cachedBlocks(['x'], 0), 0);
  t.is(view.cachedBlocks(['a', 'b'], 0), 2);
});

test('forgets evicted and cleared blocks', (t) => {
  const view = createCacheView();
  view.apply([stored(1, 'a'), stored(2, 'b'), { kind: 'evicted', sequence: 3, block: 'a' }], 0);
  t.is(view.cachedBlocks(['a'], 0), 0);
  view.apply([{ kind: 'cleared', sequence: 4 }], 0);
  t.is(view.size(), 0);
});

test('ignores duplicate events', (t) => {
  const view = createCacheView();
  view.apply([stored(1, 'a'), { kind: 'evicted', sequence: 2, block: 'a' }], 0);
  view.apply([stored(1, 'a')], 0);
  t.is(view.cachedBlocks(['a'], 0), 0);
});

// Lost events may include evictions. Dropping all blocks would discard entries that are mostly still valid;
// keeping them would send requests to caches that no longer hold them.
test('trusts blocks seen before a gap for a limited time', (t) => {
  const view = createCacheView({ trustAfterGapMs: 1000 });
  view.apply([stored(1, 'a'), stored(2, 'b')], 0);
  view.apply([stored(5, 'c')], 500);
  t.is(view.cachedBlocks(['a'], 1400), 1);
  t.is(view.cachedBlocks(['a'], 1500), 0);
  t.is(view.cachedBlocks(['c'], 1500), 1);
});

test('blocks of a finished prompt count before their events arrive', (t) => {
  const view = createCacheView();
  view.observe(['a', 'b'], 0);
  t.is(view.cachedBlocks(['a', 'b', 'c'], 0), 2);
  t.is(view.lastSequence(), 0);
});

test('keeps at most maxBlocks of the most recent blocks', (t) => {
  const view = createCacheView({ maxBlocks: 2 });
  view.apply([stored(1, 'a'), stored(2, 'b'), stored(3, 'c')], 0);
  t.is(view.size(), 2);
  t.is(view.cachedBlocks(['a'], 0), 0);
  t.is(view.cachedBlocks(['b', 'c'], 0), 2);
});
