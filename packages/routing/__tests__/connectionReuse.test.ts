/** What a backend connection carries, one call after the other, where nothing but its id tells whose a response is. */
import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import test, { type ExecutionContext } from 'ava';
import {
  createBackendConnections,
  readWholeBody,
  type CallIdentity,
  type HttpCall,
  type HttpOutcome,
} from '@bluebellhitch/routing';
import { startRawServer } from './support/rawServer';

const header = 'Request-Id';

function createCall(address: string, id: string, overrides: Partial<HttpCall> = {}): HttpCall {
  const identity: CallIdentity = { kind: 'identified', header, id };
  const call = { address, method: 'POST', path: '/a/b', headers: [header, id], body: 'x' };
  return { ...call, identity, headTimeoutMs: 2_000, maxConnections: 4, ...overrides };
}

function createConnections(t: ExecutionContext) {
  const connections = createBackendConnections();
  t.teardown(() => connections.close());
  return connections;
}

async function bodyOf(outcome: HttpOutcome): Promise<string> {
  if (outcome.kind !== 'answered') {
    return outcome.kind;
  }
  const read = await readWholeBody(outcome.response.body);
  return read.kind === 'whole' ? read.body.toString() : read.kind;
}

const idOf = (text: string) => /^request-id: (.*)$/im.exec(text)?.[1]?.trim() ?? '';

function answer(id: string, body: string, status = 200): string {
  return `HTTP/1.1 ${status} Any\r\nRequest-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

test('a connection that has carried a HEAD request carries no other', async (t) => {
  // Guards against servers that send the body all the same: what follows would be lost to it. The HTTP client closes such
  // connections by itself unless an option says otherwise.
  const { address, connectionCount } = await startRawServer(t, (socket, text) => {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${idOf(text)}\r\nContent-Length: 5\r\n\r\n`);
    if (text.startsWith('POST')) {
      socket.write('whole');
    }
  });
  const connections = createConnections(t);
  await bodyOf(
    await connections.call(createCall(address, 'q1', { method: 'HEAD', body: undefined })),
  );
  t.is(await bodyOf(await connections.call(createCall(address, 'q2'))), 'whole');
  t.is(connectionCount(), 2);
});

['GET', 'DELETE', 'OPTIONS'].forEach((method) => {
  test(`a connection that has carried a body with ${method} carries no other`, async (t) => {
    // Guards against servers that ignore such a body and read it as the next request. As for HEAD.
    const { address, connectionCount } = await startRawServer(t, (socket, text) => {
      socket.write(answer(idOf(text), 'whole'));
    });
    const connections = createConnections(t);
    await bodyOf(await connections.call(createCall(address, 'q1', { method })));
    t.is(await bodyOf(await connections.call(createCall(address, 'q2'))), 'whole');
    t.is(connectionCount(), 2);
  });
});

test('the response to a request inside the body of another one does not end a later request', async (t) => {
  // A server that ignores the body of a GET request answers what is inside as a request of its own, late.
  let count = 0;
  const { address } = await startRawServer(t, (socket, text) => {
    count += 1;
    const inside = text.indexOf('GET /inside');
    socket.write(answer(idOf(text), `${count}`));
    if (inside >= 0) {
      setTimeout(() => socket.write(answer(idOf(text.slice(inside)), 'inside')), 15);
    }
  });
  const connections = createConnections(t);
  const body = 'GET /inside HTTP/1.1\r\nHost: a\r\nRequest-Id: q2\r\n\r\n';
  await bodyOf(await connections.call(createCall(address, 'q1', { method: 'GET', body })));
  t.is(
    await bodyOf(
      await connections.call(createCall(address, 'q2', { method: 'GET', body: undefined })),
    ),
    '2',
  );
});

test('a copy of a success is not the response to a later request with the same id', async (t) => {
  // Callers choose the ids, and two of them may choose the same: one would get the other's answer.
  const earlier = new Map<Socket, string>();
  const { address } = await startRawServer(t, (socket, text) => {
    const [, path = ''] = text.split(' ');
    const own = answer(idOf(text), path);
    socket.write(earlier.get(socket) ?? '');
    earlier.set(socket, own);
    setTimeout(() => socket.write(own), 20);
  });
  const connections = createConnections(t);
  const first = createCall(address, 'q1', { path: '/of-one-caller' });
  t.is(await bodyOf(await connections.call(first)), '/of-one-caller');
  const second = createCall(address, 'q1', { path: '/of-another-caller' });
  t.is(await bodyOf(await connections.call(second)), '/of-another-caller');
});

