import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import test, { type ExecutionContext } from 'ava';
import {
  createBackendConnections,
  readWholeBody,
  type CallIdentity,
  type ForeignResponseEvidence,
  type HttpCall,
  type HttpOutcome,
  type ReadBarrier,
} from '@bluebellhitch/routing';
import { delay } from '@bluebellhitch/shared';
import { startRawServer } from './support/rawServer';

const header = 'Request-Id';
const anonymous: CallIdentity = { kind: 'anonymous', header };

function identified(id: string): Pick<HttpCall, 'identity'> {
  return { identity: { kind: 'identified', header, id } };
}

function createCall(address: string, overrides: Partial<HttpCall> = {}): HttpCall {
  const call = { address, method: 'POST', path: '/a/b', headers: [], body: 'x' };
  return { ...call, identity: anonymous, headTimeoutMs: 2_000, maxConnections: 4, ...overrides };
}

function createConnections(t: ExecutionContext) {
  const connections = createBackendConnections();
  t.teardown(() => connections.close());
  return connections;
}

async function discardBody(outcome: HttpOutcome): Promise<void> {
  if (outcome.kind === 'answered') {
    await readWholeBody(outcome.response.body);
  }
}

async function readBody(t: ExecutionContext, address: string) {
  const outcome = await createConnections(t).call(createCall(address));
  return outcome.kind === 'answered' ? readWholeBody(outcome.response.body) : outcome;
}

test('a response without a length whose connection is closed is complete', async (t) => {
  const { address } = await startRawServer(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
  });
  t.deepEqual(await readBody(t, address), { kind: 'whole', body: Buffer.from('whole') });
});

test('a response without a length whose connection is reset is lost', async (t) => {
  // Guards against a truncated response that looks complete to the caller: the server sends part of a body without a
  // length and crashes, which resets its connection, and undici treats the reset as the end of the body.
  const { address } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal', () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  t.is((await readBody(t, address)).kind, 'lost');
});

test('a response without a length whose connection is reset together with its head is lost', async (t) => {
  // As above, but the reset arrives together with the part of the body, so that it is detected while the head is still
  // being handled.
  const { address } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal');
    socket.resetAndDestroy();
  });
  t.not((await readBody(t, address)).kind, 'whole');
});

