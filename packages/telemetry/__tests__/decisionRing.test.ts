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

test('the newest records stay and the oldest go', (t) => {
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

test('an id sent twice names the newer record, also after the older one went', (t) => {
  const ring = createDecisionRing({ capacity: 2 });
  const newer = recordOf('a');
  ring.record(recordOf('a'));
  ring.record(newer);
  ring.record(recordOf('b'));

  t.is(ring.find('a'), newer);
});
