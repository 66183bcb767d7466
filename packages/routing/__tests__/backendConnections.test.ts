import test, { type ExecutionContext } from 'ava';
import { createBackendConnections, readWholeBody, type HttpCall } from '@bluebellhitch/routing';
import { startRawServer } from './support/rawServer';

function callTo(address: string, over: Partial<HttpCall> = {}): HttpCall {
  const call = { address, method: 'POST', path: '/a/b', headers: [], body: 'x' };
  return { ...call, headTimeoutMs: 2_000, maxConnections: 4, ...over };
}

function createConnections(t: ExecutionContext) {
  const connections = createBackendConnections();
  t.teardown(() => connections.close());
  return connections;
}

async function bodyOf(t: ExecutionContext, address: string) {
  const outcome = await createConnections(t).call(callTo(address));
  return outcome.kind === 'answered' ? readWholeBody(outcome.answer.body) : outcome;
}

test('an answer without a length that ends with its connection is whole', async (t) => {
  const { address } = await startRawServer(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
  });
  t.deepEqual(await bodyOf(t, address), { kind: 'whole', body: Buffer.from('whole') });
});

test('an answer without a length whose connection is reset is lost', async (t) => {
  // The caller sees an answer that looks complete and is not. The server sends a part of a body without a
  // length and crashes, its connection is reset, and the library takes a reset for the body's end.
  const { address } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal', () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  t.is((await bodyOf(t, address)).kind, 'lost');
});

test('an answer without a length whose connection is reset with the head is lost', async (t) => {
  // As before, but the reset arrives together with the part of the body, so that it is noticed while the
  // head is still being handled.
  const { address } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal');
    socket.resetAndDestroy();
  });
  t.not((await bodyOf(t, address)).kind, 'whole');
});

test('a body that is shorter than its length is lost', async (t) => {
  const { address } = await startRawServer(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal');
  });
  t.is((await bodyOf(t, address)).kind, 'lost');
});

test('a call to a port without a listener was not sent', async (t) => {
  const { address } = await startRawServer(t, () => undefined);
  const unused = address.replace(/\d+$/, '1');
  const outcome = await createConnections(t).call(callTo(unused));
  t.is(outcome.kind, 'not-sent');
});

test('a call whose connection closes without an answer is lost', async (t) => {
  const { address } = await startRawServer(t, (socket) => socket.destroy());
  const outcome = await createConnections(t).call(callTo(address));
  t.like(outcome, { kind: 'lost', isOurs: false });
});

test('a call that may no longer be sent when its connection is there is withheld', async (t) => {
  // A request is chosen for a server and waits for a connection to it; meanwhile an answer says that the server leaves.
  const { address, received } = await startRawServer(t, () => undefined);
  const connections = createConnections(t);
  let isWanted = true;
  const call = connections.call(callTo(address, { maySend: () => isWanted }));
  isWanted = false;
  t.deepEqual(await call, { kind: 'withheld' });
  t.deepEqual(await connections.call(callTo(address, { maySend: () => false })), {
    kind: 'withheld',
  });
  t.is(received(), '');
});

test('a call without an answer in time is lost by our own doing', async (t) => {
  const { address } = await startRawServer(t, () => undefined);
  const outcome = await createConnections(t).call(callTo(address, { headTimeoutMs: 30 }));
  t.like(outcome, { kind: 'lost', isOurs: true });
});

test('an unasked answer on an idle connection is not given to the next call', async (t) => {
  // The next caller would get another request's answer. The server answers twice; the second answer lies on
  // the kept connection when the next call takes it, so that connection must not be used.
  let calls = 0;
  const { address } = await startRawServer(t, (socket) => {
    calls += 1;
    const answer = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${calls}`;
    socket.write(answer);
    if (calls === 1) {
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'), 10);
    }
  });
  const connections = createConnections(t);
  const first = await connections.call(callTo(address));
  t.is(first.kind, 'answered');
  if (first.kind === 'answered') {
    await readWholeBody(first.answer.body);
  }
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  const second = await connections.call(callTo(address));
  t.is(second.kind, 'answered');
  if (second.kind === 'answered') {
    t.deepEqual(await readWholeBody(second.answer.body), { kind: 'whole', body: Buffer.from('2') });
  }
});

test('a connection is kept and used again', async (t) => {
  const server = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  const connections = createConnections(t);
  for (let call = 0; call < 3; call += 1) {
    const outcome = await connections.call(callTo(server.address));
    if (outcome.kind === 'answered') {
      await readWholeBody(outcome.answer.body);
    }
  }
  t.is(server.connectionCount(), 1);
});

test('calls beyond the limit of connections are not sent', async (t) => {
  const { address } = await startRawServer(t, () => undefined);
  const connections = createConnections(t);
  const pending = connections.call(callTo(address, { maxConnections: 1, headTimeoutMs: 100 }));
  const refused = await connections.call(callTo(address, { maxConnections: 1 }));
  t.is(refused.kind, 'not-sent');
  t.is((await pending).kind, 'lost');
});
