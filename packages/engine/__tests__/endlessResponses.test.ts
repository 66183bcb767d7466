import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import test, { type ExecutionContext } from 'ava';
import type { ResultAsync } from 'neverthrow';
import { createHttpEngineClient, type HttpEngineClientOptions } from '@bluebellhitch/engine';
import { delay } from '@bluebellhitch/shared';
import { startEndlessServer, type EndlessServerOptions } from '@bluebellhitch/standins';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const crowdCount = 20;
const crowdSettleMs = 2_000;
/** A read of 64 KB, and as much again. */
const maxHeapBytesPerCall = 131_072;
const chunkedHead = 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n';
const rejectionHead = chunkedHead.replace('200', '500');
const largeChunk = `1000\r\n${'x'.repeat(4096)}\r\n`;
const byteChunk = '1\r\nx\r\n';
/** What the system buffers for a connection, and the framing of chunks of one byte, come on top of a limit. */
const slackBytes = 16_777_216;
const input = { attemptId: 'a', model: 'm', prompt: 'p', priority: 5 };
const decodeInput = { ...input, imported: false, maxOutputTokens: 10 };
const importInput = {
  ...{ attemptId: 'a', kvAddress: 'http://127.0.0.1:1', exportId: 'e', rateBytesPerSecond: 1 },
};

/** Bytes of objects that are still in use. */
function usedHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

async function start(
  t: ExecutionContext,
  serverOptions: EndlessServerOptions,
  clientOptions: Partial<HttpEngineClientOptions> = {},
) {
  const server = await startEndlessServer(serverOptions);
  // Long time-outs: the limits have to end the calls.
  const client = createHttpEngineClient({
    ...{ address: server.address, callTimeoutMs: 60_000, streamStartTimeoutMs: 60_000 },
    ...{ prefillTimeoutMs: 60_000, orderTimeoutMs: 60_000, ...clientOptions },
  });
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  return { server, client };
}

type Client = Awaited<ReturnType<typeof start>>['client'];

const calls: Record<string, (client: Client) => ResultAsync<unknown, unknown>> = {
  prefill: (client) => client.prefill(input),
  exportKv: (client) => client.exportKv('e', 'drop'),
  cancel: (client) => client.cancel('a'),
  streams: (client) => client.streams(),
  load: (client) => client.load(),
  cacheEvents: (client) => client.cacheEvents(0),
  order: (client) => client.order({ kind: 'set-role', role: 'decode' }, 1),
};

/** Calls that open a stream read a body at once if they are rejected. */
const streamCalls: typeof calls = {
  decode: (client) => client.decode(decodeInput),
  resume: (client) => client.resume({ ...decodeInput, emitted: { tokenCount: 0, text: '' } }),
  importKv: (client) => client.importKv(importInput, () => undefined),
};

async function assertGivenUp(
  t: ExecutionContext,
  call: (typeof calls)[string],
  { head, piece }: EndlessServerOptions,
): Promise<void> {
  const limits = { maxReplyBytes: 100_000, maxListBytes: 200_000 };
  const { client, server } = await start(t, { head, piece }, limits);
  const pending = call(client);
  const connection = await server.firstConnection;
  t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
  t.true(connection.sentBytes < slackBytes);
  t.true((await pending).isErr());
}

Object.entries(calls).forEach(([name, call]) =>
  test(`a body without an end is given up, and its connection closed: ${name}`, async (t) => {
    // The agent kept all of it until the call's time-out, and ran out of memory with all that it served.
    await assertGivenUp(t, call, { head: chunkedHead, piece: largeChunk });
  }),
);

Object.entries({ ...calls, ...streamCalls }).forEach(([name, call]) =>
  test(`the body of a rejection in chunks of one byte is given up: ${name}`, async (t) => {
    await assertGivenUp(t, call, { head: rejectionHead, piece: byteChunk });
  }),
);

