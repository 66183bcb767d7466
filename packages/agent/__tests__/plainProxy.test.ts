import { request, type IncomingMessage } from 'node:http';
import test from 'ava';
import { innerHeaders } from '@bluebellhitch/protocol';
import { delay } from '@bluebellhitch/shared';
import {
  plainHeaders,
  startPlainBench,
  startPlainBenchAt,
  startRawBackend,
  waitUntil,
} from './helpers/innerBench';

test('forwards method, path, headers and body both ways', async (t) => {
  const received: { method?: string; url?: string; headers?: IncomingMessage['headers'] } = {};
  const { server } = await startPlainBench(t, (incoming, outgoing) => {
    Object.assign(received, {
      method: incoming.method,
      url: incoming.url,
      headers: incoming.headers,
    });
    outgoing.writeHead(
      201,
      [
        ['set-cookie', 'one=1'],
        ['set-cookie', 'two=2'],
        ['keep-alive', 'timeout=9'],
        [innerHeaders.notRun, 'true'],
      ].flat(),
    );
    incoming.pipe(outgoing);
  });
  const response = await fetch(`${server.address}/plain/receipts/7?full=1`, {
    method: 'PUT',
    body: 'a receipt',
    headers: { ...plainHeaders('a'), 'x-own': 'kept', te: 'trailers' },
  });
  t.is(response.status, 201);
  t.is(await response.text(), 'a receipt');
  t.deepEqual(response.headers.getSetCookie(), ['one=1', 'two=2']);
  t.is(response.headers.get(innerHeaders.notRun), null);
  t.like(JSON.parse(response.headers.get(innerHeaders.load) ?? '{}'), { role: 'plain' });
  t.like(received, { method: 'PUT', url: '/receipts/7?full=1' });
  t.is(received.headers?.['x-own'], 'kept');
  t.is(received.headers?.te, undefined);
  t.deepEqual(
    Object.keys(received.headers ?? {}).filter((name) => name.startsWith('x-bluebell')),
    [],
  );
});

test('a response starts before its request has ended', async (t) => {
  const { server } = await startPlainBench(t, (incoming, outgoing) => {
    outgoing.writeHead(200);
    incoming.pipe(outgoing);
  });
  const parts: string[] = [];
  const call = request(`${server.address}/plain/echo`, {
    method: 'POST',
    headers: plainHeaders('a'),
  });
  call.write('first');
  const response = await new Promise<IncomingMessage>((resolve) => {
    call.on('response', resolve);
  });
  response.on('data', (part: Buffer) => parts.push(part.toString()));
  t.true(await waitUntil(() => parts.join('') === 'first'));
  call.end(' second');
  t.true(await waitUntil(() => parts.join('') === 'first second'));
});

test('refuses calls without the inner headers', async (t) => {
  const { server } = await startPlainBench(t, (_, outgoing) => outgoing.end());
  t.is((await fetch(`${server.address}/plain/x`)).status, 400);
});

// The backend server is not running: the connection is refused before anything was sent, so the call
// certainly did not run and may be sent to another instance.
test('a refused connection is reported as not run', async (t) => {
  const { server, agent } = await startPlainBenchAt(t, 'http://127.0.0.1:1');
  const response = await fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
  t.is(response.status, 503);
  t.is(response.headers.get(innerHeaders.notRun), 'true');
  t.is(response.headers.get(innerHeaders.refusal), 'backend-failed');
  t.is(agent.load().activeCount, 0);
});

// The backend server dies while it handles the call. It is unknown whether the call ran, so the agent must
// not report it as not run.
test('a connection that breaks before the response is not reported as not run', async (t) => {
  const { server } = await startPlainBench(t, (incoming) => incoming.socket.destroy());
  const response = await fetch(`${server.address}/plain/x`, {
    method: 'POST',
    body: 'dispatch',
    headers: plainHeaders('a'),
  });
  t.is(response.status, 502);
  t.is(response.headers.get(innerHeaders.refusal), 'backend-failed');
  t.is(response.headers.get(innerHeaders.notRun), null);
});

// If the agent ended a broken response normally, it would look complete.
test('a response that breaks is aborted', async (t) => {
  const { server } = await startPlainBench(t, (_, outgoing) => {
    outgoing.writeHead(200);
    outgoing.write('half');
    setTimeout(() => outgoing.destroy(), 20);
  });
  const response = await fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
  await t.throwsAsync(response.text());
});

// The caller of a slow call disconnects: the slot must be freed before the backend server responds.
test('a closed connection aborts the call and frees its slot', async (t) => {
  let aborted = false;
  const { server, agent } = await startPlainBench(t, (incoming) => {
    incoming.on('close', () => {
      aborted = true;
    });
  });
  const connection = new AbortController();
  const response = fetch(`${server.address}/plain/x`, {
    headers: plainHeaders('a', 60_000),
    signal: connection.signal,
  });
  t.true(await waitUntil(() => agent.load().activeCount === 1));
  await delay(20);
  connection.abort();
  await t.throwsAsync(response, { any: true });
  t.true(await waitUntil(() => aborted && agent.load().activeCount === 0));
});

// The entry lost the response and sends the same attempt again. A repeated call may have effects, such as
// dispatching a crew twice.
test('an attempt is forwarded once', async (t) => {
  let calls = 0;
  const { server } = await startPlainBench(t, (_, outgoing) => {
    calls += 1;
    outgoing.end('done');
  });
  const send = () => fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
  t.is(await (await send()).text(), 'done');
  const again = await send();
  t.is(again.status, 502);
  t.is(again.headers.get(innerHeaders.notRun), null);
  t.is(calls, 1);
});

