import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import { createFakeAgent } from './support/fakeAgents';
import { chat, eventually, startHarness, type Harness } from './support/harness';

const limits = { maxBodyBytes: 2_000, slowSenderTimeoutMs: 150 };

function start(t: ExecutionContext): Promise<Harness> {
  const agents = [
    createFakeAgent({ id: 'agent-1', service: 'draft-models' }),
    createFakeAgent({ id: 'plain-1', service: 'counter-app', role: 'plain' }),
  ];
  return startHarness(t, { agents, limits });
}

interface ErrorCase {
  path?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  status: number;
  reason: string;
}

const completion = (fields: object) => JSON.stringify({ model: 'draft-models', ...fields });
const messages = [{ role: 'user', content: 'hello' }];

const errorCases: Record<string, ErrorCase> = {
  'malformed JSON': { body: '{"model": ', status: 400, reason: 'bad-request' },
  'a body without messages': { body: completion({}), status: 400, reason: 'bad-request' },
  'messages of a wrong type': {
    body: completion({ messages: 'hello' }),
    status: 400,
    reason: 'bad-request',
  },
  'a negative max_tokens': {
    body: completion({ messages, max_tokens: -1 }),
    status: 400,
    reason: 'bad-request',
  },
  'an unknown model': {
    body: JSON.stringify({ model: 'nobody', messages }),
    status: 404,
    reason: 'unknown-service',
  },
  'an unknown adapter': {
    body: JSON.stringify({ model: 'draft-models/nothing', messages }),
    status: 404,
    reason: 'unknown-service',
  },
  'an oversized body': { body: 'x'.repeat(3_000), status: 413, reason: 'body-too-large' },
  'x-no-repeat without Idempotency-Key': {
    headers: { 'x-no-repeat': 'true' },
    body: completion({ messages }),
    status: 400,
    reason: 'missing-idempotency-key',
  },
  'x-no-repeat with another value': {
    headers: { 'x-no-repeat': 'yes' },
    body: completion({ messages }),
    status: 400,
    reason: 'bad-request',
  },
  'an overlong Idempotency-Key': {
    headers: { 'idempotency-key': 'k'.repeat(300) },
    body: completion({ messages }),
    status: 400,
    reason: 'bad-request',
  },
  'an unknown path': { path: '/nowhere', method: 'GET', status: 404, reason: 'unknown-service' },
  'a path that shares only a string prefix with a route': {
    path: '/counterfeit',
    method: 'GET',
    status: 404,
    reason: 'unknown-service',
  },
  'a method that the route does not allow': {
    path: '/receipts',
    method: 'DELETE',
    status: 405,
    reason: 'bad-request',
  },
  'a route that is not repeatable, without Idempotency-Key': {
    path: '/receipts',
    body: 'receipt',
    status: 400,
    reason: 'missing-idempotency-key',
  },
};

Object.entries(errorCases).forEach(([name, errorCase]) => {
  test(`${name}: ${errorCase.status}`, async (t) => {
    const { address, callersApi } = await start(t);
    const { path = '/v1/chat/completions', method = 'POST', headers, body } = errorCase;
    const response = await fetch(`${address}${path}`, { method, headers, body });
    t.is(response.status, errorCase.status);
    t.is(response.headers.get('content-type'), 'application/problem+json');
    t.like(await response.json(), {
      reason: errorCase.reason,
      notRun: true,
      status: errorCase.status,
    });
    await eventually(t, () => callersApi.activeCount() === 0);
  });
});

/** Sends raw lines over TCP; resolves with everything received until the connection ends. */
async function sendRaw(address: string, lines: string[]): Promise<string> {
  const { hostname, port } = new URL(address);
  const socket = connect(Number(port), hostname);
  socket.on('error', () => undefined);
  socket.write(lines.join('\r\n'));
  return text(socket);
}

const head = ['POST /v1/chat/completions HTTP/1.1', 'Host: entry'];

