import { setImmediate as immediate, setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { CallerExchange } from '@bluebellhitch/routing';
import { openConnection, request, startServer, until } from './support/callersServerFixture';

const whole = { status: 200, headers: [], body: Buffer.from('whole') };
const wholeResponses = (text: string) => [...text.matchAll(/\r\n\r\nwhole/g)].length;
const limits = { maxHeaderBytes: 1_000, maxBodyBytes: 1_000, idleTimeoutMs: 1_000 };
/** Longer than a connection stays open for a next request. */
const quietMs = 400;
/** Resolves once the runtime has begun to connect, which the kernel completes at once on loopback. */
const queueConnection = () =>
  new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });

/** Longer than a pass of an event loop that has processor time. */
const busyMs = 200;

/** The runtime keeps idle connections for so much longer than it says. */
const runtimeToleranceMs = 1_000;

function holdUp(durationMs: number): void {
  const endsAtMs = monotonicNowMs() + durationMs;
  while (monotonicNowMs() < endsAtMs);
}

/** Serves the first request with a stream that the test ends, and all others at once. */
function streamThenWhole() {
  const stream = { end: () => undefined as void };
  const served: string[] = [];
  return {
    stream,
    served,
    serve({ request: { target }, startResponse, respond }: CallerExchange) {
      served.push(target);
      if (served.length > 1) {
        respond(whole);
        return;
      }
      const writer = startResponse(200, []);
      writer.write(Buffer.from('part'));
      stream.end = writer.end;
    },
  };
}

test('a request sent as soon as a stream of a stopping router has ended is answered', async (t) => {
  // The head of the stream promised to keep the connection, so its caller sends the next request there at once: it was run, on a
  // connection whose sending side the router had ended.
  const { stream, served, serve } = streamThenWhole();
  const server = await startServer(t, serve);
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await until(() => text().includes('part'));
  server.stopAccepting();
  socket.on('data', (bytes: Buffer) => {
    if (bytes.toString('latin1').endsWith('0\r\n\r\n')) {
      socket.write(request);
    }
  });
  stream.end();
  await server.whenIdle();
  await closed;
  t.is(served.length, 2);
  t.is(wholeResponses(text()), 1);
  t.regex(text(), /Connection: close/i);
});

test('a request that arrives once its connection is closing is not served', async (t) => {
  // It can no longer be answered. Its caller need not have read the close yet, and may send on.
  const { stream, served, serve } = streamThenWhole();
  const server = await startServer(t, serve);
  const { socket, closed, text } = openConnection(t, server.port, { allowHalfOpen: true });
  socket.write(request);
  await until(() => text().includes('part'));
  server.beginDrain();
  const ended = new Promise<void>((resolve) => {
    socket.once('end', () => resolve());
  });
  stream.end();
  await ended;
  socket.write(request);
  await delay(100);
  socket.destroy();
  await closed;
  t.is(served.length, 1);
});

test('requests behind one whose response closes the connection of a stopping router are answered', async (t) => {
  // A caller may send several requests in a row; the response of the first one announced the close, and the others were run.
  const exchanges: CallerExchange[] = [];
  const server = await startServer(t, (exchange) => exchanges.push(exchange));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request.repeat(3));
  await until(() => exchanges.length === 3);
  server.beginDrain();
  exchanges.forEach(({ respond }) => respond(whole));
  await closed;
  t.is(wholeResponses(text()), 3);
  t.is([...text().matchAll(/Connection: close/gi)].length, 1);
});

test('a router that stops accepting sends responses to their end', async (t) => {
  // The runtime takes connections for idle whose response is made but not sent yet, as the caller reads slowly.
  const body = Buffer.alloc(16_000_000, 'a');
  const server = await startServer(t, ({ respond }) => respond({ ...whole, body }));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.pause();
  socket.write(request);
  await until(() => server.activeCount() === 1);
  await delay(100);
  server.stopAccepting();
  await delay(100);
  socket.resume();
  await server.whenIdle();
  await closed;
  t.true(text().endsWith('\r\n\r\n'.concat('a'.repeat(body.length))));
});

test('a request whose head came too slowly is not served after all', async (t) => {
  // The refusal ends the sending side; the rest of the head was still read, and the request was run.
  let servedCount = 0;
  const server = await startServer(t, () => {
    servedCount += 1;
  });
  server.setLimits({ ...limits, headerTimeoutMs: 100 });
  const { socket, closed, text } = openConnection(t, server.port, { allowHalfOpen: true });
  socket.write(request.slice(0, 20));
  await until(() => text().startsWith('HTTP/1.1 408'));
  socket.write(request.slice(20));
  await delay(100);
  socket.destroy();
  await closed;
  t.is(servedCount, 0);
});

test('a request is not answered with the error of what follows it', async (t) => {
  // The caller would take the request for refused, though it runs, and its own response could not be sent.
  const exchanges: CallerExchange[] = [];
  const server = await startServer(t, (exchange) => exchanges.push(exchange));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(`${request}no request\r\n\r\n`);
  await until(() => exchanges.length === 1);
  await delay(50);
  exchanges[0]?.respond(whole);
  await closed;
  t.regex(text(), /^HTTP\/1\.1 200 [^]*\r\n\r\nwhole$/);
});

test('a request that may last longer than a stopping router is refused as not run', async (t) => {
  // It would be cut off when the process exits.
  const { stream, served, serve } = streamThenWhole();
  const server = await startServer(t, serve);
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await until(() => text().includes('part'));
  server.refuseBeyond(performance.now() + 5_000);
  server.stopAccepting();
  stream.end();
  socket.write(request);
  await closed;
  t.is(served.length, 1);
  t.regex(text(), /HTTP\/1\.1 503 [^]*stopping/);
});

