/** Callers whose requests are refused before their bodies have ended: each of them reads the refusal. */
import { request as sendRequest } from 'node:http';
import { connect } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { createPortResources, type PortResources } from '@bluebellhitch/ports';
import { createFakeAgent } from './support/fakeAgents';
import { eventually, startHarness, type Harness, type HarnessOptions } from './support/harness';

/** More than the buffers of a connection hold. */
const bodyBytes = 5 * 1_048_576;
const pieceBytes = 65_536;
/** More than those whose end a port waits for at the same time. */
const callerCount = 20;

interface Call {
  path: string;
  isChunked?: boolean;
  headers?: Record<string, string>;
}

type Send = (address: string, call: Call) => Promise<string>;

function headersOf({ isChunked, headers }: Call): Record<string, string> {
  return isChunked
    ? { 'transfer-encoding': 'chunked', ...headers }
    : { 'content-length': String(bodyBytes), ...headers };
}

/** Resolves with the status, or with the error that took its place. */
const readWhileSending: Send = (address, call) =>
  new Promise((resolve) => {
    const outgoing = sendRequest(`${address}${call.path}`, {
      method: 'POST',
      agent: false,
      headers: headersOf(call),
    });
    outgoing.on('error', ({ message }) => resolve(message));
    outgoing.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(String(response.statusCode)));
      response.on('error', ({ message }) => resolve(`cut: ${message}`));
    });
    outgoing.end(Buffer.alloc(bodyBytes, 'a'));
  });

function bytesOf(call: Call): Buffer {
  const lines = Object.entries(headersOf(call)).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `POST ${call.path} HTTP/1.1\r\nhost: x\r\n${lines.join('')}\r\n`;
  const piece = Buffer.alloc(pieceBytes, 'a');
  const part = call.isChunked
    ? Buffer.concat([Buffer.from(`${pieceBytes.toString(16)}\r\n`), piece, Buffer.from('\r\n')])
    : piece;
  const parts = Array.from({ length: bodyBytes / pieceBytes }, () => part);
  return Buffer.concat([
    Buffer.from(head),
    ...parts,
    Buffer.from(call.isChunked ? '0\r\n\r\n' : ''),
  ]);
}

/** As a caller that sends the whole of its request and only then reads. */
const sendBeforeReading: Send = (address, call) =>
  new Promise((resolve) => {
    const { hostname, port } = new URL(address);
    const socket = connect({ host: hostname, port: Number(port) });
    const parts: Buffer[] = [];
    socket.pause();
    socket.on('error', ({ message }) => resolve(message));
    socket.write(bytesOf(call), () => socket.resume());
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('end', () => {
      resolve(Buffer.concat(parts).toString().split(' ')[1] ?? 'closed');
      socket.destroy();
    });
  });

const callers: Record<string, Send> = {
  'reads while it sends': readWhileSending,
  'sends the whole before it reads': sendBeforeReading,
};

const json = { 'content-type': 'application/json' };
/** Resources that connections have used up. */
function createFullResources(): PortResources {
  const resources = createPortResources();
  return { ...resources, memory: { ...resources.memory, isFull: () => true } };
}

const refusals: Record<string, { status: string; call: Call; resources?: PortResources }> = {
  'a path of no service': { status: '404', call: { path: '/nowhere' } },
  'a body beyond the limit': { status: '413', call: { path: '/v1/chat/completions' } },
  'a body that grows beyond the limit': {
    status: '413',
    call: { path: '/v1/chat/completions', isChunked: true, headers: json },
  },
  'a plain body beyond the limit': { status: '413', call: { path: '/counter' } },
  'no memory for another request': {
    status: '503',
    call: { path: '/counter' },
    resources: createFullResources(),
  },
};

function start(t: ExecutionContext, options: Partial<HarnessOptions> = {}): Promise<Harness> {
  const agent = createFakeAgent({ id: 'agent-1', service: 'counter-app', role: 'plain' });
  return startHarness(t, {
    agents: [agent],
    document: { limits: { maxBodyBytes: bodyBytes / 2 } },
    limits: { slowSenderTimeoutMs: 20_000 },
    ...options,
  });
}

// A connection that is closed while its caller still sends is reset, and the caller loses the refusal that it has not read.
Object.entries(callers).forEach(([caller, send]) => {
  Object.entries(refusals).forEach(([name, { status, call, resources }]) => {
    test.serial(`a caller that ${caller} reads the refusal: ${name}`, async (t) => {
      const harness = await start(t, { resources });
      const results = await Promise.all(
        Array.from({ length: callerCount }, () => send(harness.address, call)),
      );
      t.deepEqual(
        results,
        Array.from({ length: callerCount }, () => status),
      );
    });
  });
});

// The rest of a refused body is read, so what its caller sends behind it arrives as well: it would run, and its response would be
// lost with the connection.
test.serial('a request behind a refused body is not passed on', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service: 'counter-app', role: 'plain' });
  const { address } = await start(t, { agents: [agent] });
  const { hostname, port } = new URL(address);
  const socket = connect({ host: hostname, port: Number(port) });
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (part: Buffer) => {
    received += part.toString();
  });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.write('POST /nowhere HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhello');
  await eventually(t, () => received.includes('404'));
  socket.write('hello'.concat('GET /counter HTTP/1.1\r\nhost: x\r\n\r\n'));
  await closed;
  t.is(agent.plainCalls.length, 0);
  t.is(received.split('HTTP/1.1 ').length, 2);
});
