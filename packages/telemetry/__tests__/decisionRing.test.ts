import test from 'ava';
import { createDecisionRing, type DecisionRecord } from '@bluebellhitch/telemetry';

function recordOf(requestId: string): DecisionRecord {
  return {
    requestId,
    service: 'draft-models',
    institution: 'halloran-voss',
    className: 'standard',
    startedAt: '2026-01-01T00:00:00.000Z',
    steps: [],
    outcome: '',
  };
}

test('a full ring drops its oldest records', (t) => {
  const ring = createDecisionRing({ capacity: 3 });
  ['a', 'b', 'c', 'd'].forEach((id) => ring.record(recordOf(id)));

  t.deepEqual(
    ring.recent(10).map(({ requestId }) => requestId),
    ['d', 'c', 'b'],
  );
  t.deepEqual(
    ring.recent(1).map(({ requestId }) => requestId),
    ['d'],
  );
  t.is(ring.find('a'), undefined);
  t.is(ring.find('b')?.requestId, 'b');
});

test('an id used twice refers to the newer record, even after the older one was dropped', (t) => {
  const ring = createDecisionRing({ capacity: 2 });
  const newer = recordOf('a');
  ring.record(recordOf('a'));
  ring.record(newer);
  ring.record(recordOf('b'));

  t.is(ring.find('a'), newer);
});
