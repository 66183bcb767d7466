import { once } from 'node:events';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import {
  createHttpEngineClient,
  type EngineChunk,
  type HttpEngineClientOptions,
} from '@bluebellhitch/engine';

const decodeInput = {
  attemptId: 'attempt-1',
  model: 'm',
  prompt: 'p',
  imported: false,
  maxOutputTokens: 10,
  priority: 5,
};

async function startClient(
  t: ExecutionContext,
  listener: RequestListener,
  options: Partial<HttpEngineClientOptions> = {},
) {
  const server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = createHttpEngineClient({
    address: addressOf(server),
    callTimeoutMs: 10_000,
    streamStartTimeoutMs: 10_000,
    ...options,
  });
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return client;
}

function addressOf(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function tokenEvent(offset: number): string {
  const chunk = { kind: 'token', attemptId: 'attempt-1', offset, text: `w${offset}` };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

async function collect(chunks: AsyncIterable<EngineChunk>): Promise<EngineChunk[]> {
  const collected: EngineChunk[] = [];
  for await (const chunk of chunks) {
    collected.push(chunk);
  }
  return collected;
}

test('a refused connection means that nothing started', async (t) => {
  // The engine is not running and its port refuses the connection before any request is sent, so the
  // agent may report with certainty that the request did not run.
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = addressOf(server);
  server.close();
  await once(server, 'close');
  const client = createHttpEngineClient({ address });
  t.teardown(() => client.close());
  const result = await client.decode(decodeInput);
  t.is(result._unsafeUnwrapErr().kind, 'not-started');
});

test('a connection that breaks after the request was sent means died', async (t) => {
  // The engine reads the request and dies before it responds. The work may have started, so the error
  // must not be `not-started`.
  const client = await startClient(t, (request) => request.socket.destroy());
  t.is((await client.decode(decodeInput))._unsafeUnwrapErr().kind, 'died');
  t.is((await client.cancel('attempt-1'))._unsafeUnwrapErr().kind, 'died');
});

test('a call to an unresponsive engine times out', async (t) => {
  // The engine accepts the request and never responds. It may have started the work, so the error must
  // be `timeout` rather than `not-started`.
  const timeouts = { callTimeoutMs: 50, streamStartTimeoutMs: 50 };
  const client = await startClient(t, () => undefined, timeouts);
  t.is((await client.decode(decodeInput))._unsafeUnwrapErr().kind, 'timeout');
  t.is((await client.streams())._unsafeUnwrapErr().kind, 'timeout');
});

test("the engine's own error is returned unchanged", async (t) => {
  const error = { kind: 'stale-order', highestFencingNumber: 7 } as const;
  const client = await startClient(t, (_, response) => {
    response.writeHead(409, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ error }));
  });
  const result = await client.order({ kind: 'set-role', role: 'decode' }, 6);
  t.deepEqual(result._unsafeUnwrapErr(), error);
});

test('a response that does not match the wire format fails', async (t) => {
  const client = await startClient(t, (_, response) =>
    response.end('{"holdings":[{"attemptId":3}]}'),
  );
  t.is((await client.streams())._unsafeUnwrapErr().kind, 'failed');
});

test('a stream whose connection breaks ends without an end chunk', async (t) => {
  // The engine dies in the middle of a stream. The iteration must end without an error, so that the
  // reader gets the chunks that arrived; the missing end chunk marks the response as incomplete.
  const client = await startClient(t, (_, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(tokenEvent(0) + tokenEvent(1), () => response.destroy());
  });
  const chunks = await collect((await client.decode(decodeInput))._unsafeUnwrap());
  t.deepEqual(
    chunks.map(({ kind, offset }) => [kind, offset]),
    [
      ['token', 0],
      ['token', 1],
    ],
  );
});

test('events are read correctly however the bytes are split into chunks', async (t) => {
  const text = tokenEvent(0).replace('w0', 'Säule €');
  const bytes = Buffer.from(text);
  const client = await startClient(t, async (_, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (const byte of bytes) {
      response.write(Buffer.from([byte]));
      await new Promise(setImmediate);
    }
    response.end();
  });
  const chunks = await collect((await client.decode(decodeInput))._unsafeUnwrap());
  t.deepEqual(chunks, [{ kind: 'token', attemptId: 'attempt-1', offset: 0, text: 'Säule €' }]);
});

test('aborting the signal closes the connection and ends the iteration', async (t) => {
  // When a caller disconnects, the agent aborts the stream. The engine must see its connection close, or
  // it would go on writing into a buffer that nobody reads.
  let closed: Promise<unknown> = Promise.resolve();
  const client = await startClient(t, (_, response) => {
    closed = once(response, 'close');
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(tokenEvent(0));
  });
  const controller = new AbortController();
  const chunks = (await client.decode(decodeInput, controller.signal))._unsafeUnwrap();
  const iterator = chunks[Symbol.asyncIterator]();
  t.is((await iterator.next()).value?.kind, 'token');
  controller.abort();
  t.true((await iterator.next()).done);
  await closed;
});

test('an abort by the caller is not reported as a crash of the engine', async (t) => {
  // An agent attributes crashes of its engine to the requests in flight. Its own abort also breaks the
  // connection; reported as `died`, it would put a harmless request into quarantine.
  const client = await startClient(t, () => undefined);
  const controller = new AbortController();
  const pending = client.prefill(
    { attemptId: 'a', model: 'm', prompt: 'p', priority: 5 },
    controller.signal,
  );
  controller.abort();
  t.is((await pending)._unsafeUnwrapErr().kind, 'failed');
});

test('an import that ends without its last event fails with died', async (t) => {
  // The importing engine dies in the middle of a transfer. Progress was reported, but the KV cache is
  // incomplete, so the import must not count as finished.
  const progress = { kind: 'progress', receivedBytes: 1, totalBytes: 2, done: false };
  const client = await startClient(t, (_, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write(`data: ${JSON.stringify(progress)}\n\n`, () => response.destroy());
  });
  const receivedSizes: number[] = [];
  const result = await client.importKv(
    { attemptId: 'a', kvAddress: 'http://127.0.0.1:1', exportId: 'e', rateBytesPerSecond: 1 },
    ({ receivedBytes }) => receivedSizes.push(receivedBytes),
  );
  t.deepEqual(receivedSizes, [1]);
  t.is(result._unsafeUnwrapErr().kind, 'died');
});

test('a call in progress when the client is closed is not reported as not started', async (t) => {
  // The engine has the request and may run it. Reported as not started, it would run at a second engine as well.
  let onRequest: () => void = () => undefined;
  const received = new Promise<void>((resolve) => {
    onRequest = resolve;
  });
  const client = await startClient(t, () => onRequest());
  const pending = client.decode(decodeInput);
  await received;
  await client.close();
  t.is((await pending)._unsafeUnwrapErr().kind, 'failed');
});