test('calls beyond the slots are queued, or refused as not run if they cannot be served in time', async (t) => {
  const running: (() => void)[] = [];
  const { server, agent } = await startPlainBench(t, (_, outgoing) => {
    running.push(() => outgoing.end('done'));
  });
  agent.leasing.table.setCapacity({ kvBytes: 2, slots: 2 });
  const send = (attemptId: string, deadlineInMs?: number) =>
    fetch(`${server.address}/plain/x`, { headers: plainHeaders(attemptId, deadlineInMs) });
  const first = [send('a'), send('b')];
  t.true(await waitUntil(() => running.length === 2));
  const waiting = send('c');
  t.true(await waitUntil(() => agent.load().queuedCount === 1));
  const hopeless = await send('d', 10);
  t.is(hopeless.headers.get(innerHeaders.notRun), 'true');
  t.is(hopeless.headers.get(innerHeaders.refusal), 'deadline-hopeless');
  running[0]?.();
  t.true(await waitUntil(() => running.length === 3));
  running.forEach((finish) => finish());
  const statuses = await Promise.all(
    [...first, waiting].map(async (response) => (await response).status),
  );
  t.deepEqual(statuses, [200, 200, 200]);
});

test('a leaving agent refuses new calls and lets running ones end', async (t) => {
  let finish: () => void = () => undefined;
  const { server, agent } = await startPlainBench(t, (_, outgoing) => {
    finish = () => outgoing.end('done');
  });
  const running = fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
  t.true(await waitUntil(() => agent.load().activeCount === 1));
  await delay(20);
  agent.leave();
  const refused = await fetch(`${server.address}/plain/x`, { headers: plainHeaders('b') });
  t.is(refused.headers.get(innerHeaders.refusal), 'leaving');
  t.is(refused.headers.get(innerHeaders.notRun), 'true');
  const drained = agent.drain(2000);
  finish();
  t.is(await (await running).text(), 'done');
  t.true(await drained);
});

/** More than the kernel takes for a connection. */
const longBodyBytes = 16_000_000;
const unframedHeads: Record<string, string> = {
  'no length': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
  'HTTP/1.0': 'HTTP/1.0 200 OK\r\n\r\n',
  'another transfer coding': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n',
};
Object.entries(unframedHeads).forEach(([name, head]) => {
  test(`a response with ${name} whose connection is reset is aborted`, async (t) => {
    // It ends with its connection, and a reset was taken for that end: a part of the body was passed on with 200, as whole.
    const { url } = await startRawBackend(t, (socket) => {
      socket.write(`${head}hal`, () => setTimeout(() => socket.resetAndDestroy(), 20));
    });
    const { server } = await startPlainBenchAt(t, url);
    const response = fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
    await t.throwsAsync(response.then((answer) => answer.text()));
  });

  test(`a response with ${name} that is reset while its request is being sent does not look whole`, async (t) => {
    // What waits to be sent hides the reset: a part of the body was passed on with 200, as whole.
    const { url } = await startRawBackend(t, (socket) => {
      socket.pause();
      setTimeout(() => {
        socket.write(`${head}hal`);
        socket.resetAndDestroy();
      }, 20);
    });
    const { server } = await startPlainBenchAt(t, url);
    const response = fetch(`${server.address}/plain/x`, {
      ...{ method: 'POST', headers: plainHeaders('a'), body: Buffer.alloc(longBodyBytes) },
    });
    // It is aborted, or fails if the reset arrives before the head.
    const looksWhole = response.then((answer) => answer.text().then(() => answer.ok));
    t.false(await looksWhole.catch(() => false));
  });

  test(`a response with ${name} whose server ends is aborted`, async (t) => {
    // A process that ends closes its connections, as the end of such a response does.
    const backend = await startRawBackend(t, (socket) => {
      backend.close();
      socket.end(`${head}hal`);
    });
    const { server } = await startPlainBenchAt(t, backend.url);
    const response = fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
    await t.throwsAsync(response.then((answer) => answer.text()));
  });

  test(`a response with ${name} is passed on whole`, async (t) => {
    const { url } = await startRawBackend(t, (socket) => socket.end(`${head}whole`));
    const { server } = await startPlainBenchAt(t, url);
    const response = await fetch(`${server.address}/plain/x`, { headers: plainHeaders('a') });
    t.is(response.status, 200);
    t.is(await response.text(), 'whole');
  });
});

test('a superfluous response of the backend server does not reach the next caller', async (t) => {
  // Its responses name no call: the copy of one caller's response, late, was passed on to the next caller as its own.
  const { url } = await startRawBackend(t, (socket, firstRequest) => {
    let earlier = '';
    const serve = (received: Buffer) => {
      const [, path = ''] = received.toString('latin1').split(' ');
      const answer = `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
      socket.write(earlier);
      earlier = answer;
      setTimeout(() => socket.write(answer), 20);
    };
    serve(firstRequest);
    socket.on('data', serve);
  });
  const { server } = await startPlainBenchAt(t, url);
  const bodies = [];
  for (const path of ['/first', '/second', '/third']) {
    const response = await fetch(`${server.address}/plain${path}`, { headers: plainHeaders(path) });
    bodies.push(await response.text());
  }
  t.deepEqual(bodies, ['/first', '/second', '/third']);
});
