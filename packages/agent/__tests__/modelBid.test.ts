import test from 'ava';
import { createLeaseTable, createPrefillBacklog } from '@bluebellhitch/decisions';
import { describeModel } from '../src/modelBid';

function describe(role: 'prefill' | 'decode') {
  const table = createLeaseTable({ capacity: { kvBytes: 1_000, slots: 4 } });
  const owner = { entryId: 'entry-1', entryIncarnation: '1' };
  const reservation = { attemptId: 'a', owner, purpose: 'prefill' as const, kvBytes: 600 };
  table.reserve({ ...reservation, neededInMs: 0, expectedHoldMs: 100 }, 0);
  return describeModel({
    kvAddress: 'http://127.0.0.1:1',
    kvRateBytesPerSecond: 1_000,
    table,
    backlog: createPrefillBacklog(),
    estimates: { slowStepMs: () => 25 },
    role,
    promptKvBytes: 200,
  });
}

test('a prompt leaves a prefill worker behind all that is held there', (t) => {
  t.is(describe('prefill').exportMs, 800);
});

test('a decode worker exports nothing, and tells how long prompts wait', (t) => {
  t.like(describe('decode'), {
    exportMs: undefined,
    slowStepMs: 25,
    prefillWaitMs: 0,
    prefillMsPerToken: 0.1,
  });
});
