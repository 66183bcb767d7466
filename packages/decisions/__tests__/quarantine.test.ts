import test from 'ava';
import fc from 'fast-check';
import { invariant } from '@bluebellhitch/shared';
import { createQuarantine, type Quarantine } from '../src/quarantine';
import { mergeQuarantineRecords, type QuarantineRecord } from '../src/quarantineRecords';
import type { QuarantinePolicy } from '../src/quarantineVerdicts';
import { fixedSeed } from './helpers/fixtures';

const policy: QuarantinePolicy = { strikes: 2, durationMs: 600_000, release: [], block: [] };

function strikeOf(attemptId: string, fingerprint = 'f') {
  return { service: 's', fingerprint, attemptId, instanceId: `on-${attemptId}` };
}

function recordOf(quarantine: Quarantine): QuarantineRecord {
  const known = quarantine.record('s', 'f');
  invariant(known !== undefined, 'the fingerprint has no strikes');
  return known;
}

function query(nowMs: number, overrides: Partial<QuarantinePolicy> = {}) {
  return { service: 's', fingerprint: 'f', policy: { ...policy, ...overrides }, nowMs };
}

// Guards against a request that crashes one server after another: it is in flight when a server dies, is
// retried, and crashes the next one, which cuts off the responses of all other callers.
test('two strikes put a fingerprint into quarantine for the duration in the document', (t) => {
  const quarantine = createQuarantine();
  quarantine.strike(strikeOf('1'), 1_000);
  t.deepEqual(quarantine.verdict(query(1_000)), { kind: 'struck', strikeCount: 1 });
  quarantine.strike(strikeOf('2'), 5_000);
  t.like(quarantine.verdict(query(6_000)), { kind: 'quarantined', retryAfterMs: 599_000 });
  t.deepEqual(quarantine.verdict(query(605_000)), { kind: 'clear' });
});

// Guards against a request that may crash as many servers after each quarantine as before the first one.
test('after a quarantine one further crash renews it while earlier strikes still count', (t) => {
  const quarantine = createQuarantine();
  const longMemory = { memoryMs: 6_000_000 };
  ['1', '2'].forEach((attemptId) => quarantine.strike(strikeOf(attemptId), 0));
  t.is(quarantine.verdict(query(599_999, longMemory)).kind, 'quarantined');
  t.is(quarantine.verdict(query(600_000, longMemory)).kind, 'struck');
  quarantine.strike(strikeOf('3'), 700_000);
  t.like(quarantine.verdict(query(700_000, longMemory)), { retryAfterMs: 600_000 });
  t.is(quarantine.verdict(query(6_700_000, longMemory)).kind, 'clear');
});

// Guards against refusing what many callers send because all servers that ran it lost power together.
test('strikes of attempts that overlap count as one round', (t) => {
  const quarantine = createQuarantine();
  const twoRounds = { rounds: 2 };
  quarantine.strike({ ...strikeOf('1'), startedAtMs: 100 }, 1_000);
  quarantine.strike({ ...strikeOf('2'), startedAtMs: 900 }, 1_100);
  t.deepEqual(quarantine.verdict(query(1_100, twoRounds)), { kind: 'struck', strikeCount: 2 });
  t.is(quarantine.verdict(query(1_100)).kind, 'quarantined');
  quarantine.strike({ ...strikeOf('3'), startedAtMs: 1_000 }, 1_200);
  t.is(quarantine.verdict(query(1_200, twoRounds)).kind, 'quarantined');
});

// Guards against quarantining a request after a single crash: the entry, its agent's late response and a
// peer may each report the same crash of the same attempt.
test('a strike is counted once for each attempt', (t) => {
  const quarantine = createQuarantine();
  t.true(quarantine.strike(strikeOf('1'), 0));
  t.false(quarantine.strike(strikeOf('1'), 10));
  t.false(quarantine.merge(recordOf(quarantine), 20));
  t.is(quarantine.verdict(query(20)).kind, 'struck');
});

test('the document can release and block fingerprints', (t) => {
  const quarantine = createQuarantine();
  ['1', '2'].forEach((attemptId) => quarantine.strike(strikeOf(attemptId), 0));
  t.is(quarantine.verdict(query(1, { release: ['f'] })).kind, 'struck');
  t.is(quarantine.verdict(query(1, { release: ['f'], block: ['f'] })).kind, 'blocked');
});

// Guards against quarantining a harmless request that twice shared a server with one that crashes servers.
// It completed in between, so it did not cause the first crash: completing clears its strikes here and,
// after a merge, at the peers.
test('a request that completes is cleared, and stays cleared when a peer repeats the strike', (t) => {
  const quarantine = createQuarantine();
  quarantine.strike(strikeOf('1'), 0);
  const beforeCleared = recordOf(quarantine);
  t.true(quarantine.clear('s', 'f'));
  quarantine.merge(beforeCleared, 10);
  t.is(quarantine.verdict(query(10)).kind, 'clear');
  quarantine.strike(strikeOf('2'), 20);
  t.deepEqual(quarantine.verdict(query(20)), { kind: 'struck', strikeCount: 1 });
});