test('a header that is too large: 431', async (t) => {
  const { address } = await start(t);
  const response = await sendRaw(address, [...head, `X-Large: ${'x'.repeat(20_000)}`, '', '']);
  t.regex(response, /^HTTP\/1.1 431 /);
  t.regex(response, /"notRun":true/);
});

test('bytes that are not HTTP: 400', async (t) => {
  const { address } = await start(t);
  t.regex(await sendRaw(address, ['NONSENSE', '', '']), /^HTTP\/1.1 400 /);
});

// A sender stops in the middle of its body and keeps the connection open. Without a time limit it would
// occupy a connection and a buffer indefinitely.
test('a body that does not arrive in time: 408', async (t) => {
  const { address, callersApi } = await start(t);
  const response = await sendRaw(address, [...head, 'Content-Length: 50', '', '{"model"']);
  t.regex(response, /^HTTP\/1.1 408 /);
  t.is(callersApi.activeCount(), 0);
});

test('a header that does not arrive in time: 408', async (t) => {
  const { address } = await start(t);
  t.regex(await sendRaw(address, [...head, 'X-Slow: ']), /^HTTP\/1.1 408 /);
});

// The caller would take the request for refused as not run, though it runs.
test('a request is not answered with the error of what follows it', async (t) => {
  const { address } = await start(t);
  const response = await sendRaw(address, [
    ...['GET /v1/models HTTP/1.1', 'Host: entry', '', 'NONSENSE', '', ''],
  ]);
  t.regex(response, /^HTTP\/1.1 200 [^]*draft-models/);
  t.notRegex(response, /HTTP\/1.1 400 /);
});

// The runtime closes a connection on which it reads CONNECT, under the request that was read before it and runs.
test('a request is answered although a CONNECT follows it on its connection', async (t) => {
  const { address } = await start(t);
  const response = await sendRaw(address, [
    ...['GET /v1/models HTTP/1.1', 'Host: entry', '', 'CONNECT a:1 HTTP/1.1', 'Host: a', '', ''],
  ]);
  t.regex(response, /^HTTP\/1.1 200 [^]*draft-models/);
});

test('a CONNECT is refused with a response', async (t) => {
  const { address } = await start(t);
  t.regex(await sendRaw(address, ['CONNECT a:1 HTTP/1.1', 'Host: a', '', '']), /^HTTP\/1.1 400 /);
});

// `fetch` resolves dot segments itself, so the request line is written by hand.
test('dot segments do not bypass a route that is not repeatable', async (t) => {
  const { address } = await start(t);
  const target = 'POST /counter/%2e%2e/receipts HTTP/1.1';
  const response = await sendRaw(address, [target, 'Host: entry', 'Connection: close', '', '']);
  t.regex(response, /^HTTP\/1.1 400 /);
  t.regex(response, /missing-idempotency-key/);
});

test('a chunked body that grows beyond the limit: 413', async (t) => {
  const { address } = await start(t);
  const chunk = `bb8\r\n${'x'.repeat(3_000)}`;
  const response = await sendRaw(address, [...head, 'Transfer-Encoding: chunked', '', chunk]);
  t.regex(response, /^HTTP\/1.1 413 /);
});

test('connections above the limit are refused with 503', async (t) => {
  // The open connection sends no header, and must stay open for as long as the test takes.
  const openLimits = { maxConnections: 1, slowSenderTimeoutMs: 60_000 };
  const { address } = await startHarness(t, { agents: [], limits: openLimits });
  const { hostname, port } = new URL(address);
  const openSocket = connect(Number(port), hostname);
  t.teardown(() => openSocket.destroy());
  await new Promise((resolve) => {
    openSocket.once('connect', resolve);
  });
  const response = await chat(address);
  t.is(response.status, 503);
  t.truthy(response.headers.get('retry-after'));
});

test('an invalid request id is replaced', async (t) => {
  const { address } = await start(t);
  const response = await chat(address, {}, { headers: { 'x-request-id': 'request 7' } });
  t.regex(response.headers.get('x-request-id') ?? '', /^[0-9a-f-]{36}$/);
});
