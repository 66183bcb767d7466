/** Bodies of backend servers' responses: what is held of them follows their bytes, not their chunks. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import test from 'ava';
import {
  readSmallBody,
  readWholeBody,
  type BodyReader,
  type ResponseBody,
} from '@bluebellhitch/routing';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of objects that are still in use. */
function usedHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

const chunkCount = 200_000;
const maxHeapGrowthBytes = 2_000_000;

function startBody() {
  let reader: BodyReader | undefined;
  const body: ResponseBody = {
    read(next) {
      reader = next;
    },
    pause: () => undefined,
    resume: () => undefined,
    abandon: (reason) => reader?.onLost(reason),
  };
  return { body, reader: () => reader as BodyReader };
}

const reads = {
  'a body that is passed on': (body: ResponseBody) => readWholeBody(body),
  'the body of a response to a call of the router’s own': (body: ResponseBody) =>
    readSmallBody(body, { maxBytes: 262_144, timeoutMs: 60_000 }),
};

Object.entries(reads).forEach(([name, read]) => {
  test.serial(`${name} is held compactly when it arrives in chunks of one byte`, async (t) => {
    // Each chunk was held as an object of a hundred bytes, until the process had no memory left.
    const { body, reader } = startBody();
    const outcome = read(body);
    const before = usedHeapBytes();
    Array.from({ length: chunkCount }).forEach(() => reader().onData(Buffer.from('x')));
    const grownBytes = usedHeapBytes() - before;
    reader().onEnd();
    const result = await outcome;
    t.is(result.kind === 'whole' && result.body.length, chunkCount);
    t.true(grownBytes < maxHeapGrowthBytes, `${grownBytes} bytes`);
  });
});
