import test from 'ava';
import fc from 'fast-check';
import { rendezvousOrder } from '@bluebellhitch/shared';

const identity = (member: string) => member;

test('removing a member keeps the order of the others', (t) => {
  const members = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
    minLength: 2,
    maxLength: 20,
  });
  fc.assert(
    fc.property(fc.string(), members, fc.nat(), (key, all, pick) => {
      const removed = all[pick % all.length];
      const before = rendezvousOrder(key, all, identity).filter((member) => member !== removed);
      const rest = all.filter((member) => member !== removed);
      t.deepEqual(rendezvousOrder(key, rest, identity), before);
    }),
    { seed: 7, numRuns: 100 },
  );
});

test('keys are distributed evenly over the members', (t) => {
  const members = Array.from({ length: 10 }, (_, index) => `instance-${index}`);
  const firsts = Array.from(
    { length: 10_000 },
    (_, index) => rendezvousOrder(`key-${index}`, members, identity)[0],
  );
  const counts = members.map((member) => firsts.filter((first) => first === member).length);
  t.true(Math.min(...counts) > 800, `${counts}`);
  t.true(Math.max(...counts) < 1200, `${counts}`);
});
