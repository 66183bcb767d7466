import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import type { CallerExchange, ReadBarrier } from '@bluebellhitch/routing';
import { openConnection, request, startServer, until } from './support/callersServerFixture';

/** Longer than a response takes on a busy machine. */
const waitMs = 2_000;

test('a response that started before the drain closes its connection at its end', async (t) => {
  // Guards against a caller's next request being lost when the process exits: the head of a stream has announced a
  // keep-alive connection before the process is told to stop, so the connection must close when the stream ends.
  let finish: () => void = () => undefined;
  const server = await startServer(t, (exchange) => {
    const writer = exchange.startResponse(200, []);
    writer.write(Buffer.from('part'));
    finish = writer.end;
  });
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await until(() => text().includes('part'));
  server.beginDrain();
  finish();
  await closed;
  t.true(text().endsWith('0\r\n\r\n'));
});

test('a complete response during the drain announces that its connection closes', async (t) => {
  const server = await startServer(t, (exchange) =>
    exchange.respond({ status: 200, headers: ['X-A', 'b'], body: Buffer.from('all') }),
  );
  server.beginDrain();
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await closed;
  t.regex(text(), /Connection: close/i);
  t.true(text().endsWith('all'));
});

test('the signal aborts when the caller disconnects', async (t) => {
  const signals: AbortSignal[] = [];
  const server = await startServer(t, ({ signal }) => signals.push(signal));
  const { socket } = openConnection(t, server.port);
  socket.write(request);
  await until(() => signals.length === 1);
  socket.destroy();
  await until(() => signals[0]?.aborted === true);
  t.pass();
});

test('requests behind another one on their connection end with it', async (t) => {
  // The runtime reports no end of a response that waits behind another one: its request went on, and the process never
  // counted as idle again.
  const signals: AbortSignal[] = [];
  const server = await startServer(t, ({ signal }) => signals.push(signal));
  const { socket } = openConnection(t, server.port);
  socket.write(request.repeat(20));
  await until(() => signals.length === 20);
  t.is(server.activeCount(), 20);
  socket.destroy();
  await until(() => signals.every(({ aborted }) => aborted));
  await server.whenIdle();
  t.is(server.activeCount(), 0);
});

test('the signal aborts when the caller ends its sending side', async (t) => {
  const signals: AbortSignal[] = [];
  const server = await startServer(t, ({ signal }) => signals.push(signal));
  const { socket } = openConnection(t, server.port);
  socket.write(request);
  await until(() => signals.length === 1);
  socket.end();
  await until(() => signals[0]?.aborted === true);
  t.pass();
});

test('a request is not served before the end of its connection could be read', async (t) => {
  let isCurrent = false;
  let passCount = 0;
  const readBarrier: ReadBarrier = {
    check: () => ({
      isCurrent: () => isCurrent,
      async nextPass() {
        passCount += 1;
        await nextTurn();
      },
    }),
  };
  let leftCount = 0;
  const served: string[] = [];
  const server = await startServer(t, ({ request: { target } }) => served.push(target), {
    readBarrier,
    onLeftUnserved() {
      leftCount += 1;
    },
  });
  const leaving = openConnection(t, server.port);
  leaving.socket.write(request);
  await until(() => passCount > 0);
  leaving.socket.destroy();
  await until(() => leftCount === 1);
  t.deepEqual(served, []);
  const staying = openConnection(t, server.port);
  staying.socket.write(request);
  await until(() => server.activeCount() === 1);
  t.deepEqual(served, []);
  isCurrent = true;
  await until(() => served.length === 1);
  t.is(leftCount, 1);
});

test('an aborted response does not look complete', async (t) => {
  const server = await startServer(t, (exchange) => {
    const writer = exchange.startResponse(200, []);
    writer.write(Buffer.from('part'));
    setTimeout(writer.abort, 10);
  });
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await closed;
  t.regex(text(), /Transfer-Encoding: chunked/i);
  t.false(text().endsWith('0\r\n\r\n'));
});

test('a request with both Content-Length and Transfer-Encoding is refused before its body is read', async (t) => {
  // Guards against request smuggling: two parsers could disagree on where the body ends.
  const server = await startServer(t, () => t.fail('served'));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(
    'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
  );
  await closed;
  t.regex(text(), /^HTTP\/1\.1 400 /);
});

test('a body above the size limit is refused', async (t) => {
  const server = await startServer(t, () => t.fail('served'));
  server.setLimits({
    maxHeaderBytes: 1_000,
    maxBodyBytes: 4,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  });
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write('POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345');
  await closed;
  t.regex(text(), /^HTTP\/1\.1 413 /);
});

test('a connection that may not be served is closed unread, and kept ones are served on', async (t) => {
  // Callers go on at another router at once; a request that was read would have to be answered here.
  let mayServe = true;
  let servedCount = 0;
  const server = await startServer(
    t,
    ({ respond }) => {
      servedCount += 1;
      respond({ status: 200, headers: [], body: Buffer.from('ok') });
    },
    { mayServeConnection: () => mayServe },
  );
  const kept = openConnection(t, server.port);
  kept.socket.write(request);
  await until(() => kept.text().includes('ok'));
  mayServe = false;
  const surplus = openConnection(t, server.port);
  surplus.socket.write(request);
  await surplus.closed;
  t.is(surplus.text(), '');
  kept.socket.write(request);
  await until(() => servedCount === 2);
  mayServe = true;
  const later = openConnection(t, server.port);
  later.socket.write(request);
  await until(() => later.text().includes('ok'));
  t.is(servedCount, 3);
});

test('a response that breaks off does not look complete to a caller of HTTP/1.0', async (t) => {
  // It has no chunks and ends with its connection, so a connection that was closed looked like its end.
  const server = await startServer(t, ({ startResponse }) => {
    const writer = startResponse(200, []);
    writer.write(Buffer.from('part'));
    setTimeout(writer.abort, 50);
  });
  const { socket, closed, text } = openConnection(t, server.port);
  let wasReset = false;
  socket.once('error', () => {
    wasReset = true;
  });
  socket.write(request.replace('HTTP/1.1', 'HTTP/1.0'));
  await until(() => text().includes('part'));
  await closed;
  t.true(wasReset);
});

test('a whole request is answered although a defect ends its handling', async (t) => {
  // Its connection was closed without a response, so that its caller could not know whether it had run.
  const server = await startServer(t, () => {
    throw new Error('defect');
  });
  const { socket, text } = openConnection(t, server.port);
  socket.write(request);
  await Promise.race([until(() => text().includes('\r\n\r\n')), delay(waitMs)]);
  t.regex(text(), /^HTTP\/1\.1 502 /);
});

test('a request is answered although a CONNECT follows it on its connection', async (t) => {
  // The runtime closes a connection on which it reads CONNECT, under the request that was read before it and runs.
  const exchanges: CallerExchange[] = [];
  const server = await startServer(t, (exchange) => exchanges.push(exchange));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(`${request}CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n`);
  await Promise.race([until(() => exchanges.length === 1), delay(waitMs)]);
  t.is(exchanges.length, 1);
  await delay(50);
  exchanges[0]?.respond({ status: 200, headers: [], body: Buffer.from('whole') });
  await closed;
  t.regex(text(), /^HTTP\/1\.1 200 [^]*\r\n\r\nwhole$/);
});

test('a CONNECT is refused with a response', async (t) => {
  // The runtime closes its connection without one, and without a line.
  const server = await startServer(t, () => t.fail('served'));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write('CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n');
  await closed;
  t.regex(text(), /^HTTP\/1\.1 400 /);
});
