import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import test, { type ExecutionContext } from 'ava';
import { guardPort, type PortGuardOptions } from '../src/portGuard';
import { createMemoryAccount } from '../src/memoryAccount';
import { createReadTurns } from '../src/readTurns';

type Handler = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

const request = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
const maxRequestsPerConnection = 4;
const requestsPerPiece = 3;
const bytesPerRead = 65_536;
const longInput = request.repeat(50_000);
/** Longer than reading it takes without a bound. */
const quietMs = 500;

async function startServer(
  t: ExecutionContext,
  handler: Handler,
  options: Partial<PortGuardOptions> = {},
) {
  const memory = createMemoryAccount({ bodies: 0, connections: 10_000_000 });
  const server = createServer(handler);
  const guard = guardPort(server, {
    resources: { memory, turns: createReadTurns(), maxConnections: 100 },
    maxConnections: 10,
    maxRequestsPerConnection,
    ...options,
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { memory, guard, server, open: () => open(t, port) };
}

function open(t: ExecutionContext, port: number) {
  const socket = connect({ host: '127.0.0.1', port });
  let text = '';
  socket.on('data', (data) => {
    text += data.toString('latin1');
  });
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  return { socket, closed, text: () => text };
}

async function until(condition: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + 5_000;
  while (!condition()) {
    if (performance.now() > endsAtMs) {
      throw new Error('condition not met in time');
    }
    await delay(2);
  }
}

const countOf = (text: string, part: string) => text.split(part).length - 1;

test('requests sent ahead are taken a few at a time, and all are answered in order', async (t) => {
  // The runtime takes all requests of a read, thousands of them, before it stops reading.
  const waiting: ServerResponse[] = [];
  let most = 0;
  const { open: openCaller } = await startServer(t, (_incoming, outgoing) => {
    waiting.push(outgoing);
    most = Math.max(most, waiting.length);
  });
  const { socket, text } = openCaller();
  socket.write(request.repeat(50));
  for (let answered = 0; answered < 50; answered += 1) {
    await until(() => waiting.length > 0);
    waiting.shift()?.end(`answer ${answered};`);
  }
  await until(() => countOf(text(), 'answer') === 50);
  t.true(most <= maxRequestsPerConnection + requestsPerPiece, `${most} at a time`);
  t.deepEqual(
    [...text().matchAll(/answer (\d+);/g)].map(([, number]) => Number(number)),
    Array.from({ length: 50 }, (_none, index) => index),
  );
});

const refusedByRuntime = {
  'without a host': 'GET / HTTP/1.1\r\n\r\n',
  'with an expectation that is not known': 'GET / HTTP/1.1\r\nHost: a\r\nExpect: a\r\n\r\n',
};

Object.entries(refusedByRuntime).forEach(([kind, refused]) => {
  test(`requests sent ahead ${kind} are taken a few at a time`, async (t) => {
    // The runtime answers them by itself, so they were not counted: all of a read were parsed before the first answer was sent.
    const { open: openCaller, server } = await startServer(t, () => undefined);
    let [unfinished, most] = [0, 0];
    const note = (message: unknown) => {
      const started = message as { response: ServerResponse; server: unknown };
      if (started.server === server) {
        unfinished += 1;
        most = Math.max(most, unfinished);
        started.response.once('close', () => {
          unfinished -= 1;
        });
      }
    };
    subscribe('http.server.request.start', note);
    t.teardown(() => unsubscribe('http.server.request.start', note));
    const { socket, text, closed } = openCaller();
    socket.end(refused.repeat(1_000));
    await closed;
    t.regex(text(), /^HTTP\/1\.1 4/);
    t.true(most <= maxRequestsPerConnection + requestsPerPiece, `${most} at a time`);
  });
});

test('the body of the last request that may be in progress is read', async (t) => {
  // Reading stopped at the bound, and the request that had reached it waited for its own body.
  const { open: openCaller } = await startServer(
    t,
    (incoming, outgoing) => {
      incoming.resume();
      incoming.once('end', () => outgoing.end('whole'));
    },
    { maxRequestsPerConnection: 1 },
  );
  const { socket, text } = openCaller();
  socket.write('POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n');
  socket.write(Buffer.alloc(200_000, '\n'));
  await until(() => text().endsWith('whole'));
  t.pass();
});

test('a caller that leaves while its requests are in progress is noticed', async (t) => {
  const sockets: Socket[] = [];
  const { memory, open: openCaller } = await startServer(t, ({ socket }) => sockets.push(socket));
  const { socket } = openCaller();
  socket.write(request);
  await until(() => sockets.length === 1);
  t.true(memory.connectionBytes() > 0);
  socket.destroy();
  await until(() => sockets[0]?.destroyed === true && memory.connectionBytes() === 0);
});

test('the connection whose caller reads nothing is closed for want of memory, and others stay', async (t) => {
  // Whole answers that wait for a caller that does not read were held without a bound.
  const memory = createMemoryAccount({ bodies: 0, connections: 1_000_000 });
  const resources = { memory, turns: createReadTurns(), maxConnections: 100 };
  const held: { guard?: Awaited<ReturnType<typeof startServer>>['guard'] } = {};
  const started = await startServer(
    t,
    (incoming, outgoing) => {
      held.guard?.of(incoming.socket).holdAnswer(incoming.url === '/long' ? 900_000 : 100);
      outgoing.write('part');
    },
    { resources },
  );
  held.guard = started.guard;
  const [greedy, other] = [started.open(), started.open()];
  other.socket.write(request);
  await until(() => other.text().includes('part'));
  greedy.socket.write(request.replace('/a', '/long').repeat(2));
  await greedy.closed;
  t.false(other.socket.destroyed);
  t.true(memory.connectionBytes() < 100_000);
});

test('what is sent after an answer to an incomplete request is dropped, and the connection is closed', async (t) => {
  let requestCount = 0;
  const { open: openCaller } = await startServer(t, (_incoming, outgoing) => {
    requestCount += 1;
    outgoing.end('early');
  });
  const { socket, closed, text } = openCaller();
  socket.write('POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n');
  await until(() => text().includes('early'));
  socket.write(`0\r\n\r\n${request}`);
  await closed;
  t.is(requestCount, 1);
});

test.serial('input that is dropped is read slowly, and up to its end', async (t) => {
  // It was read at wire speed, a buffer for each read: the process held more of them than its garbage collection could free.
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
  t.teardown(() => clock.uninstall());
  const sockets = new Set<Socket>();
  const started = await startServer(t, ({ socket }) => {
    sockets.add(socket);
    started.guard.of(socket).discardInput();
  });
  const callers = Array.from({ length: 4 }, started.open);
  callers.forEach(({ socket }) => socket.end(longInput));
  await until(() => sockets.size === callers.length);
  await delay(quietMs);
  const readBytes = () => [...sockets].reduce((sum, { bytesRead }) => sum + bytesRead, 0);
  const readAtOnce = readBytes();
  t.true(readAtOnce <= (callers.length + 1) * bytesPerRead, `${readAtOnce} bytes at once`);
  await until(() => {
    clock.tick(5);
    return [...sockets].every(({ readableEnded }) => readableEnded);
  });
  t.is(readBytes(), callers.length * longInput.length);
});

test('a new connection takes the place of the oldest one', async (t) => {
  const { open: openCaller } = await startServer(
    t,
    (_incoming, outgoing) => outgoing.end('served'),
    {
      maxConnections: 2,
    },
  );
  const [first, second] = [openCaller(), openCaller()];
  first.socket.write(request);
  await until(() => first.text().includes('served'));
  second.socket.write(request);
  await until(() => second.text().includes('served'));
  const third = openCaller();
  third.socket.write(request);
  await until(() => third.text().includes('served'));
  await first.closed;
  t.false(second.socket.destroyed);
});

test('a connection that is in use is not closed for a new one where that is asked', async (t) => {
  const { open: openCaller } = await startServer(
    t,
    (_incoming, outgoing) => {
      outgoing.write('part');
    },
    { maxConnections: 1, minQuietMs: 0 },
  );
  const first = openCaller();
  first.socket.write(request);
  await until(() => first.text().includes('part'));
  await openCaller().closed;
  t.false(first.socket.destroyed);
});