test('a connection that has sent nothing yet is served by a router that stops accepting', async (t) => {
  // It was accepted just before, and its request is on the way.
  const server = await startServer(t, ({ respond }) => respond(whole));
  const { socket, closed, text } = openConnection(t, server.port);
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  await delay(20);
  server.stopAccepting();
  socket.write(request);
  await closed;
  t.is(wholeResponses(text()), 1);
});

test('a response that its caller still reads is not cut by what the caller sends behind it', async (t) => {
  // The runtime closed the connection behind its last response. What arrived then reset it, and the rest of the response was lost.
  const body = Buffer.alloc(1_000_000, 'a');
  let servedCount = 0;
  const server = await startServer(t, ({ respond }) => {
    servedCount += 1;
    respond({ ...whole, body });
  });
  const { socket, closed, text } = openConnection(t, server.port);
  server.beginDrain();
  socket.pause();
  socket.write(request);
  await until(() => servedCount === 1);
  await delay(50);
  socket.write(request);
  server.stopAccepting();
  await delay(50);
  socket.resume();
  await server.whenIdle();
  server.close();
  await closed;
  t.true(text().endsWith('\r\n\r\n'.concat('a'.repeat(body.length))), `${text().length} bytes`);
});

test('a request that arrived while a stopping router was held up is served', async (t) => {
  // Its connection counted as quiet, as the time was over before anything was read: the request was read and dropped.
  const server = await startServer(t, ({ respond }) => respond(whole));
  const { socket, closed, text } = openConnection(t, server.port);
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  await delay(20);
  // From here, the event loop comes to its timers before it reads.
  await immediate();
  server.stopAccepting();
  socket.write(request);
  holdUp(500);
  await closed;
  t.is(wholeResponses(text()), 1);
});

test('a request on a quiet connection that a router has not read when it stops accepting is answered', async (t) => {
  // A process that was held up closes quiet connections before it reads what arrived meanwhile: the request was read and dropped.
  const server = await startServer(t, ({ respond }) => respond(whole));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await until(() => wholeResponses(text()) === 1);
  await delay(quietMs);
  socket.write(request);
  server.stopAccepting();
  await closed;
  t.is(wholeResponses(text()), 2);
});

test('a connection that a router has not accepted when it stops accepting is served', async (t) => {
  // The end of the listening socket reset the connections in its queue, whose callers had sent their requests.
  const server = await startServer(t, ({ respond }) => respond(whole));
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await queueConnection();
  server.stopAccepting();
  await Promise.all([closed, server.whenIdle()]);
  t.is(wholeResponses(text()), 1);
});

// Nothing else may block the event loop while the connection waits for the request.
test.serial(
  'a stopping router does not count as idle when the last request that it waits for comes',
  async (t) => {
    // It waited for nothing else, took itself for idle before it counted the request, and ended.
    let servedCount = 0;
    const server = await startServer(t, async ({ respond }) => {
      servedCount += 1;
      await delay(servedCount === 1 ? 0 : quietMs);
      respond(whole);
    });
    const { socket, closed, text } = openConnection(t, server.port);
    socket.write(request);
    await until(() => wholeResponses(text()) === 1);
    server.stopAccepting();
    await delay(50);
    socket.write(request);
    await server.whenIdle();
    server.close();
    await closed;
    t.is(servedCount, 2);
    t.is(wholeResponses(text()), 2);
  },
);

test.serial(
  'a connection that arrives while a busy router closes its port is served',
  async (t) => {
    // A pass of an event loop without processor time takes long: what arrived after its accepts was reset, half a second later.
    const server = await startServer(t, ({ respond }) => respond(whole));
    const opened = new Promise<ReturnType<typeof openConnection>>((resolve) => {
      // Between the accepts of the first whole pass of the event loop and its end.
      setImmediate(() => {
        setImmediate(() => {
          holdUp(busyMs);
          resolve(openConnection(t, server.port));
        });
      });
    });
    server.stopAccepting();
    const { socket, closed, text } = await opened;
    socket.write(request);
    await Promise.all([closed, server.whenIdle()]);
    t.is(wholeResponses(text()), 1);
  },
);

test.serial(
  'a request that arrived while a router was held up is served on a connection that was idle for long',
  async (t) => {
    // The connection's idle time was over before anything was read: the request was reset with it.
    const server = await startServer(t, ({ respond }) => respond(whole));
    server.setLimits({ ...limits, headerTimeoutMs: 5_000, idleTimeoutMs: busyMs });
    const { socket, text } = openConnection(t, server.port);
    socket.write(request);
    await until(() => wholeResponses(text()) === 1);
    await delay(busyMs / 2);
    socket.write(request);
    holdUp(2 * busyMs + runtimeToleranceMs);
    await until(() => wholeResponses(text()) === 2 || socket.destroyed);
    t.is(wholeResponses(text()), 2);
  },
);

test.serial('a connection that is idle for too long is closed', async (t) => {
  const server = await startServer(t, ({ respond }) => respond(whole));
  server.setLimits({ ...limits, headerTimeoutMs: 5_000, idleTimeoutMs: busyMs });
  const { socket, closed, text } = openConnection(t, server.port);
  socket.write(request);
  await closed;
  t.is(wholeResponses(text()), 1);
});
