import test from 'ava';
import { createLeaseTable, createPrefillBacklog } from '@bluebellhitch/decisions';
import { createModelBid } from '../src/modelBid';

function createBid(role: 'prefill' | 'decode') {
  const table = createLeaseTable({ capacity: { kvBytes: 1_000, slots: 4 } });
  const owner = { entryId: 'entry-1', entryIncarnation: '1' };
  const reservation = { attemptId: 'a', owner, purpose: 'prefill' as const, kvBytes: 600 };
  table.reserve({ ...reservation, neededInMs: 0, expectedHoldMs: 100 }, 0);
  return createModelBid({
    kvAddress: 'http://127.0.0.1:1',
    kvRateBytesPerSecond: 1_000,
    table,
    backlog: createPrefillBacklog(),
    estimates: { slowStepMs: () => 25 },
    role,
    promptKvBytes: 200,
  });
}

test('exporting a prompt waits for all memory that the prefill worker holds', (t) => {
  t.is(createBid('prefill').exportMs, 800);
});

test('a decode worker exports nothing, and reports how long prompts wait', (t) => {
  t.like(createBid('decode'), {
    exportMs: undefined,
    slowStepMs: 25,
    prefillWaitMs: 0,
    prefillMsPerToken: 0.1,
  });
});
