import test from 'ava';
import fc from 'fast-check';
import { createWeightedFairOrder } from '../src/weightedFairOrder';
import { fixedSeed } from './helpers/fixtures';

test('flows with work waiting are served in proportion to their weights', (t) => {
  const order = createWeightedFairOrder<string>();
  Array.from({ length: 400 }, (_, index) => {
    order.add({ item: `a${index}`, flow: 'a', weight: 3, deadlineAtMs: index });
    order.add({ item: `b${index}`, flow: 'b', weight: 1, deadlineAtMs: index });
  });
  const served = Array.from({ length: 200 }, () => order.next()?.[0]);
  t.is(served.filter((flow) => flow === 'a').length, 150);
});

// Guards against a flow that was idle for an hour and then delays all others with its backlog: by counting
// served items only, it would be owed the whole hour. It starts at the current virtual time instead.
test('an idle flow earns no credit, and a flood of another flow does not delay it', (t) => {
  const order = createWeightedFairOrder<string>();
  const addAll = (flow: string) =>
    Array.from({ length: 1_000 }, (_, deadlineAtMs) =>
      order.add({ item: flow, flow, weight: 1, deadlineAtMs }),
    );
  addAll('steady');
  Array.from({ length: 500 }, () => order.next());
  addAll('returning');
  const served = Array.from({ length: 100 }, () => order.next());
  const turns = served.filter((flow) => flow === 'returning').length;
  t.true(turns >= 49 && turns <= 51, `${turns}`);
});

test('inside a flow the earliest deadline comes first, and nothing is lost or repeated', (t) => {
  const items = fc.array(
    fc.record({ flow: fc.constantFrom('a', 'b', 'c'), deadlineAtMs: fc.nat(50) }),
    {
      maxLength: 60,
      size: 'max',
    },
  );
  fc.assert(
    fc.property(items, fc.array(fc.nat(59), { maxLength: 20, size: 'max' }), (waiting, removed) => {
      const order = createWeightedFairOrder<(typeof waiting)[number]>();
      waiting.forEach((item) => order.add({ item, ...item, weight: 1 }));
      const removedItems = new Set(removed.flatMap((index) => waiting[index] ?? []));
      removedItems.forEach((item) => t.true(order.remove(item)));
      t.is(order.size(), waiting.length - removedItems.size);
      const served = waiting.map(() => order.next()).filter((item) => item !== undefined);
      t.true(served.every((item) => waiting.includes(item) && !removedItems.has(item)));
      t.is(new Set(served).size, waiting.length - removedItems.size);
      t.is(served.length, waiting.length - removedItems.size);
      ['a', 'b', 'c'].forEach((flow) => {
        const deadlines = served
          .filter((item) => item.flow === flow)
          .map((item) => item.deadlineAtMs);
        t.deepEqual(
          deadlines,
          [...deadlines].sort((left, right) => left - right),
        );
      });
    }),
    fixedSeed,
  );
});
