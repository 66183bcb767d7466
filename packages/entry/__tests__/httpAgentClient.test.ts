import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import type { StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import { createHttpAgentClient, type HttpAgentClientOptions } from '../src/httpAgentClient';
import { eventually } from './support/harness';
import { endOf, freeLoad, tokenAt } from './support/fakeAgents';

const request: StreamRequest = {
  entryId: 'entry-1',
  attemptId: 'attempt-1',
  model: 'bond-drafter',
  prompt: 'hello',
  source: { kind: 'local' },
  maxOutputTokens: 10,
  emitted: { tokenCount: 0, text: '' },
  priority: 5,
};
const bidRequest = {
  service: 'draft-models',
  promptTokens: 1,
  maxOutputTokens: 1,
  prefixBlocks: [],
  className: 'standard',
};
/** Only a guard: a busy machine may hold the test process up for seconds. */
const options = { timeoutMs: 60_000 };

type Handler = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

async function start(
  t: ExecutionContext,
  handler: Handler,
  clientOptions: HttpAgentClientOptions = {},
) {
  const server: Server = createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = createHttpAgentClient(clientOptions);
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return { client, server, address: `http://127.0.0.1:${port}` };
}

async function collect(stream: AsyncIterable<StreamFrame>): Promise<StreamFrame[]> {
  const frames: StreamFrame[] = [];
  for await (const frame of stream) {
    frames.push(frame);
  }
  return frames;
}

const formatEvent = (value: unknown) => `data: ${JSON.stringify(value)}\n\n`;

test('reads frames across chunk boundaries and counts malformed ones', async (t) => {
  let malformedCount = 0;
  const frames = [tokenAt('attempt-1', 0), tokenAt('attempt-1', 1), endOf(request)];
  const { client, address } = await start(
    t,
    (_incoming, outgoing) => {
      const bytes = `${frames.map(formatEvent).join('')}data: nonsense\n\n`;
      outgoing.writeHead(200, { 'content-type': 'text/event-stream' });
      outgoing.write(bytes.slice(0, 37));
      setTimeout(() => outgoing.end(bytes.slice(37)), 20);
    },
    {
      onMalformedFrame: () => {
        malformedCount += 1;
      },
    },
  );
  const stream = (await client.openStream(address, request, options))._unsafeUnwrap();
  t.deepEqual(await collect(stream), frames);
  t.is(malformedCount, 1);
});

test('a stream whose connection breaks ends without an error', async (t) => {
  const { client, address } = await start(t, (_incoming, outgoing) => {
    outgoing.writeHead(200, { 'content-type': 'text/event-stream' });
    outgoing.write(formatEvent(tokenAt('attempt-1', 0)), () => outgoing.destroy());
  });
  const stream = (await client.openStream(address, request, options))._unsafeUnwrap();
  t.is((await collect(stream)).length, 1);
});

// The entry finds a response invalid and stops reading before its end. The agent must see the connection
// close, and the destroyed body must not terminate the process and with it all other responses.
test('a stream that is not read to its end closes its connection without an error', async (t) => {
  let closed = false;
  const { client, address } = await start(t, (_incoming, outgoing) => {
    outgoing.writeHead(200, { 'content-type': 'text/event-stream' });
    outgoing.write(formatEvent(tokenAt('attempt-1', 0)));
    outgoing.once('close', () => {
      closed = true;
    });
  });
  const stream = (await client.openStream(address, request, options))._unsafeUnwrap();
  const reader = stream[Symbol.asyncIterator]();
  await reader.next();
  await reader.return?.();
  await eventually(t, () => closed);
});

test('a refused connection proves that the call was not sent', async (t) => {
  const { client, server, address } = await start(t, () => undefined);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  t.is((await client.bid(address, bidRequest, options))._unsafeUnwrapErr().kind, 'not-sent');
  const opened = await client.openStream(address, request, options);
  t.is(opened._unsafeUnwrapErr().kind, 'not-sent');
});

test('distinguishes calls that time out, break and are cancelled', async (t) => {
  const { client, address } = await start(t, (incoming, outgoing) => {
    if (incoming.url?.includes('reserve')) {
      outgoing.destroy();
    }
  });
  const late = await client.bid(address, bidRequest, { timeoutMs: 50 });
  t.is(late._unsafeUnwrapErr().kind, 'timeout');
  const cancel = new AbortController();
  setTimeout(() => cancel.abort(), 20);
  const cancelled = await client.bid(address, bidRequest, { ...options, signal: cancel.signal });
  t.is(cancelled._unsafeUnwrapErr().kind, 'cancelled');
  const lost = await client.reserve(address, {} as never, options);
  t.is(lost._unsafeUnwrapErr().kind, 'lost');
});

test('a reply that does not match its schema is malformed', async (t) => {
  const { client, address } = await start(t, (_incoming, outgoing) => {
    outgoing.setHeader('content-type', 'application/json');
    outgoing.end(JSON.stringify({ result: { data: { incarnation: 7 } } }));
  });
  t.is((await client.bid(address, bidRequest, options))._unsafeUnwrapErr().kind, 'malformed');
});

test('distinguishes a refusal by an agent from a response of a backend server', async (t) => {
  const { client, address } = await start(t, (incoming, outgoing) => {
    const refuses = incoming.url === '/plain/refuse';
    outgoing.writeHead(503, {
      'x-bluebell-load': JSON.stringify(freeLoad),
      ...(refuses
        ? { 'x-bluebell-refusal': 'leaving', 'x-bluebell-not-run': 'true', 'retry-after': '2' }
        : {}),
    });
    outgoing.end('busy');
  });
  const call = (target: string) =>
    client.plain(address, {
      method: 'GET',
      target,
      headers: {},
      headTimeoutMs: 1_000,
      signal: new AbortController().signal,
    });
  const refused = (await call('/refuse'))._unsafeUnwrap();
  t.like(refused.refusal, { reason: 'leaving', notRun: true, retryAfterMs: 2_000 });
  t.deepEqual(refused.load, freeLoad);
  refused.body.destroy();
  const answered = (await call('/other'))._unsafeUnwrap();
  t.is(answered.refusal, undefined);
  t.is(await text(answered.body), 'busy');
});

['http://10.0.0.1:70000', 'http://10.0.0.1:-1', 'http://', 'http://[', 'x', ''].forEach(
  (address) => {
    test(`a call to the address “${address}” is not sent`, async (t) => {
      // The list of instances may hold an address that no process has. Nothing was sent, so another server may run the request.
      const client = createHttpAgentClient();
      t.teardown(() => client.close());
      const bid = await client.bid(address, bidRequest, options);
      t.is(bid._unsafeUnwrapErr().kind, 'not-sent');
      const stream = await client.openStream(address, request, options);
      t.like(stream._unsafeUnwrapErr(), { kind: 'not-sent' });
      const headers = {};
      const call = { method: 'GET', target: '/x', headers, headTimeoutMs: 1_000 };
      const plain = await client.plain(address, { ...call, signal: new AbortController().signal });
      t.is(plain._unsafeUnwrapErr().kind, 'not-sent');
    });
  },
);
