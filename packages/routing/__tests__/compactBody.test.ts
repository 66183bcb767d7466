/** Small chunks of a response's body are passed on together, and none is lost or reordered. */
import test from 'ava';
import { createHoldings, type Holdings } from '@bluebellhitch/ports';
import type { BodyReader, ResponseBody } from '@bluebellhitch/routing';
import { createChunkTurns } from '../src/servers/chunkTurns';
import { createCompactBody } from '../src/servers/compactBody';

function startBody(turns = createChunkTurns(), signal?: AbortSignal) {
  let server: BodyReader | undefined;
  const flow: string[] = [];
  const source: ResponseBody = {
    read(reader) {
      server = reader;
    },
    pause: () => flow.push('pause'),
    resume: () => flow.push('resume'),
    abandon: () => undefined,
  };
  const body = createCompactBody(source, { turns, signal });
  const seen: string[] = [];
  body.read({
    onData: (chunk) => seen.push(chunk.toString()),
    onEnd: () => seen.push('end'),
    onLost: (detail) => seen.push(`lost: ${detail}`),
  });
  return { server: server as unknown as BodyReader, seen, body, flow };
}

test('chunks of one byte that arrive in one read are passed on as one part', async (t) => {
  // Each chunk was written to the caller by itself, and the objects of a write cost hundreds of bytes.
  const { server, seen } = startBody();
  [...'abcdef'].forEach((letter) => server.onData(Buffer.from(letter)));
  t.deepEqual(seen, []);
  await Promise.resolve();
  t.deepEqual(seen, ['abcdef']);
  server.onData(Buffer.from('g'));
  await Promise.resolve();
  t.deepEqual(seen, ['abcdef', 'g']);
});

test('what arrived before the end or the loss of a body is passed on before it', (t) => {
  const whole = startBody();
  whole.server.onData(Buffer.from('a'));
  whole.server.onEnd();
  t.deepEqual(whole.seen, ['a', 'end']);
  const lost = startBody();
  lost.server.onData(Buffer.from('a'));
  lost.server.onLost('reset');
  t.deepEqual(lost.seen, ['a', 'lost: reset']);
});

test('chunks of any size are passed on once their read is parsed, in order', async (t) => {
  // The reader may pause the flow at each part; in the middle of a read, what is held would grow with each pause.
  const { server, seen } = startBody();
  const large = 'x'.repeat(20_000);
  server.onData(Buffer.from(large));
  server.onData(Buffer.from('a'));
  server.onData(Buffer.from(large));
  t.deepEqual(seen, []);
  await Promise.resolve();
  t.is(seen.join(''), `${large}a${large}`);
});

const nextPass = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

test('the chunks of all responses in one pass of the event loop are limited', async (t) => {
  // A server that sent tiny chunks took all processor time, and callers of other services were not answered.
  const turns = createChunkTurns({ chunksPerPass: 3 });
  const first = startBody(turns);
  const second = startBody(turns);
  first.server.onData(Buffer.from('a'));
  first.server.onData(Buffer.from('b'));
  first.server.onData(Buffer.from('c'));
  t.deepEqual(first.flow, [], 'paused in the middle of a read');
  second.server.onData(Buffer.from('c'));
  t.deepEqual(second.flow, ['pause']);
  await nextPass();
  t.deepEqual(second.flow, ['pause', 'resume']);
  t.deepEqual(second.seen, ['c']);
});

test('a body whose reader is behind is not resumed by its turn, nor out of turn by its reader', async (t) => {
  const { server, body, flow } = startBody(createChunkTurns({ chunksPerPass: 1 }));
  server.onData(Buffer.from('a'));
  body.pause();
  await nextPass();
  t.deepEqual(flow, ['pause', 'pause']);
  body.resume();
  t.deepEqual(flow, ['pause', 'pause', 'resume']);
  await Promise.resolve();
  server.onData(Buffer.from('b'));
  body.resume();
  t.deepEqual(flow.slice(3), ['pause']);
  await nextPass();
  t.deepEqual(flow.slice(3), ['pause', 'resume']);
});

test('a body that is over is not resumed', async (t) => {
  const { server, flow } = startBody(createChunkTurns({ chunksPerPass: 1 }));
  server.onData(Buffer.from('a'));
  server.onEnd();
  await nextPass();
  t.deepEqual(flow, ['pause']);
});

test('what was read before a pause, and the end, wait for the reader', async (t) => {
  const { server, body, seen } = startBody();
  server.onData(Buffer.from('a'));
  await Promise.resolve();
  body.pause();
  server.onData(Buffer.from('b'));
  server.onEnd();
  await Promise.resolve();
  t.deepEqual(seen, ['a']);
  body.resume();
  t.deepEqual(seen, ['a', 'b', 'end']);
});

