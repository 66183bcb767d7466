import test from 'ava';
import {
  canEncodeChanges,
  decodeRelayedChanges,
  encodeRelayedChanges,
  isRelayedChanges,
} from '@bluebellhitch/protocol';

const message = {
  kindIndex: 1,
  fromRevision: 100,
  toRevision: 107,
  ageMs: 12,
  backAgeMs: 900,
  changes: [
    { kind: 'put' as const, key: 'i-1', revision: 103, value: { state: 'ready', slots: 4 } },
    { kind: 'removed' as const, key: 'i-2', revision: 99 },
  ],
};

test('changes survive encoding and decoding', (t) => {
  t.deepEqual(decodeRelayedChanges(encodeRelayedChanges(message)), message);
  const withoutChanges = { ...message, backAgeMs: undefined, changes: [] };
  t.deepEqual(decodeRelayedChanges(encodeRelayedChanges(withoutChanges)), withoutChanges);
});

test('an object with a null value is not decoded as removed', (t) => {
  const change = { kind: 'put' as const, key: 'i-1', revision: 103, value: null };
  t.deepEqual(
    decodeRelayedChanges(encodeRelayedChanges({ ...message, changes: [change] }))?.changes,
    [change],
  );
});

test('other bytes are not decoded', (t) => {
  t.false(isRelayedChanges(Buffer.from('[3,"10.0.0.1:7000"]')));
  t.is(decodeRelayedChanges(Buffer.from('["changes-1",1')), undefined);
  t.is(decodeRelayedChanges(Buffer.from('["changes-1",1,2,3,-4,null,[]]')), undefined);
});

test('objects that are nested too deeply to be encoded are recognised', (t) => {
  const nested = (depth: number): unknown => JSON.parse('['.repeat(depth) + ']'.repeat(depth));
  const withValue = (value: unknown) => ({
    ...message,
    changes: [...message.changes, { kind: 'put' as const, key: 'i-3', revision: 105, value }],
  });
  t.true(canEncodeChanges(message));
  t.true(canEncodeChanges(withValue(nested(10))));
  t.false(canEncodeChanges(withValue({ service: 'a', note: nested(6_000) })));
});
