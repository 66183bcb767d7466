import test from 'ava';
import { fleetQuarantinePolicy as policy } from '../src/fleetQuarantinePolicy';
import type { QuarantineRecord } from '../src/quarantineRecords';
import { judgeTogether } from '../src/quarantineVerdicts';

interface Sketch {
  depth?: number;
  /** Numbers of the crashes, of which each happens 100 ms after the one before. */
  crashes: number[];
  cleared?: number[];
  /** All attempts began before the first crash. */
  isOneRound?: boolean;
}

function recordOf(fingerprint: string, sketch: Sketch): QuarantineRecord {
  const { depth, crashes, cleared = [], isOneRound = false } = sketch;
  return {
    ...{ service: 's', fingerprint, depth },
    strikes: crashes.map((number) => ({
      attemptId: `c${number}`,
      instanceId: `c${number}`,
      struckAtMs: number * 100,
      startedAtMs: isOneRound ? 0 : number * 100 - 50,
    })),
    clearedAttemptIds: cleared.map((number) => `c${number}`),
  };
}

function judge(sketches: Record<string, Sketch>, nowMs = 1_000) {
  const records = Object.entries(sketches).map(([name, sketch]) => recordOf(name, sketch));
  const isWidespread = ({ depth }: QuarantineRecord) => depth === 0;
  return judgeTogether(records, { policy, nowMs, isWidespread });
}

const held = (sketches: Record<string, Sketch>, nowMs?: number) =>
  [...judge(sketches, nowMs).keys()].sort();

test('a part that all crashed runs had is held, and the parts that sound requests have too are not', (t) => {
  // The first part is in every prompt of the route: holding it would refuse all of them.
  t.deepEqual(
    held({
      first: { depth: 0, crashes: [1, 2, 3, 4, 5, 6] },
      harmful: { depth: 1, crashes: [1, 2, 3, 4, 5, 6] },
      bystander: { depth: 1, crashes: [2, 4] },
      one: { crashes: [1, 2] },
      another: { crashes: [3, 4] },
    }),
    ['harmful'],
  );
});

test('a request that shares three crashes with a harmful part of others is not held for them', (t) => {
  // Where many engines end under one part, resumed streams of sound requests meet several of them.
  t.deepEqual(
    held({ harmful: { depth: 1, crashes: [1, 2, 3, 4] }, sound: { crashes: [2, 3, 4] } }),
    ['harmful'],
  );
});

test('a request that is repeated is held by itself, and its parts stay free', (t) => {
  t.deepEqual(held({ part: { depth: 1, crashes: [1, 2, 3] }, repeated: { crashes: [1, 2, 3] } }), [
    'repeated',
  ]);
  t.deepEqual(
    held({ part: { depth: 1, crashes: [1, 2, 3, 4] }, repeated: { crashes: [1, 2, 3] } }),
    ['part'],
  );
});

test('of two parts with the same crashes, the one that fewer requests have is held', (t) => {
  const same = { crashes: [1, 2, 3] };
  t.deepEqual(held({ outer: { depth: 1, ...same }, inner: { depth: 2, ...same } }), ['inner']);
  t.deepEqual(held({ left: { depth: 1, ...same }, right: { depth: 1, ...same } }), [
    'left',
    'right',
  ]);
});

test('two harmful parts at a time are both held', (t) => {
  t.deepEqual(
    held({
      first: { depth: 0, crashes: [1, 2, 3, 4, 5, 6] },
      one: { depth: 1, crashes: [1, 3, 5] },
      other: { depth: 1, crashes: [2, 4, 6] },
    }),
    ['one', 'other'],
  );
});

test('causes that share some crashes by chance are all held, and none of their crashes counts against other parts', (t) => {
  // Two parts and a request ended five engines within seconds. The request explained some crashes of both parts, which
  // were then not held, and the part that all requests share was.
  t.deepEqual(
    held({
      first: { depth: 0, crashes: [1, 2, 3, 4, 5, 6, 7, 8] },
      one: { depth: 1, crashes: [1, 3, 5] },
      other: { depth: 1, crashes: [2, 4, 6] },
      repeated: { crashes: [3, 4, 7] },
    }),
    ['one', 'other', 'repeated'],
  );
});

