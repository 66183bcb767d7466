import { PassThrough } from 'node:stream';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import test from 'ava';
import { createResponseReader } from '../src/responseBody';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const limits = { maxBytes: 1_000_000, maxTotalBytes: 1_500_000 };

function bodyOf(length: number, onClosed: () => void = () => undefined) {
  let sent = 0;
  return {
    sentBytes: () => sent,
    async *[Symbol.asyncIterator]() {
      try {
        while (sent < length) {
          sent += 1;
          yield Buffer.from('x');
        }
      } finally {
        onClosed();
      }
    },
  };
}

test('a body up to the limit is read whole, one beyond it is closed', async (t) => {
  let closedCount = 0;
  const onClosed = () => {
    closedCount += 1;
  };
  const reader = createResponseReader({ maxBytes: 10, maxTotalBytes: 100 });
  t.is((await reader.read(bodyOf(10, onClosed)))._unsafeUnwrap().toString(), 'xxxxxxxxxx');
  const endless = bodyOf(Infinity, onClosed);
  t.is((await reader.read(endless))._unsafeUnwrapErr().kind, 'too-long');
  t.is(endless.sentBytes(), 11);
  t.is((await reader.read(bodyOf(20), 20))._unsafeUnwrap().length, 20);
  t.is(closedCount, 2);
});

test('a body that breaks off is lost, with its cause', async (t) => {
  const cause = new Error('reset');
  async function* broken() {
    yield Buffer.from('x');
    throw cause;
  }
  const reader = createResponseReader(limits);
  t.deepEqual((await reader.read(broken()))._unsafeUnwrapErr(), { kind: 'lost', cause });
});

test('bodies read at the same time are bounded together, and free what they held', async (t) => {
  const reader = createResponseReader({ maxBytes: 10, maxTotalBytes: 25 });
  const readMany = () => Promise.all(Array.from({ length: 5 }, () => reader.read(bodyOf(10))));
  const outcomes = await readMany();
  t.true(outcomes.some((outcome) => outcome.isErr()));
  t.true((await reader.read(bodyOf(10))).isOk());
  t.true((await readMany()).some((outcome) => outcome.isErr()));
  t.true((await reader.read(bodyOf(10))).isOk());
});

test('a body in chunks of one byte costs no object for each of them', async (t) => {
  // Kept as they came, a million of them would hold more than 100 MB.
  const reader = createResponseReader({ maxBytes: 2_000_000, maxTotalBytes: 2_000_000 });
  const before = usedBytes();
  let heldBytes = 0;
  const body = bodyOf(1_000_000, () => {
    heldBytes = usedBytes() - before;
  });
  t.is((await reader.read(body))._unsafeUnwrap().length, 1_000_000);
  t.true(heldBytes < 5_000_000, `${heldBytes} bytes held`);
});

function usedBytes(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

test('the longest body is given up where bodies together are too long', async (t) => {
  // Beside one that has no end, sound answers would be lost, whichever arrives as the limit is reached.
  const reader = createResponseReader({ maxBytes: 1_000, maxTotalBytes: 100 });
  const sources = Array.from({ length: 5 }, createManualBody);
  const readings = sources.map((source) => reader.read(source.body));
  sources[0]?.push('x'.repeat(90));
  sources.slice(1).forEach((source) => source.push('x'.repeat(10)));
  await new Promise(setImmediate);
  sources[0]?.push('x');
  sources.forEach((source) => source.end());
  const outcomes = await Promise.all(readings);
  t.deepEqual(
    outcomes.map((outcome) => outcome.map((body) => body.length).unwrapOr(0)),
    [0, 10, 10, 10, 10],
  );
});

function createManualBody() {
  const body = new PassThrough();
  return {
    body,
    push: (text: string) => body.write(text),
    end: () => body.end(),
  };
}