/** Takes one connection at a time and closes any other, as servers of the platform reset what exceeds their limit. */
async function startLimitedServer(t: ExecutionContext): Promise<string> {
  const server = createServer((socket) => {
    let count = 0;
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      count += 1;
      const status = firstIds.has(idOf(chunk.toString())) ? 200 : 503;
      firstIds.add(idOf(chunk.toString()));
      socket.write(answer(idOf(chunk.toString()), `${count}`, status));
    });
  });
  const firstIds = new Set<string>();
  server.maxConnections = 1;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test('a request that was rejected is served by a server that takes one connection at a time', async (t) => {
  // The connection that makes room is still open at the server when the new one arrives.
  const address = await startLimitedServer(t);
  const connections = createConnections(t);
  const outcomes = [];
  for (let round = 0; round < 20; round += 1) {
    const call = createCall(address, `q${round}`, { maxConnections: 1 });
    await bodyOf(await connections.call(call));
    const again = await connections.call(call);
    outcomes.push(again.kind === 'answered' ? `${again.response.status}` : again.kind);
    await bodyOf(again);
  }
  t.deepEqual(
    outcomes,
    Array.from({ length: 20 }, () => '200'),
  );
});

test.serial('room for a connection is made also if the process is paused meanwhile', async (t) => {
  // The time for it was over when the process went on, before the end of the other connection was read.
  const address = await startLimitedServer(t);
  const connections = createConnections(t);
  const call = createCall(address, 'q1', { maxConnections: 1 });
  await bodyOf(await connections.call(call));
  const again = connections.call(call);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const endsAtMs = performance.now() + 300;
  while (performance.now() < endsAtMs) {
    // Nothing is read.
  }
  t.is((await again).kind, 'answered');
});