['identity', '', 'gzip', 'gzip, chunked', 'chunked, identity'].forEach((coding) => {
  test(`a response with the transfer coding “${coding}” whose connection is reset is lost`, async (t) => {
    // Such a body ends with its connection like one without a length: a part of it looked complete, framed as whole.
    const { address } = await startRawServer(t, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\nhal`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    t.is((await readBody(t, address)).kind, 'lost');
  });
});

test('a response with a transfer coding that is not decoded is lost', async (t) => {
  // The caller would get the coded bytes as the body, without the header that states the coding.
  const { address } = await startRawServer(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ncoded');
  });
  t.is((await readBody(t, address)).kind, 'lost');
});

test('a body that is shorter than its Content-Length is lost', async (t) => {
  const { address } = await startRawServer(t, (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal');
  });
  t.is((await readBody(t, address)).kind, 'lost');
});

[
  'HTTP/1.1 200 OK\r\n\r\n',
  'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n',
].forEach((head) => {
  test(`a response to HEAD is whole without a body: ${JSON.stringify(head)}`, async (t) => {
    // One without a length was waited for to the end of its connection, and lost if that stayed open.
    const { address } = await startRawServer(t, (socket) => socket.write(head));
    const outcome = await createConnections(t).call(
      createCall(address, { method: 'HEAD', body: '' }),
    );
    t.is(outcome.kind, 'answered');
    if (outcome.kind === 'answered') {
      t.deepEqual(await readWholeBody(outcome.response.body), {
        kind: 'whole',
        body: Buffer.alloc(0),
      });
    }
  });
});

test('a call to a port without a listener is not sent', async (t) => {
  const { address } = await startRawServer(t, () => undefined);
  const unused = address.replace(/\d+$/, '1');
  const outcome = await createConnections(t).call(createCall(unused));
  t.is(outcome.kind, 'not-sent');
});

test('a call whose connection closes without a response is lost', async (t) => {
  const { address } = await startRawServer(t, (socket) => socket.destroy());
  const outcome = await createConnections(t).call(createCall(address));
  t.like(outcome, { kind: 'lost', isOurs: false });
});

test('a call that may no longer be sent once its connection is open is withheld', async (t) => {
  // A call waits for a connection to its server; meanwhile another response announces that the server is shutting down.
  const { address, received } = await startRawServer(t, () => undefined);
  const connections = createConnections(t);
  let isSendAllowed = true;
  const call = connections.call(createCall(address, { maySend: () => isSendAllowed }));
  isSendAllowed = false;
  t.deepEqual(await call, { kind: 'withheld' });
  t.deepEqual(await connections.call(createCall(address, { maySend: () => false })), {
    kind: 'withheld',
  });
  t.is(received(), '');
});

test('a call that times out is lost and marked as ended by the router', async (t) => {
  const { address } = await startRawServer(t, () => undefined);
  const outcome = await createConnections(t).call(createCall(address, { headTimeoutMs: 30 }));
  t.like(outcome, { kind: 'lost', isOurs: true });
});

test('an unsolicited response on an idle connection is not returned for the next call', async (t) => {
  // Guards against a caller getting the response to another request: the server responds twice, and the second response
  // is waiting on the idle connection when the next call is made, so that connection must not be reused.
  let calls = 0;
  let noteExtraSent: () => void = () => undefined;
  const extraSent = new Promise<void>((resolve) => {
    noteExtraSent = resolve;
  });
  const extra = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra';
  const { address } = await startRawServer(t, (socket) => {
    calls += 1;
    const response = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${calls}`;
    socket.write(response);
    if (calls === 1) {
      setTimeout(() => socket.write(extra, noteExtraSent), 10);
    }
  });
  const connections = createConnections(t);
  const first = await connections.call(createCall(address));
  t.is(first.kind, 'answered');
  if (first.kind === 'answered') {
    await readWholeBody(first.response.body);
  }
  await extraSent;
  // Sockets are read between two turns of the event loop, so that what was sent has arrived after them.
  await setImmediate();
  await setImmediate();
  const second = await connections.call(createCall(address));
  t.is(second.kind, 'answered');
  if (second.kind === 'answered') {
    t.deepEqual(await readWholeBody(second.response.body), {
      kind: 'whole',
      body: Buffer.from('2'),
    });
  }
});

test('a connection is kept open and reused', async (t) => {
  const server = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  const connections = createConnections(t);
  for (let call = 0; call < 3; call += 1) {
    const outcome = await connections.call(createCall(server.address));
    if (outcome.kind === 'answered') {
      await readWholeBody(outcome.response.body);
    }
  }
  t.is(server.connectionCount(), 1);
});

test('calls above the connection limit are not sent', async (t) => {
  const { address } = await startRawServer(t, () => undefined);
  const connections = createConnections(t);
  const pending = connections.call(createCall(address, { maxConnections: 1, headTimeoutMs: 100 }));
  const refused = await connections.call(createCall(address, { maxConnections: 1 }));
  t.is(refused.kind, 'not-sent');
  t.is((await pending).kind, 'lost');
});

/** A barrier at which the call's signal aborts, from the given check on. */
function barrierThatAborts(given: AbortController, firstCheck: number): ReadBarrier {
  let checkCount = 0;
  return {
    check() {
      checkCount += 1;
      let isCurrent = checkCount < firstCheck;
      return {
        isCurrent: () => isCurrent,
        async nextPass() {
          await setImmediate();
          given.abort();
          isCurrent = true;
        },
      };
    },
  };
}

[
  { name: 'it waits for what has arrived', firstCheck: 1 },
  { name: 'its connection opens', firstCheck: 2 },
].forEach(({ name, firstCheck }) => {
  test(`a call whose end is read while ${name} is not written`, async (t) => {
    // A process that was held up finds the end of a caller's connection beside what makes it send the request.
    const { address, received } = await startRawServer(t, () => undefined);
    const given = new AbortController();
    const readBarrier = barrierThatAborts(given, firstCheck);
    const connections = createBackendConnections({ readBarrier });
    t.teardown(() => connections.close());
    const outcome = await connections.call(createCall(address, { signal: given.signal }));
    t.is(outcome.kind, 'not-sent');
    await delay(20);
    t.is(received(), '');
  });
});

test('the late repetition of a rejection without an id does not reject the next request on its connection', async (t) => {
  // Guards against a request that runs twice: the router's own calls bear no id, and neither do their rejections.
  const sockets = new Set<Socket>();
  const { address } = await startRawServer(t, (socket, text) => {
    const rejection = 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n';
    if (text.startsWith('GET /reserve')) {
      socket.write(rejection);
    } else {
      const answer = 'HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n';
      setTimeout(() => socket.write(answer), 40);
      sockets.forEach((other) => other.write(rejection));
    }
    sockets.add(socket);
  });
  const connections = createConnections(t);
  const reserve = { method: 'GET', path: '/reserve', body: undefined };
  const rejected = await connections.call(createCall(address, reserve));
  t.like(rejected, { kind: 'answered', response: { status: 503 } });
  await discardBody(rejected);
  const answered = await connections.call(createCall(address, identified('q1')));
  t.like(answered, { kind: 'answered', response: { status: 200 } });
});

test('connections that carried a rejection without an id serve further calls of that kind', async (t) => {
  const { address, connectionCount } = await startRawServer(t, (socket, text) => {
    const id = text.startsWith('GET /reserve') ? '' : 'Request-Id: q1\r\n';
    socket.write(`HTTP/1.1 503 Full\r\n${id}Content-Length: 0\r\n\r\n`);
  });
  const connections = createConnections(t);
  const reserve = createCall(address, { method: 'GET', path: '/reserve', body: undefined });
  await discardBody(await connections.call(reserve));
  await discardBody(await connections.call(reserve));
  t.is(connectionCount(), 1);
  const other = await connections.call(createCall(address, identified('q1')));
  t.is(other.kind, 'answered');
  await discardBody(other);
  t.is(connectionCount(), 2);
  await discardBody(await connections.call(reserve));
  t.is(connectionCount(), 2);
});

[
  { name: 'with an id, in response to a call without one,', identity: anonymous, echo: 'q1' },
  { name: 'with the id of another call', ...identified('q2'), echo: 'q1' },
  { name: 'without the id of its call', ...identified('q2'), echo: undefined },
].forEach(({ name, identity, echo }) => {
  [200, 421, 503].forEach((status) => {
    test(`a response ${name} is lost with its connection: ${status}`, async (t) => {
      // Guards against a call that takes another one's response for its own: each later response on the connection then
      // moves by one place, and the rejection of one call ends the next one, which runs.
      const { address, connectionCount } = await startRawServer(t, (socket) => {
        const id = echo === undefined ? '' : `Request-Id: ${echo}\r\n`;
        socket.write(`HTTP/1.1 ${status} Any\r\n${id}Content-Length: 0\r\n\r\n`);
      });
      const foreign: ForeignResponseEvidence[] = [];
      let abandonedCount = 0;
      const connections = createBackendConnections({
        onForeign: (one) => foreign.push(one),
        onAbandoned: () => {
          abandonedCount += 1;
        },
      });
      t.teardown(() => connections.close());
      t.like(await connections.call(createCall(address, { identity })), {
        ...{ kind: 'lost', isOurs: false },
      });
      t.like(foreign[0], { status, echoedId: echo, connection: 1, earlierCalls: 0 });
      t.is(abandonedCount, 1);
      await connections.call(createCall(address, { identity }));
      t.is(connectionCount(), 2);
    });
  });
});

/** Rejects each request with its id, and keeps the connections open. */
function startRejectingServer(t: ExecutionContext) {
  return startRawServer(t, (socket, text) => {
    const id = /^request-id: (.*)$/im.exec(text)?.[1]?.trim();
    socket.write(`HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
  });
}

function rejectedCall(address: string, id: string, overrides: Partial<HttpCall> = {}): HttpCall {
  return createCall(address, { ...identified(id), headers: [header, id], ...overrides });
}

test('an empty id in a response counts as none', async (t) => {
  const { address } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 503 Full\r\nRequest-Id: \r\nContent-Length: 0\r\n\r\n');
  });
  const connections = createConnections(t);
  t.is((await connections.call(createCall(address))).kind, 'answered');
  t.is((await connections.call(createCall(address, identified('q1')))).kind, 'lost');
});

test('a request is not sent again on a connection that has carried it', async (t) => {
  // Guards against the copy of a response that arrives while its request is in progress again: both have the same id.
  const { address, connectionCount } = await startRejectingServer(t);
  const connections = createConnections(t);
  for (const id of ['q1', 'q1', 'q2', 'q1']) {
    const outcome = await connections.call(rejectedCall(address, id));
    t.like(outcome, { kind: 'answered', response: { status: 503 } });
    await discardBody(outcome);
  }
  t.is(connectionCount(), 3);
});

test('a connection that may not carry a request makes room for one that may', async (t) => {
  // A request that returns to the only connection that its server allows was refused as long as that stayed idle.
  const { address, connectionCount } = await startRejectingServer(t);
  const connections = createConnections(t);
  for (let count = 1; count <= 3; count += 1) {
    const outcome = await connections.call(rejectedCall(address, 'q1', { maxConnections: 1 }));
    t.is(outcome.kind, 'answered');
    await discardBody(outcome);
    t.is(connectionCount(), count);
  }
});

test('a connection that has carried many requests is closed once the last response is whole', async (t) => {
  // The ids that a connection must not carry again would grow without a bound.
  const { address, connectionCount } = await startRejectingServer(t);
  const connections = createConnections(t);
  const kinds = [];
  for (let count = 0; count < 2_500; count += 1) {
    const outcome = await connections.call(rejectedCall(address, `request-${count}`));
    if (outcome.kind === 'answered') {
      kinds.push((await readWholeBody(outcome.response.body)).kind);
    }
  }
  t.deepEqual(new Set(kinds), new Set(['whole']));
  t.is(kinds.length, 2_500);
  t.true(connectionCount() >= 2 && connectionCount() <= 6, `${connectionCount()}`);
});

test('a call whose server names no request in its responses gets a connection of its own', async (t) => {
  // A superfluous response, which nothing tells from that of the next call, would reach another caller.
  const { address, connectionCount, received } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  const connections = createConnections(t);
  await discardBody(await connections.call(createCall(address)));
  const unmarked = createCall(address, { identity: { kind: 'unmarked' } });
  await discardBody(await connections.call(unmarked));
  await discardBody(await connections.call(unmarked));
  t.is(connectionCount(), 3);
  t.is(received().match(/connection: close/gi)?.length, 2);
  await discardBody(await connections.call(createCall(address)));
  t.is(connectionCount(), 3);
});
