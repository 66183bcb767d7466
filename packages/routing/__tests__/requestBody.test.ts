/** The memory of request bodies, and callers whose requests are refused while their bodies arrive. */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import { err, ok } from 'neverthrow';
import {
  startCallersServer,
  type CallerExchange,
  type CallersServerOptions,
  type DecodeHead,
} from '@bluebellhitch/routing';
import { createMemoryAccount, createReadTurns } from '@bluebellhitch/ports';
import { createLogger } from '@bluebellhitch/telemetry';

const maxBufferedBytes = 200_000;
const maxBodyBytes = 4_000_000;
const longBody = Buffer.alloc(3_000_000, 'x');

const resourcesFor = (bodies: number) => ({
  memory: createMemoryAccount({ bodies, connections: 10_000_000 }),
  turns: createReadTurns(),
  maxConnections: 100,
});

/** The path `/for/N` states a deadline of N ms, `/malformed` a head that is refused. */
const decodeHead: DecodeHead = ({ method, target, arrivedAtMs }) =>
  target === '/malformed'
    ? err({ kind: 'malformed', detail: 'by its path' })
    : ok({
        id: 'r1',
        method,
        target,
        host: 'a.example',
        headers: [],
        arrivedAtMs,
        deadlineAtMs: arrivedAtMs + Number(/^\/for\/(\d+)/.exec(target)?.[1] ?? 10_000),
        credential: { kind: 'none' },
        credentialHeaders: [],
      });

interface Fixture {
  open(): Caller;
  served: CallerExchange[];
}

interface Caller {
  socket: Socket;
  closed: Promise<void>;
  text(): string;
}

