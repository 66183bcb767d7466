import test from 'ava';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { PlatformError, StoredObject } from '@bluebellhitch/objects';
import { readFencingNumber } from '../src/fencingNumber';

function read(response: ResultAsync<StoredObject, PlatformError>) {
  return readFencingNumber({ get: () => response }, 'draft-models');
}

function storedLease(value: unknown): ResultAsync<StoredObject, PlatformError> {
  return okAsync({ kind: 'lease', key: 'orders/draft-models', version: 3, value });
}

test('reads the number of the current holder', async (t) => {
  t.is((await read(storedLease({ fencingNumber: 7, holderId: 'entry-1' })))._unsafeUnwrap(), 7);
});

test('a duty that was never held has the number 0', async (t) => {
  t.is((await read(errAsync({ kind: 'not-found' })))._unsafeUnwrap(), 0);
});

// Reading 0 from an unreadable response would let the orders of every earlier holder pass.
test('an unreadable or missing response is an error', async (t) => {
  t.true((await read(storedLease({ number: 7 }))).isErr());
  t.true((await read(errAsync({ kind: 'unavailable', detail: 'outage' }))).isErr());
});
