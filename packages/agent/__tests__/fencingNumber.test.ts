import test from 'ava';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { PlatformError, StoredObject } from '@bluebellhitch/objects';
import { readFencingNumber } from '../src/fencingNumber';

function read(answer: ResultAsync<StoredObject, PlatformError>) {
  return readFencingNumber({ get: () => answer }, 'draft-models');
}

function stored(value: unknown): ResultAsync<StoredObject, PlatformError> {
  return okAsync({ kind: 'lease', key: 'orders/draft-models', version: 3, value });
}

test('reads the number of the current holder', async (t) => {
  t.is((await read(stored({ fencingNumber: 7, holderId: 'entry-1' })))._unsafeUnwrap(), 7);
});

test('a duty that was never held has the number 0', async (t) => {
  t.is((await read(errAsync({ kind: 'not-found' })))._unsafeUnwrap(), 0);
});

// Taking 0 for an answer that could not be read would let every old holder's order pass.
test('an unreadable or missing answer is no number', async (t) => {
  t.true((await read(stored({ number: 7 }))).isErr());
  t.true((await read(errAsync({ kind: 'unavailable', detail: 'outage' }))).isErr());
});
