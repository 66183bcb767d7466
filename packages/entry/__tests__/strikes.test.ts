import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import type { PlatformError, StoredObject } from '@bluebellhitch/objects';
import type { Strike } from '@bluebellhitch/protocol';
import { createStrikes } from '../src/strikes';
import { eventually, modelDocument, silentLogger } from './support/harness';

const document = serviceDocumentSchema.parse(modelDocument);
const strikeOf = (attemptId: string): Strike => ({
  service: 'draft-models',
  fingerprint: 'poison',
  attemptId,
  instanceId: `agent-of-${attemptId}`,
});

/** Stores one quarantine object, with the platform's checks for conflicting writes. */
function createFakePlatform() {
  let stored: StoredObject | undefined;
  const state = { isDown: false, racing: 0, stored: () => stored };
  const down = () => errAsync<never, PlatformError>({ kind: 'unavailable', detail: 'down' });
  const write = (key: string, value: unknown) => {
    stored = { kind: 'quarantine', key, version: (stored?.version ?? 0) + 1, value };
    return okAsync<StoredObject, PlatformError>(stored);
  };
  const conflict = () => errAsync<StoredObject, PlatformError>({ kind: 'conflict' });
  return {
    state,
    platform: {
      get: () => {
        if (state.isDown) {
          return down();
        }
        return stored === undefined
          ? errAsync<StoredObject, PlatformError>({ kind: 'not-found' })
          : okAsync<StoredObject, PlatformError>(stored);
      },
      create: (_kind: string, key: string, value: unknown) =>
        stored === undefined ? write(key, value) : conflict(),
      update: (_kind: string, key: string, version: number, value: unknown) => {
        if (state.racing > 0) {
          state.racing -= 1;
          return conflict();
        }
        return version === stored?.version ? write(key, value) : conflict();
      },
    },
  };
}

function start(fake: ReturnType<typeof createFakePlatform>) {
  const sentStrikes: Strike[] = [];
  const strikes = createStrikes({
    platform: fake.platform,
    sendToPeers: (sent) => sentStrikes.push(...sent),
    logger: silentLogger,
  });
  return {
    strikes,
    sentStrikes,
    verdict: () => strikes.verdict(document, 'poison').kind,
  };
}

// The same request crashed one server through each of two entries. Neither entry has seen two strikes
// itself, so each would send it to a third server. The object in the platform combines their strikes.
test('strikes of two entries add up through the platform', async (t) => {
  const fake = createFakePlatform();
  const first = start(fake);
  const second = start(fake);
  first.strikes.report(strikeOf('a'));
  await eventually(t, () => fake.state.stored() !== undefined);
  fake.state.racing = 1;
  second.strikes.report(strikeOf('b'));
  await eventually(t, () => fake.state.stored()?.version === 2);
  first.strikes.mergeRecord(fake.state.stored()?.value);
  t.is(first.verdict(), 'quarantined');
  t.deepEqual(first.sentStrikes, []);
});

// The platform is down, and the caller's next try reaches another entry. Without the strikes, that entry
// would let the request crash more servers, so they are sent to it directly.
test('strikes go to the peers while the platform is down', async (t) => {
  const fake = createFakePlatform();
  fake.state.isDown = true;
  const first = start(fake);
  const second = start(fake);
  first.strikes.report(strikeOf('a'));
  first.strikes.report(strikeOf('b'));
  await eventually(t, () => first.sentStrikes.length === 2);
  second.strikes.receive(first.sentStrikes);
  second.strikes.receive(first.sentStrikes);
  t.is(second.verdict(), 'quarantined');
});

test('a request that completes loses its strikes', async (t) => {
  const fake = createFakePlatform();
  const { strikes, verdict } = start(fake);
  strikes.report(strikeOf('a'));
  t.is(verdict(), 'struck');
  strikes.clear('draft-models', 'poison');
  t.is(verdict(), 'clear');
});

test('ignores a record that is malformed', (t) => {
  const { strikes, verdict } = start(createFakePlatform());
  strikes.mergeRecord({ fingerprint: 'poison', strikes: 'many' });
  t.is(verdict(), 'clear');
});