[
  ['spaces around', ' q1 ', 'q1'],
  ['a tab inside', 'q\t1', 'q\t1'],
  ['bytes over 127', 'q\u00e9\u00ff', 'q\u00e9\u00ff'],
].forEach(([name, sent = '', id = '']) => {
  test(`an id is recognised with ${name}`, async (t) => {
    const { address } = await startRawServer(t, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nREQUEST-ID: ${sent}\r\nContent-Length: 0\r\n\r\n`, 'latin1');
    });
    const outcome = await createConnections(t).call(createCall(address, id));
    t.is(outcome.kind, 'answered');
    await bodyOf(outcome);
  });
});

/** Answers as soon as it has read the head of a request; Node.js reads on what is left of the body, or closes. */
async function startEarlyServer(t: ExecutionContext): Promise<string> {
  const server = createHttpServer((_incoming, outgoing) => {
    outgoing.writeHead(401, { 'content-length': 4 });
    outgoing.end('deny');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

[
  { name: 'in one piece', bodyOfCall: (bytes: Buffer) => bytes },
  { name: 'as a stream', bodyOfCall: (bytes: Buffer) => Readable.from(inPieces(bytes)) },
].forEach(({ name, bodyOfCall }) => {
  test(`a server that answers before it has read a long body is heard: ${name}`, async (t) => {
    // With `Connection: close` it closes at once, and the reset for the bytes that it has not read takes the answer away.
    const address = await startEarlyServer(t);
    const connections = createConnections(t);
    const kinds = [];
    for (let round = 0; round < 5; round += 1) {
      const outcome = await connections.call(
        createCall(address, 'q1', {
          identity: { kind: 'unmarked' },
          body: bodyOfCall(Buffer.alloc(4_000_000, 97)),
        }),
      );
      kinds.push(`${outcome.kind} ${await bodyOf(outcome)}`);
    }
    t.deepEqual(
      kinds,
      Array.from({ length: 5 }, () => 'answered deny'),
    );
  });
});

function* inPieces(bytes: Buffer): Generator<Buffer> {
  for (let start = 0; start < bytes.length; start += 65_536) {
    yield bytes.subarray(start, start + 65_536);
  }
}

/** What has been sent of a rejection when it breaks off, and the response of the next call follows. */
const cutRejections = [
  'HTTP/1.1 503 ',
  'HTTP/1.1 503 Fu',
  'HTTP/1.1 503 Full\r\nNot-Run:',
  'HTTP/1.1 503 Full\r\nNot-Run: 1',
  'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAny: a b',
  'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAny',
  'HTTP/1.1 503 Full\r\nNot-Run: 1\r\n',
];
cutRejections.forEach((cut) => {
  test(`a response behind one that is cut off is lost: ${JSON.stringify(cut)}`, async (t) => {
    // Both heads were read as one, with the status of the first and the id of the second.
    const { address } = await startRawServer(t, (socket, text) => {
      const id = idOf(text);
      socket.write(id === 'q2' ? cut : '');
      setTimeout(() => socket.write(answer(id, id)), 20);
    });
    const connections = createConnections(t);
    t.is(await bodyOf(await connections.call(createCall(address, 'q1'))), 'q1');
    t.is(await bodyOf(await connections.call(createCall(address, 'q2'))), 'lost');
  });
});

/** All identities of calls; with an id, it is that of the call. */
const identities: CallIdentity[] = [
  { kind: 'identified', header, id: 'q1' },
  { kind: 'anonymous', header },
  { kind: 'unmarked' },
];
const readLengths = [3, 9, 12, 15, 20, 40];

identities.forEach((identity) => {
  test(`a response behind one that is cut off in its first line is lost, however it arrives: ${identity.kind}`, async (t) => {
    // The parser forgets the start of a reason phrase that arrives in several reads.
    const dueId = identity.kind === 'anonymous' ? '' : 'q1';
    const due = answer(dueId, 'own').replace('Request-Id: \r\n', '');
    const lengths = [...readLengths];
    const { address } = await startRawServer(t, (socket) => {
      const length = lengths.shift() ?? 0;
      socket.write('HTTP/1.1 421 Misdir');
      setTimeout(() => socket.write(due.slice(0, length)), 15);
      setTimeout(() => socket.write(due.slice(length)), 30);
    });
    const connections = createConnections(t);
    for (const length of readLengths) {
      const outcome = await connections.call(createCall(address, 'q1', { identity }));
      t.like(outcome, { kind: 'lost', detail: 'two heads in one' }, `${length}`);
    }
  });
});

test('a rejection that is cut off at any byte of its head is never taken for the response behind it', async (t) => {
  // Its status would be that of the rejection, and its id that of the call, which runs.
  const rejection =
    'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: q1\r\nAny: a b\r\nContent-Length: 0\r\n\r';
  const cuts = Array.from({ length: rejection.length }, (_none, index) =>
    rejection.slice(0, index + 1),
  );
  const due = answer('q1', 'own');
  const outcomes = await Promise.all(
    cuts.flatMap((cut) =>
      [1, 7, due.length].map(async (length) => {
        const { address } = await startRawServer(t, (socket) => {
          socket.write(cut);
          setTimeout(() => socket.write(due.slice(0, length)), 20);
          setTimeout(() => socket.write(due.slice(length)), 40);
        });
        return bodyOf(await createConnections(t).call(createCall(address, 'q1')));
      }),
    ),
  );
  t.deepEqual([...new Set(outcomes)], ['lost']);
});

test('an id that looks like a status line is no sign of a second head', async (t) => {
  // A caller could otherwise have sound servers counted as failing.
  const { address } = await startRawServer(t, (socket, text) => {
    socket.write(answer(idOf(text), 'own'));
  });
  const call = createCall(address, 'HTTP/1.1 200 OK');
  t.is(await bodyOf(await createConnections(t).call(call)), 'own');
});

test('a server that names no request may send a status line as a header', async (t) => {
  const { address } = await startRawServer(t, (socket) => {
    socket.write('HTTP/1.1 200 OK\r\nStatus: HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown');
  });
  const call = createCall(address, 'q1', { identity: { kind: 'unmarked' } });
  t.is(await bodyOf(await createConnections(t).call(call)), 'own');
});

test('a request is sent on another connection than one whose id differs in outer white space', async (t) => {
  // Both ids are equal for the check of responses: the copy of one caller's rejection ended the other's call, which ran.
  const carried = new Set<Socket>();
  const { address, connectionCount } = await startRawServer(t, (socket, text) => {
    const id = /^request-id: (.*)$/im.exec(text)?.[1] ?? '';
    if (id === 'q1') {
      carried.add(socket);
      socket.write(answer(id, '', 503));
      return;
    }
    socket.write(carried.has(socket) ? answer('q1', '', 503) : '');
    setTimeout(() => socket.write(Buffer.from(answer(id, 'own'), 'latin1')), 20);
  });
  const connections = createConnections(t);
  await bodyOf(await connections.call(createCall(address, 'q1')));
  t.is(await bodyOf(await connections.call(createCall(address, 'q1\u00a0'))), 'own');
  t.is(connectionCount(), 2);
});
