import test from 'ava';
import { mergeQuarantineRecords, type QuarantineRecord } from '../src/quarantineRecords';

function recordOf(overrides: Partial<QuarantineRecord> = {}): QuarantineRecord {
  return { service: 's', fingerprint: 'f', strikes: [], clearedAttemptIds: [], ...overrides };
}

const strikeOf = (number: number) => ({
  attemptId: `a${number}`,
  instanceId: `a${number}`,
  struckAtMs: number,
});

test('a part that stands at several positions counts at the first of them', (t) => {
  const merged = mergeQuarantineRecords(recordOf({ depth: 2 }), recordOf({ depth: 1 }));
  t.is(merged.depth, 1);
  t.is(mergeQuarantineRecords(recordOf(), recordOf({ depth: 1 })).depth, 1);
  t.false('depth' in mergeQuarantineRecords(recordOf(), recordOf()));
});

test('where clearances are dropped, those of strikes that are still there are kept', (t) => {
  // A strike without its clearance counts again.
  const strikes = Array.from({ length: 16 }, (_none, index) => strikeOf(index));
  const others = Array.from({ length: 100 }, (_none, index) => `z${index}`);
  const merged = mergeQuarantineRecords(
    recordOf({ strikes, clearedAttemptIds: strikes.map(({ attemptId }) => attemptId) }),
    recordOf({ clearedAttemptIds: others }),
  );
  t.is(merged.clearedAttemptIds.length, 64);
  t.true(strikes.every(({ attemptId }) => merged.clearedAttemptIds.includes(attemptId)));
});
