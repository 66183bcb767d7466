import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import {
  createHttpEngineClient,
  type EngineChunk,
  type HttpEngineClient,
  type HttpEngineClientOptions,
} from '@bluebellhitch/engine';

interface EngineRequest {
  path: string;
  body: string;
}

type Respond = (request: EngineRequest) => string;

const ownResponseDelayMs = 20;
const idleMs = 20;

function jsonResponse(status: number, body: unknown): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status} x\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
}

function errorResponse(status: number, error: unknown): string {
  return jsonResponse(status, { error });
}

function streamResponse(attemptId: string): string {
  const chunks = [
    { kind: 'token', attemptId, offset: 0, text: `text of ${attemptId}` },
    { kind: 'end', attemptId, offset: 1, finishReason: 'stop' },
  ];
  const text = chunks.map((chunk) => `data: ${JSON.stringify(chunk)}\n\n`).join('');
  return `HTTP/1.1 200 x\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
}

const attemptOf = ({ body }: EngineRequest) =>
  (JSON.parse(body) as { attemptId: string }).attemptId;

const prefillResponse = (request: EngineRequest) =>
  jsonResponse(200, {
    ...{ exportId: `export of ${attemptOf(request)}`, promptTokens: 1, cachedTokens: 0 },
    ...{ kvBytes: 1, keptForMs: 1000 },
  });

/** Takes one whole request from the front of what was received. */
function takeRequest(received: string): { request: EngineRequest; rest: string } | undefined {
  const headEnd = received.indexOf('\r\n\r\n');
  const head = received.slice(0, headEnd);
  const bodyLength = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  const end = headEnd + 4 + bodyLength;
  if (headEnd < 0 || received.length < end) {
    return undefined;
  }
  const path = head.split(' ')[1] ?? '';
  return { request: { path, body: received.slice(headEnd + 4, end) }, rest: received.slice(end) };
}

/**
 * Starts an engine that repeats each of its responses where the next one on the connection is due, and sends the right one
 * a little later. `sendsAtOnce`: it sends each response twice in one piece.
 */
async function startEngine(
  t: ExecutionContext,
  respond: Respond,
  {
    sendsAtOnce = false,
    ...options
  }: Partial<HttpEngineClientOptions> & {
    sendsAtOnce?: boolean;
  } = {},
) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    let received = '';
    let previous = '';
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
      const taken = takeRequest(received);
      if (taken === undefined) {
        return;
      }
      received = taken.rest;
      const response = respond(taken.request);
      if (sendsAtOnce) {
        socket.write(response + response);
        return;
      }
      socket.write(previous);
      setTimeout(() => socket.write(response), previous === '' ? 0 : ownResponseDelayMs);
      previous = response;
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createHttpEngineClient({ address, callTimeoutMs: 10_000, ...options });
  t.teardown(async () => {
    await client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { client, sockets };
}

/** Lets a connection become idle, so that a pool would use it again. */
function untilIdle(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, idleMs);
  });
}

async function prefill(client: HttpEngineClient, attemptId: string): Promise<string> {
  const result = await client.prefill({ attemptId, model: 'm', prompt: 'p', priority: 5 });
  await untilIdle();
  return result.match(
    ({ exportId }) => exportId,
    ({ kind }) => kind,
  );
}

async function decode(client: HttpEngineClient, attemptId: string): Promise<unknown> {
  const input = { attemptId, model: 'm', prompt: 'p', imported: false, priority: 5 };
  const result = await client.decode({ ...input, maxOutputTokens: 10 });
  const outcome = result.isErr() ? result.error.kind : await collect(result.value);
  await untilIdle();
  return outcome;
}

async function collect(chunks: AsyncIterable<EngineChunk>): Promise<string[]> {
  const collected: string[] = [];
  for await (const chunk of chunks) {
    collected.push(`${chunk.attemptId} ${chunk.offset}`);
  }
  return collected;
}

test('a prefill never gets the export of another request', async (t) => {
  // An engine repeats a response, late: the next caller's decode engine would import another caller's prompt.
  const { client } = await startEngine(t, prefillResponse);
  t.is(await prefill(client, 'a'), 'export of a');
  t.is(await prefill(client, 'b'), 'export of b');
});

test('a stream never gets the chunks of another request', async (t) => {
  const { client } = await startEngine(t, (request) => streamResponse(attemptOf(request)));
  t.deepEqual(await decode(client, 'a'), ['a 0', 'a 1']);
  t.deepEqual(await decode(client, 'b'), ['b 0', 'b 1']);
});

test('a rejection of one call is never taken for that of another, which runs', async (t) => {
  // The agent reports `not-started` as not run, so the entry would send work that runs once to a second engine.
  const rejection = errorResponse(503, { kind: 'not-started', detail: 'busy' });
  const prefills = await startEngine(t, (request) =>
    attemptOf(request) === 'a' ? rejection : prefillResponse(request),
  );
  t.is(await prefill(prefills.client, 'a'), 'not-started');
  t.is(await prefill(prefills.client, 'b'), 'export of b');
  const streams = await startEngine(t, (request) =>
    attemptOf(request) === 'a' ? rejection : streamResponse(attemptOf(request)),
  );
  t.is(await decode(streams.client, 'a'), 'not-started');
  t.deepEqual(await decode(streams.client, 'b'), ['b 0', 'b 1']);
});

test('an order, a cancellation or a drop is not taken as done by the response of another call', async (t) => {
  // Any JSON object is a success of these calls: an order that the engine rejects would be recorded as done.
  const { client } = await startEngine(t, ({ path }) =>
    path === '/holdings'
      ? jsonResponse(200, { holdings: [] })
      : errorResponse(500, { kind: 'failed', detail: path }),
  );
  t.true((await client.streams()).isOk());
  await untilIdle();
  t.true((await client.order({ kind: 'set-role', role: 'decode' }, 1)).isErr());
  await untilIdle();
  t.true((await client.streams()).isOk());
  await untilIdle();
  t.true((await client.cancel('a')).isErr());
  await untilIdle();
  t.true((await client.streams()).isOk());
  await untilIdle();
  t.true((await client.exportKv('e', 'drop')).isErr());
});

test('a response that is sent twice at once reaches its own call only', async (t) => {
  const { client, sockets } = await startEngine(t, prefillResponse, { sendsAtOnce: true });
  const ids = ['a', 'b', 'c'];
  const exportIds = await Promise.all(ids.map((id) => prefill(client, id)));
  t.deepEqual(
    exportIds,
    ids.map((id) => `export of ${id}`),
  );
  t.is(await prefill(client, 'd'), 'export of d');
  t.is(sockets.length, 4);
});

test('the connection of a call that has ended is closed', async (t) => {
  // Otherwise each call would leave a connection behind.
  const { client, sockets } = await startEngine(t, prefillResponse);
  await prefill(client, 'a');
  await prefill(client, 'b');
  t.is(sockets.length, 2);
  await Promise.all(
    sockets.map(async (socket) => {
      if (!socket.closed) {
        await once(socket, 'close');
      }
    }),
  );
  t.pass();
});
