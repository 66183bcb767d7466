/** Lines of heads, bodies and trailers: too many without progress end the call, and all others arrive whole and in order. */
import test, { type ExecutionContext } from 'ava';
import {
  createBackendConnections,
  readWholeBody,
  type HttpOutcome,
  type ResponseBody,
} from '@bluebellhitch/routing';
import { delay } from '@bluebellhitch/shared';
import { startRawServer } from './support/rawServer';

const headTimeoutMs = 2_000;
/** Far under the time-out. */
const maxLostMs = 1_000;
const lostDetail = 'too many lines of a head or a trailer';
const manyLines = 100;
const tooManyLines = 1_000;
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';
/** Lines of 1 to 40 bytes, far more than are parsed at once. */
const textLines = Array.from({ length: 30_000 }, (_none, line) => 'x'.repeat(line % 40)).join('\n');

async function callServer(t: ExecutionContext, answer: string, isEnded: boolean) {
  const { address } = await startRawServer(t, (socket) => {
    if (isEnded) {
      socket.end(answer);
    } else {
      socket.write(answer);
    }
  });
  return callAddress(t, address);
}

function callAddress(t: ExecutionContext, address: string): Promise<HttpOutcome> {
  const connections = createBackendConnections();
  t.teardown(() => connections.close());
  return connections.call({
    ...{ address, method: 'GET', path: '/', headers: [], headTimeoutMs, maxConnections: 1 },
    identity: { kind: 'unmarked' },
  });
}

/** Reads slowly: each part pauses the flow for a while. */
function readInSteps(body: ResponseBody): Promise<string> {
  const parts: Buffer[] = [];
  return new Promise((resolve, reject) => {
    body.read({
      onData(part) {
        parts.push(part);
        body.pause();
        setTimeout(body.resume, 1);
      },
      onEnd: () => resolve(Buffer.concat(parts).toString()),
      onLost: (detail) => reject(new Error(detail)),
    });
  });
}

function bodyOf(outcome: HttpOutcome): ResponseBody {
  if (outcome.kind !== 'answered') {
    throw new Error(outcome.kind);
  }
  return outcome.response.body;
}

test('a head of many lines is read', async (t) => {
  const lines = Array.from({ length: manyLines }, (_none, line) => `A${line}: b\r\n`).join('');
  const outcome = await callServer(t, `${chunkedHead}${lines}\r\n1\r\nx\r\n0\r\n\r\n`, false);
  t.is(outcome.kind === 'answered' && outcome.response.headers.length, 2 * (manyLines + 1));
  t.deepEqual(await readWholeBody(bodyOf(outcome)), { kind: 'whole', body: Buffer.from('x') });
});

test('a head of too many lines loses its call at once', async (t) => {
  // What the parser keeps of each line would take a router's memory until the call's time is over.
  const outcome = await Promise.race([
    callServer(t, `${chunkedHead}${'A:\r\n'.repeat(tooManyLines)}`, false),
    delay(maxLostMs),
  ]);
  t.like(outcome, { kind: 'lost', detail: lostDetail });
});

test('a trailer of too many lines loses its body at once', async (t) => {
  // The same in a body, whose end the trailer holds up.
  const trailer = `0\r\n${'A:\r\n'.repeat(tooManyLines)}`;
  const outcome = await callServer(t, `${chunkedHead}\r\n1\r\nx\r\n${trailer}`, false);
  const read = await Promise.race([readWholeBody(bodyOf(outcome)), delay(maxLostMs)]);
  t.deepEqual(read, { kind: 'lost', detail: lostDetail });
});

const framings = [
  {
    name: 'in one chunk',
    answer: `${chunkedHead}\r\n${textLines.length.toString(16)}\r\n${textLines}\r\n0\r\n\r\n`,
    isEnded: false,
  },
  {
    name: 'in a chunk for each line',
    answer: `${chunkedHead}\r\n${textLines
      .split(/(?<=\n)/)
      .map((line) => `${line.length.toString(16)}\r\n${line}\r\n`)
      .join('')}0\r\n\r\n`,
    isEnded: false,
  },
  {
    name: 'with a length',
    answer: `HTTP/1.1 200 OK\r\nContent-Length: ${textLines.length}\r\n\r\n${textLines}`,
    isEnded: false,
  },
  {
    name: 'that ends with its connection',
    answer: `HTTP/1.1 200 OK\r\n\r\n${textLines}`,
    isEnded: true,
  },
];

framings.forEach(({ name, answer, isEnded }) => {
  test(`a body of many lines ${name} arrives whole and in order`, async (t) => {
    const outcome = await callServer(t, answer, isEnded);
    t.true((await readInSteps(bodyOf(outcome))) === textLines);
  });
});

const closeHead = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';
const unreadMs = 50;

test('a connection that is reset before its response is read loses the response', async (t) => {
  // The end of a connection whose parser was paused was an unhandled error: it ended the process.
  const { address } = await startRawServer(t, (socket) => {
    socket.write(`${closeHead}\r\npart`);
    setTimeout(() => socket.resetAndDestroy(), unreadMs / 2);
  });
  const outcome = await callAddress(t, address);
  await delay(unreadMs);
  t.like(await readWholeBody(bodyOf(outcome)), { kind: 'lost' });
});

test('a connection that is closed before its response is read loses nothing of it', async (t) => {
  const { address } = await startRawServer(t, (socket) => socket.end(`${closeHead}\r\nwhole`));
  const outcome = await callAddress(t, address);
  await delay(unreadMs);
  const read = await readWholeBody(bodyOf(outcome));
  t.deepEqual(read, { kind: 'whole', body: Buffer.from('whole') });
});