test('requests do not explain the crashes of other requests', (t) => {
  // Either of them may be the cause.
  t.deepEqual(held({ one: { crashes: [1, 2, 3, 4] }, other: { crashes: [1, 2, 3] } }), [
    'one',
    'other',
  ]);
});

test('a part that most requests have is held only after five crashes one after the other', (t) => {
  // Servers that lose power one after the other must not take a whole route out of service.
  t.deepEqual(held({ first: { depth: 0, crashes: [1, 2, 3, 4] } }), []);
  t.deepEqual(held({ first: { depth: 0, crashes: [1, 2, 3, 4, 5], isOneRound: true } }), []);
  t.deepEqual(held({ first: { depth: 0, crashes: [1, 2, 3, 4, 5], cleared: [2] } }), []);
  t.deepEqual(held({ first: { depth: 0, crashes: [1, 2, 3, 4, 5] } }), ['first']);
});

test('a part that most requests have is tried again, after a pause that grows with each crash', (t) => {
  // Once it is held back by mistake, nothing runs that could clear it.
  const firstPart = { depth: 0, crashes: [1, 2, 3, 4, 5] };
  const verdictAt = (nowMs: number, crashes = firstPart.crashes) =>
    judge({ first: { ...firstPart, crashes } }, nowMs).get('first');
  t.like(verdictAt(600), { kind: 'quarantined', isTrialDue: false, retryAfterMs: 9_900 });
  t.like(verdictAt(10_499), { isTrialDue: false, retryAfterMs: 1 });
  t.like(verdictAt(10_500), { isTrialDue: true });
  t.like(verdictAt(20_000, [1, 2, 3, 4, 5, 105]), { isTrialDue: false, retryAfterMs: 20_500 });
  t.like(verdictAt(40_500, [1, 2, 3, 4, 5, 105]), { isTrialDue: true });
});

test('any part that is held by mistake is tried again, the sooner the fewer crashes it had', (t) => {
  // A part that few requests have may share three crashes of other causes.
  const verdictAt = (nowMs: number, crashes: number[]) =>
    judge({ part: { depth: 1, crashes } }, nowMs).get('part');
  t.like(verdictAt(60_299, [1, 2, 3]), { kind: 'quarantined', isTrialDue: false, retryAfterMs: 1 });
  t.like(verdictAt(60_300, [1, 2, 3]), { isTrialDue: true });
  t.like(verdictAt(60_400, [1, 2, 3, 4]), { isTrialDue: false, retryAfterMs: 540_000 });
});

test('crashes of servers that end together hold no part', (t) => {
  t.deepEqual(held({ part: { depth: 1, crashes: [1, 2, 3], isOneRound: true } }), []);
});

// Guards against a route that is refused whole: ten causes with one crash each have only the first part in common.
test('many causes with few crashes each do not count against a part that is proven', (t) => {
  const sketches = {
    first: { depth: 0, crashes: [1, 2, 3, 4, 5, 6] },
    ...Object.fromEntries([1, 2, 3, 4, 5, 6].map((one) => [`q${one}`, { crashes: [one] }])),
  };
  t.deepEqual(held(sketches), ['first']);
  const records = Object.entries(sketches).map(([name, sketch]) => recordOf(name, sketch));
  const isFirst = ({ depth }: QuarantineRecord) => depth === 0;
  const options = { policy, nowMs: 1_000, isWidespread: isFirst, isProven: isFirst };
  t.deepEqual([...judgeTogether(records, options).keys()], []);
  const alone = records.filter(({ fingerprint }) => fingerprint === 'first');
  t.deepEqual([...judgeTogether(alone, options).keys()], ['first']);
});
