import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import {
  changeObject,
  type ObjectApi,
  type PlatformError,
  type StoredObject,
} from '@bluebellhitch/objects';

const kind = 'status' as const;
const stored: StoredObject = { kind, key: 'k', version: 1, value: 'old' };

interface Answers {
  read?: StoredObject | PlatformError;
  write?: StoredObject | PlatformError;
}

function createObjects({ read = { kind: 'not-found' }, write = stored }: Answers) {
  const calls: string[] = [];
  const answer = (result: StoredObject | PlatformError) =>
    'key' in result
      ? okAsync<StoredObject, PlatformError>(result)
      : errAsync<StoredObject, PlatformError>(result);
  const objects: Pick<ObjectApi, 'get' | 'create' | 'update'> = {
    get: () => answer(read),
    create() {
      calls.push('create');
      return answer(write);
    },
    update() {
      calls.push('update');
      return answer(write);
    },
  };
  return { objects, calls };
}

async function change(answers: Answers, value: unknown = 'new') {
  const { objects, calls } = createObjects(answers);
  const outcome = await changeObject({ objects, kind, key: 'k', next: () => value });
  return { kind: outcome.kind, calls };
}

test('an object is created if there is none, and replaced otherwise', async (t) => {
  t.deepEqual(await change({}), { kind: 'written', calls: ['create'] });
  t.deepEqual(await change({ read: stored }), { kind: 'written', calls: ['update'] });
});

test('an object that needs no change is not written', async (t) => {
  // Each call counts towards the rate of the store.
  const { objects, calls } = createObjects({ read: stored });
  const outcome = await changeObject({ objects, kind, key: 'k', next: () => undefined });
  t.is(outcome.kind, 'unchanged');
  t.deepEqual(calls, []);
});

test('a faster writer is told apart from a store that does not answer', async (t) => {
  // After the first one the object is read again at once, after the other one the store is left alone for a while.
  t.is((await change({ write: { kind: 'conflict' } })).kind, 'raced');
  t.is((await change({ write: { kind: 'unknown-outcome', detail: '' } })).kind, 'failed');
  const unread = await change({ read: { kind: 'unavailable', detail: '' } });
  t.deepEqual(unread, { kind: 'failed', calls: [] });
});
