/** Which of several holders gives way once they hold too much together. */
import test from 'ava';
import { createHoldings } from '@bluebellhitch/ports';

function openNamed(limitBytes: number, names: readonly string[]) {
  const holdings = createHoldings(limitBytes);
  const gone: string[] = [];
  const all = names.map((name) => holdings.open(() => gone.push(name)));
  return { holdings, gone, all };
}

test('the one that holds the most gives way, and the others go on', (t) => {
  // Short answers would be lost to the ones that have no end.
  const { holdings, gone, all } = openNamed(100, ['short', 'endless', 'other']);
  all.forEach((holding, index) => holding.set([5, 60, 35][index] ?? 0));
  t.deepEqual(gone, []);
  all[0]?.add(1);
  t.deepEqual(gone, ['endless']);
  t.is(holdings.heldBytes(), 41);
});

test('as many give way as hold too much', (t) => {
  // Memory would stay full after a large part.
  const { holdings, gone, all } = openNamed(100, ['a', 'b', 'c']);
  all.forEach((holding) => holding.set(33));
  all[2]?.set(101);
  t.deepEqual(gone, ['c']);
  all[0]?.add(60);
  all[1]?.add(20);
  t.deepEqual(gone, ['c', 'a']);
  t.is(holdings.heldBytes(), 53);
});

test('what has given way or ended holds nothing, whatever it is told later', (t) => {
  // The account would count memory that is free, and refuse ever more.
  const { holdings, gone, all } = openNamed(100, ['a', 'b']);
  all[0]?.set(101);
  all[0]?.add(50);
  all[0]?.set(80);
  t.is(holdings.heldBytes(), 0);
  all[1]?.set(70);
  all[1]?.end();
  all[1]?.end();
  t.is(holdings.heldBytes(), 0);
  t.deepEqual(gone, ['a']);
});