test('what was read for a reader that has paused goes to the next one', async (t) => {
  // A long body is passed on by another reader than the one that has read its start.
  const { server, body, seen } = startBody();
  body.pause();
  server.onData(Buffer.from('b'));
  await Promise.resolve();
  const next: string[] = [];
  body.read({
    onData: (chunk) => next.push(chunk.toString()),
    onEnd: () => next.push('end'),
    onLost: () => undefined,
  });
  server.onEnd();
  t.deepEqual([seen, next], [[], ['b', 'end']]);
});

test('a reader that pauses at the first part of a read gets the others once it resumes', async (t) => {
  const { server, body, seen } = startBody();
  const large = 'x'.repeat(20_000);
  server.onData(Buffer.from(large));
  server.onData(Buffer.from('a'));
  const next: string[] = [];
  body.read({
    onData(chunk) {
      next.push(chunk.toString());
      body.pause();
    },
    onEnd: () => next.push('end'),
    onLost: () => undefined,
  });
  await Promise.resolve();
  t.deepEqual([seen, next], [[], [large]]);
  server.onEnd();
  body.resume();
  t.deepEqual(next, [large, 'a']);
  body.resume();
  t.deepEqual(next, [large, 'a', 'end']);
});

[
  { name: 'is given up', end: (given: AbortController) => given.abort() },
  { name: 'is abandoned', end: (_given: AbortController, body: ResponseBody) => body.abandon('x') },
].forEach(({ name, end }) => {
  test(`a body that has ended is lost if it ${name} while its reader is behind`, async (t) => {
    // A caller that leaves while it reads slowly never drains: its request would stay in progress, and a stop wait for it.
    const given = new AbortController();
    const { server, body, seen } = startBody(createChunkTurns(), given.signal);
    server.onData(Buffer.from('a'));
    await Promise.resolve();
    body.pause();
    server.onData(Buffer.from('b'));
    server.onEnd();
    await Promise.resolve();
    end(given, body);
    t.deepEqual([seen.length, seen[0], seen[1]?.startsWith('lost')], [2, 'a', true]);
    body.resume();
    t.is(seen.length, 2);
  });
});

function startKeptBody(holdings: Holdings, receivedBytes = 0) {
  let server: BodyReader | undefined;
  const seen: string[] = [];
  const source: ResponseBody = {
    read(reader) {
      server = reader;
    },
    pause: () => undefined,
    resume: () => undefined,
    abandon: (reason) => server?.onLost(reason),
    receivedBytes: () => receivedBytes,
  };
  const body = createCompactBody(source, { turns: createChunkTurns(), holdings });
  const readerFor = (name: string): BodyReader => ({
    onData: () => undefined,
    onEnd: () => seen.push(`${name} end`),
    onLost: () => seen.push(`${name} lost`),
  });
  body.read(readerFor('first'));
  return { body, seen, readerFor, server: server as unknown as BodyReader };
}

test('the response of which most is kept is lost once all keep too much together', (t) => {
  // Nothing bounded what was kept of all responses: each had its own limit, and several hundreds exceeded the memory.
  const holdings = createHoldings(1_000);
  const short = startKeptBody(holdings);
  const long = startKeptBody(holdings);
  short.body.noteKept?.(100);
  long.body.noteKept?.(900);
  t.deepEqual([short.seen, long.seen], [[], []]);
  short.body.noteKept?.(101);
  t.deepEqual([short.seen, long.seen], [[], ['first lost']]);
  short.server.onEnd();
  t.deepEqual([short.seen, holdings.heldBytes()], [['first end'], 0]);
});

test('a response counts with the read that its connection holds while something is kept of it', (t) => {
  // A few bytes in tiny chunks were counted, and 64 KB of input beside them were not.
  const holdings = createHoldings(1_000_000);
  const { body } = startKeptBody(holdings, 1_000_000);
  body.noteKept?.(10);
  t.is(holdings.heldBytes(), 65_546);
  body.noteKept?.(0);
  body.noteKept?.(10);
  t.is(holdings.heldBytes(), 10);
});

test('a reader that comes after a body was lost is told so', (t) => {
  // The request would wait for good.
  const { body, seen, readerFor } = startKeptBody(createHoldings(1_000));
  body.noteKept?.(1_001);
  body.read(readerFor('second'));
  t.deepEqual(seen, ['first lost', 'second lost']);
});