async function startServer(
  t: ExecutionContext,
  overrides: Partial<CallersServerOptions> = {},
): Promise<Fixture> {
  const served: CallerExchange[] = [];
  const server = await startCallersServer({
    host: '127.0.0.1',
    port: 0,
    decodeHead,
    async serve(exchange) {
      served.push(exchange);
      if (exchange.request.target !== '/held') {
        exchange.respond({ status: 200, headers: [], body: Buffer.from('whole') });
      }
      return Promise.resolve();
    },
    logger: createLogger({ binary: 'test', instanceId: 't', write: () => undefined }),
    resources: resourcesFor(maxBufferedBytes),
    maxConnections: 100,
    ...overrides,
  });
  const limits = { maxHeaderBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
  server.setLimits({ ...limits, maxBodyBytes });
  t.teardown(() => {
    server.stopAccepting();
    server.close();
  });
  return { served, open: () => openConnection(t, server.port) };
}

function openConnection(t: ExecutionContext, port: number): Caller {
  const socket = connect({ host: '127.0.0.1', port });
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  return { socket, closed, text: () => text };
}

const head = (length: number, target = '/a') =>
  `POST ${target} HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${length}\r\n\r\n`;
const chunkedHead = 'POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n';

async function until(condition: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + 5_000;
  while (!condition()) {
    if (performance.now() > endsAtMs) {
      throw new Error('condition not met in time');
    }
    await delay(2);
  }
}

async function callWithAllMemory({ open }: Fixture): Promise<string> {
  const caller = open();
  caller.socket.write(head(maxBufferedBytes));
  caller.socket.write(Buffer.alloc(maxBufferedBytes, 'y'));
  await until(() => caller.text().includes('\r\n\r\n'));
  caller.socket.destroy();
  return caller.text();
}

/**
 * A caller gets a 200 for a body that takes all of the memory, so nothing is counted that is not held. The end of the
 * connection before may be read a moment later.
 */
async function assertAllMemoryIsFree(t: ExecutionContext, fixture: Fixture): Promise<void> {
  const endsAtMs = performance.now() + 1_500;
  let text = await callWithAllMemory(fixture);
  while (!text.startsWith('HTTP/1.1 200 ') && performance.now() < endsAtMs) {
    await delay(20);
    text = await callWithAllMemory(fixture);
  }
  t.regex(text, /^HTTP\/1\.1 200 /);
}

test('after a burst of long bodies all memory is free again', async (t) => {
  // Bytes that were read after a response was over were counted up and never down, until every request with a body was
  // refused, for as long as the process ran.
  const fixture = await startServer(t);
  for (let round = 0; round < 3; round += 1) {
    const callers = Array.from({ length: 8 }, () => fixture.open());
    callers.forEach(({ socket }) => socket.write(head(longBody.length)));
    callers.forEach(({ socket }) => socket.write(longBody));
    await Promise.all(callers.map(({ closed }) => closed));
    await assertAllMemoryIsFree(t, fixture);
  }
});

const refusals = [
  { name: 'for want of memory', target: '/a', firstBytes: maxBufferedBytes + 1, status: 503 },
  {
    ...{ name: 'for its size', target: '/a', firstBytes: maxBodyBytes + 1, status: 413 },
    resources: resourcesFor(2 * maxBodyBytes),
  },
  { name: 'for its head', target: '/malformed', firstBytes: 1, status: 400 },
];
refusals.forEach(({ name, target, firstBytes, status, ...overrides }) => {
  test(`a caller that is refused ${name} may send its body to the end`, async (t) => {
    // The connection was closed with unread bytes, which resets it: a caller that was still sending could lose the refusal,
    // and then did not know that its request had not run.
    const fixture = await startServer(t, overrides);
    const { socket, closed, text } = fixture.open();
    const errors: (string | undefined)[] = [];
    socket.on('error', ({ code }: NodeJS.ErrnoException) => errors.push(code));
    const restBytes = 400_000;
    socket.write(head(firstBytes + restBytes, target));
    socket.write(Buffer.alloc(firstBytes, 'x'));
    await until(() => text().endsWith('}'));
    await delay(50);
    socket.write(Buffer.alloc(restBytes / 2, 'x'));
    await delay(50);
    t.false(socket.readableEnded);
    socket.write(Buffer.alloc(restBytes / 2, 'x'));
    await closed;
    t.true(text().startsWith(`HTTP/1.1 ${status} `));
    t.deepEqual(errors, []);
    t.is(fixture.served.length, 0);
  });
});

test('a caller that sends on and on after a refusal is cut off', async (t) => {
  // Bytes that nobody holds still take processor time and a connection.
  const { open } = await startServer(t);
  const { socket, closed } = open();
  socket.write(head(100_000_000, '/malformed'));
  const sending = setInterval(() => socket.write(Buffer.alloc(1_000_000, 'x')), 20);
  await closed;
  clearInterval(sending);
  t.true(socket.bytesWritten < 50_000_000);
});

/** Each leaves its caller's body without a response that completes it. */
const endings: { name: string; end: (fixture: Fixture) => Promise<void> }[] = [
  {
    name: 'leaves in its body',
    async end({ open }) {
      const { socket } = open();
      socket.write(head(longBody.length));
      socket.write(longBody.subarray(0, 100_000));
      await delay(20);
      socket.destroy();
    },
  },
  {
    name: 'resets its connection after a refusal',
    async end({ open }) {
      const { socket, text } = open();
      socket.write(head(longBody.length));
      socket.write(longBody.subarray(0, maxBufferedBytes + 1));
      await until(() => text().includes('503'));
      socket.write(longBody.subarray(0, 100_000));
      socket.resetAndDestroy();
    },
  },
  {
    name: 'sends chunks without an end, and leaves',
    async end({ open }) {
      const { socket, text } = open();
      socket.write(chunkedHead);
      for (let sent = 0; sent < 3; sent += 1) {
        socket.write(`${(100_000).toString(16)}\r\n`);
        socket.write(longBody.subarray(0, 100_000));
        socket.write('\r\n');
      }
      await until(() => text().includes('503'));
      socket.end();
    },
  },
  {
    name: 'ends its sending side in its body',
    async end({ open }) {
      const { socket, closed } = open();
      socket.write(head(longBody.length));
      socket.write(longBody.subarray(0, 100_000));
      socket.end();
      await closed;
    },
  },
  {
    name: 'leaves with a body that waits behind another request',
    async end({ open, served }) {
      const { socket } = open();
      socket.write(head(5, '/held'));
      socket.write('12345');
      socket.write(head(longBody.length));
      socket.write(longBody.subarray(0, 100_000));
      await until(() => served.length > 0);
      await delay(20);
      socket.destroy();
    },
  },
  {
    name: 'is refused behind another request',
    async end({ open, served }) {
      const { socket } = open();
      socket.write(head(5, '/held'));
      socket.write('12345');
      socket.write(head(longBody.length));
      socket.write(longBody);
      await until(() => served.length > 0);
      await delay(50);
      socket.destroy();
    },
  },
  {
    name: 'sends its next request with the first one',
    async end({ open }) {
      const { socket, text } = open();
      const request = `${head(5)}12345`;
      socket.write(`${request}${request}`);
      await until(() => text().split('whole').length === 3);
      socket.write(head(longBody.length));
      socket.write(longBody);
      await until(() => text().includes('503'));
    },
  },
];
endings.forEach(({ name, end }) => {
  test(`all memory is free after a caller that ${name}`, async (t) => {
    // What is counted and not held takes memory away from all later bodies.
    const fixture = await startServer(t);
    for (let round = 0; round < 3; round += 1) {
      fixture.served.length = 0;
      await end(fixture);
      await delay(50);
      await assertAllMemoryIsFree(t, fixture);
    }
  });
});

const silences = [
  { name: 'deadline', target: '/for/300' },
  { name: 'route’s timeout', target: '/a', routeTimeoutMs: () => 300 },
];
silences.forEach(({ name, target, ...overrides }) => {
  test(`a body that is not complete by the request’s ${name} is refused and dropped`, async (t) => {
    // A caller that vanishes without an end sends nothing more: its body was kept, and counted, for ever.
    const fixture = await startServer(t, overrides);
    const caller = fixture.open();
    caller.socket.write(head(longBody.length, target));
    caller.socket.write(longBody.subarray(0, 100_000));
    await until(() => caller.text().endsWith('}'));
    t.regex(caller.text(), /^HTTP\/1\.1 408 /);
    await assertAllMemoryIsFree(t, fixture);
    await caller.closed;
    t.true(fixture.served.every(({ request }) => request.body.length === maxBufferedBytes));
  });
});

test('a request that follows a refused one on its connection is not run', async (t) => {
  // Its response would be lost, as the connection closes after the refusal.
  const fixture = await startServer(t);
  const { socket, closed, text } = fixture.open();
  socket.write(head(5, '/malformed'));
  await until(() => text().endsWith('}'));
  socket.write(`12345${head(5)}12345`);
  await closed;
  t.is(fixture.served.length, 0);
});
