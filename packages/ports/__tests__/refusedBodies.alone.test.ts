/** Calls between processes that are refused before their bodies have ended: each caller reads the refusal. */
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { guardInnerPort, readInnerCall } from '../src/innerPort';
import { createPortResources } from '../src/portResources';
import { createBodyReaderPool } from '../src/requestBody';

const callerCount = 20;
/** More than the buffers of a connection hold. */
const bodyBytes = 5 * 1_048_576;
const pieceBytes = 65_536;

/** A port without memory for bodies, as that of an entry. */
async function startFullPort(t: ExecutionContext): Promise<number> {
  const resources = createPortResources();
  const memory = { ...resources.memory, takeForBody: () => false };
  const bodies = createBodyReaderPool(memory);
  const server = createServer((incoming, outgoing) => {
    void readInnerCall({ incoming, outgoing }, bodies);
  });
  guardInnerPort(server, resources);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

/** Resolves with the status, or with the error that took its place: the whole call is sent before anything is read. */
function send(port: number): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port });
    const parts: Buffer[] = [];
    const piece = Buffer.alloc(pieceBytes, 'a');
    socket.pause();
    socket.on('error', ({ message }) => resolve(message));
    socket.on('data', (part: Buffer) => parts.push(part));
    socket.on('end', () => {
      resolve(Buffer.concat(parts).toString().split(' ')[1] ?? 'closed');
      socket.destroy();
    });
    socket.write(`POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
    Array.from({ length: bodyBytes / pieceBytes - 1 }, () => socket.write(piece));
    socket.write(piece, () => socket.resume());
  });
}

// A connection that is closed while its caller still sends is reset, and the caller loses the refusal: it takes its call, which has
// not run, for one that may have.
test('callers read the refusal of a body for which there is no memory', async (t) => {
  const port = await startFullPort(t);
  const statuses = await Promise.all(Array.from({ length: callerCount }, () => send(port)));
  t.deepEqual(
    statuses,
    Array.from({ length: callerCount }, () => '503'),
  );
});
