/** Entries whose calls are refused before their bodies have ended: each of them reads the refusal. */
import { connect } from 'node:net';
import test from 'ava';
import { plainHeaders, startModelBench, startPlainBench, waitUntil } from './helpers/innerBench';

/** More than those whose end a port waits for at the same time. */
const callerCount = 20;
const megabyte = 1_048_576;
/** More than the buffers of a connection hold. */
const bodyBytes = 5 * megabyte;
const pieceBytes = 65_536;

interface Call {
  path: string;
  bytes?: number;
  headers?: Record<string, string>;
}

/** Resolves with the status, or with the error that took its place: the whole call is sent before anything is read. */
function send(address: string, { path, bytes = bodyBytes, headers = {} }: Call): Promise<string> {
  const { hostname, port } = new URL(address);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) });
    const parts: Buffer[] = [];
    const piece = Buffer.alloc(pieceBytes, 'a');
    socket.pause();
    socket.on('error', ({ message }) => resolve(message));
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('end', () => {
      resolve(Buffer.concat(parts).toString().split(' ')[1] ?? 'closed');
      socket.destroy();
    });
    socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${bytes}\r\n`);
    socket.write(`${lines.join('')}\r\n`);
    Array.from({ length: bytes / pieceBytes - 1 }, () => socket.write(piece));
    socket.write(piece, () => socket.resume());
  });
}

const sendAll = (address: string, callOf: (index: number) => Call) =>
  Promise.all(Array.from({ length: callerCount }, (_, index) => send(address, callOf(index))));
const all = (status: string) => Array.from({ length: callerCount }, () => status);

// A connection that is closed while an entry still sends is reset. The entry loses the refusal, which proves that the call has not
// run, and takes it for one that may have.
test.serial('an entry reads the refusal of a plain call by an agent that leaves', async (t) => {
  const { server, agent } = await startPlainBench(t, (_, outgoing) => outgoing.end());
  agent.leave();
  const callOf = (index: number) => ({ path: '/plain/x', headers: plainHeaders(`a-${index}`) });
  t.deepEqual(await sendAll(server.address, callOf), all('503'));
});

test.serial('an entry reads the refusal of a plain call without the inner headers', async (t) => {
  const { server } = await startPlainBench(t, (_, outgoing) => outgoing.end());
  t.deepEqual(await sendAll(server.address, () => ({ path: '/plain/x' })), all('400'));
});

test.serial('an entry reads the refusal of a body for which there is no room', async (t) => {
  const { server } = await startModelBench(t);
  const call = { path: '/streams', bytes: 18 * megabyte };
  const statuses = await sendAll(server.address, () => call);
  t.deepEqual(
    statuses.filter((status) => status !== '413' && status !== '503'),
    [],
  );
});

// The rest of a refused body is read, so what follows it arrives as well: it would run, and its response be lost.
test.serial('a call behind a refused body is not passed on', async (t) => {
  let calls = 0;
  const { server } = await startPlainBench(t, (_, outgoing) => {
    calls += 1;
    outgoing.end();
  });
  const { hostname, port } = new URL(server.address);
  const socket = connect({ host: hostname, port: Number(port) });
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', (part: Buffer) => {
    received += part.toString();
  });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const lines = Object.entries(plainHeaders('a')).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write('POST /plain/x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhello');
  t.true(await waitUntil(() => received.includes('400')));
  socket.write(`helloGET /plain/y HTTP/1.1\r\nhost: x\r\n${lines.join('')}\r\n`);
  await closed;
  t.is(calls, 0);
});
