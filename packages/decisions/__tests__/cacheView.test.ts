import test from 'ava';
import { createCacheView, type CacheViewEvent } from '../src';

function stored(sequence: number, block: string): CacheViewEvent {
  return { kind: 'stored', sequence, block };
}

test('counts leading blocks that are stored', (t) => {
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

test('ignores events that come again', (t) => {
  const view = createCacheView();
  view.apply([stored(1, 'a'), { kind: 'evicted', sequence: 2, block: 'a' }], 0);
  view.apply([stored(1, 'a')], 0);
  t.is(view.cachedBlocks(['a'], 0), 0);
});

// Events are lost, among them perhaps the eviction of a block. Forgetting everything would throw away
// what is mostly right; believing it forever would send requests to a cache that has long gone.
test('believes what it knew before a gap for a limited time', (t) => {
  const view = createCacheView({ doubtfulForMs: 1000 });
  view.apply([stored(1, 'a'), stored(2, 'b')], 0);
  view.apply([stored(5, 'c')], 500);
  t.is(view.cachedBlocks(['a'], 1400), 1);
  t.is(view.cachedBlocks(['a'], 1500), 0);
  t.is(view.cachedBlocks(['c'], 1500), 1);
});

test('blocks of a finished prompt are known before their events', (t) => {
  const view = createCacheView();
  view.observe(['a', 'b'], 0);
  t.is(view.cachedBlocks(['a', 'b', 'c'], 0), 2);
  t.is(view.lastSequence(), 0);
});

test('keeps the most recent blocks within its bound', (t) => {
  const view = createCacheView({ maxBlocks: 2 });
  view.apply([stored(1, 'a'), stored(2, 'b'), stored(3, 'c')], 0);
  t.is(view.size(), 2);
  t.is(view.cachedBlocks(['a'], 0), 0);
  t.is(view.cachedBlocks(['b', 'c'], 0), 2);
});