test('bodies together are bounded as well', async (t) => {
  // Each body is inside its limit, but an engine can have hundreds of calls.
  const limits = { maxReplyBytes: 64_000_000, maxTotalBytes: 100_000 };
  const { client, server } = await start(t, { head: chunkedHead, piece: largeChunk }, limits);
  const results = await Promise.all(
    Array.from({ length: 20 }, (_, index) => client.cancel(`a${index}`)),
  );
  t.true(results.every((result) => result.isErr()));
  t.true((await server.firstConnection).sentBytes < slackBytes);
});

const unfinished = {
  'header lines': { head: 'HTTP/1.1 200 x\r\n', piece: 'a: b\r\n' },
  'a header line': { head: 'HTTP/1.1 200 x\r\na: ', piece: 'x' },
  'provisional responses': { head: '', piece: 'HTTP/1.1 100 Continue\r\n\r\n' },
  'a chunk extension': {
    head: 'HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n1;',
    piece: 'x',
  },
  trailers: { head: `${chunkedHead}0\r\n`, piece: 'a: b\r\n' },
  noise: { head: '', piece: '\u0000\u0001' },
};

Object.entries(unfinished).forEach(([name, { head, piece }]) =>
  test(`what never becomes a body ends with its call's time-out at the latest: ${name}`, async (t) => {
    const timeouts = { callTimeoutMs: 500, streamStartTimeoutMs: 500, prefillTimeoutMs: 500 };
    const maxSentBytes = Infinity;
    const { client, server } = await start(t, { head, piece, maxSentBytes }, timeouts);
    const pending = client.prefill(input);
    const connection = await server.firstConnection;
    t.true(connection.isClosedByCaller);
    t.true(['died', 'timeout'].includes((await pending)._unsafeUnwrapErr().kind));
  }),
);

/** A piece of them is under the parser's limit of bytes. */
const shortLines = 'a: \r\n';
const stopped = {
  'lines of a head': { head: 'HTTP/1.1 200 x\r\n', piece: shortLines },
  'lines of a trailer': { head: `${chunkedHead}0\r\n`, piece: shortLines },
};

Object.entries(stopped).forEach(([name, { head, piece }]) =>
  test.serial(`many short ${name} that stop short of its end take little memory`, async (t) => {
    // Each line was held as two objects until the call's time-out: the agent ran out of memory with all that it served.
    const { client } = await start(t, { head, piece, maxSentBytes: 60_000 });
    const before = usedHeapBytes();
    const crowd = Array.from({ length: crowdCount }, (_none, index) => client.cancel(`a${index}`));
    const settled = await Promise.race([Promise.all(crowd), delay(crowdSettleMs)]);
    const grownBytes = usedHeapBytes() - before;
    t.true(grownBytes < crowdCount * maxHeapBytesPerCall, `${grownBytes} bytes`);
    t.true(settled?.every((result) => result.isErr()));
  }),
);

const endlessEvents = {
  'a line': { head: `${chunkedHead}6\r\ndata: \r\n`, piece: largeChunk },
  'a line in chunks of one byte': { head: `${chunkedHead}6\r\ndata: \r\n`, piece: byteChunk },
  'data lines': { head: chunkedHead, piece: '6\r\ndata:\n\r\n' },
  'other lines': { head: chunkedHead, piece: '6\r\nid: x\n\r\n' },
};

Object.entries(endlessEvents).forEach(([name, { head, piece }]) =>
  test(`a stream with an event without an end is ended, and its connection closed: ${name}`, async (t) => {
    // The agent kept the event, and never reported to the entry that the stream had failed.
    const { client, server } = await start(t, { head, piece }, { maxEventBytes: 100_000 });
    const chunks = (await client.decode(decodeInput))._unsafeUnwrap();
    const reading = chunks[Symbol.asyncIterator]().next();
    const connection = await server.firstConnection;
    t.true(connection.isClosedByCaller, `${connection.sentBytes} bytes were taken`);
    t.true(connection.sentBytes < slackBytes);
    t.true((await reading).done);
  }),
);

test('an import with an event without an end fails with died', async (t) => {
  const { client, server } = await start(t, { head: chunkedHead, piece: largeChunk });
  const pending = client.importKv(importInput, () => undefined);
  t.true((await server.firstConnection).isClosedByCaller);
  t.is((await pending)._unsafeUnwrapErr().kind, 'died');
});