test('requests with strikes are kept on separate servers', (t) => {
  const quarantine = createQuarantine();
  quarantine.addPlacement('s', 'attempt-1', 'server-1');
  t.deepEqual([...quarantine.avoidInstances('s')], ['server-1']);
  t.is(quarantine.avoidInstances('other').size, 0);
  quarantine.removePlacement('attempt-1');
  t.is(quarantine.avoidInstances('s').size, 0);
});

test('a clock that is ahead cannot prolong a quarantine', (t) => {
  const quarantine = createQuarantine();
  const strikes = ['1', '2'].map((attemptId) => ({
    attemptId,
    instanceId: 'i',
    struckAtMs: 9_000_000,
  }));
  quarantine.merge({ service: 's', fingerprint: 'f', strikes, clearedAttemptIds: [] }, 0);
  t.is(quarantine.verdict(query(599_999)).kind, 'quarantined');
  t.is(quarantine.verdict(query(600_000)).kind, 'clear');
});

test('records may be merged in any order and any number of times', (t) => {
  const attemptId = fc.constantFrom('1', '2', '3', '4', '5');
  const strikes = fc.array(
    fc.record({ attemptId, instanceId: fc.constantFrom('a', 'b'), struckAtMs: fc.nat(5) }),
    { maxLength: 5, size: 'max' },
  );
  const record = fc
    .record({ strikes, clearedAttemptIds: fc.array(attemptId, { maxLength: 3, size: 'max' }) })
    .map((parts): QuarantineRecord => ({ service: 's', fingerprint: 'f', ...parts }));
  const merge = mergeQuarantineRecords;
  fc.assert(
    fc.property(record, record, record, (a, b, c) => {
      t.deepEqual(merge(a, b), merge(b, a));
      t.deepEqual(merge(merge(a, b), c), merge(a, merge(b, c)));
      t.deepEqual(merge(merge(a, b), b), merge(a, b));
    }),
    fixedSeed,
  );
});

test('holds a bounded number of fingerprints and removes expired records', (t) => {
  const quarantine = createQuarantine({ maxFingerprints: 10, lifetimeMs: 1_000 });
  Array.from({ length: 50 }, (_, index) => quarantine.strike(strikeOf('1', `f-${index}`), index));
  t.is(quarantine.size(), 10);
  quarantine.sweep(1_045);
  t.is(quarantine.size(), 4);
});

// Guards against strikes that count again: the parts that most prompts have are cleared hundreds of times a day.
test('the clearance of a strike is kept as long as the strike', (t) => {
  const quarantine = createQuarantine();
  for (let number = 0; number < 200; number += 1) {
    const attemptId = `${(number * 37) % 200}`;
    quarantine.strike({ ...strikeOf(attemptId), depth: 0 }, number);
    quarantine.clear('s', 'f');
  }
  t.deepEqual(quarantine.verdict(query(200)), { kind: 'clear' });
  t.true(recordOf(quarantine).clearedAttemptIds.length <= 64);
});

// Guards against a part of a prompt that is held at once although many sound requests have it.
test('a part that a server has written on without harm needs the evidence of a widespread one', (t) => {
  const quarantine = createQuarantine();
  const other = { strikes: 2, rounds: 1, firstTrialMs: 1_000, trialFactor: 2 };
  const parts = { widespread: { ...other, strikes: 4 }, other };
  const strike = (number: number) =>
    quarantine.strike({ ...strikeOf(`${number}`), depth: 2 }, number);
  quarantine.noteSoundPart('s', 'f', 0);
  [1, 2, 3].forEach(strike);
  t.is(quarantine.verdict(query(10, { parts })).kind, 'struck');
  strike(4);
  t.like(quarantine.verdict(query(10, { parts })), { kind: 'quarantined', isTrialDue: false });
  t.true(quarantine.noteSoundPart('s', 'f', 11));
  t.is(quarantine.verdict(query(12, { parts })).kind, 'clear');
});

test('a part that has run well elsewhere is proven for two minutes, and its strikes stay', (t) => {
  const quarantine = createQuarantine();
  const base = { instanceId: 'i', service: 's' };
  [1, 2, 3].forEach((number) => {
    const strike = { ...base, attemptId: `${number}` };
    quarantine.strike({ ...strike, fingerprint: 'f', depth: 0 }, number);
    quarantine.strike({ ...strike, fingerprint: `q${number}` }, number);
  });
  const parts = {
    widespread: { strikes: 3, rounds: 1, firstTrialMs: 1_000, trialFactor: 2 },
    other: { strikes: 3, rounds: 1, firstTrialMs: 1_000, trialFactor: 2 },
  };
  const overrides = { durationMs: 3_600_000, rounds: 1, parts };
  t.is(quarantine.verdict(query(10, overrides)).kind, 'quarantined');
  quarantine.noteProvenPart('s', 'f', 5);
  t.is(quarantine.soundAtMs('s', 'f'), 5);
  t.like(quarantine.verdict(query(11, overrides)), { kind: 'struck', strikeCount: 3 });
  t.is(quarantine.verdict(query(120_010, overrides)).kind, 'quarantined');
});
