import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { startLoopbackProxy } from '../src/loopbackProxy';

const host = '127.0.0.1';
const connectionCount = 40;

type End = 'reset' | 'closed';

async function startServer(t: ExecutionContext, end: (socket: Socket) => void): Promise<number> {
  const server: Server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write('last bytes', () => end(socket)));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
}

/** How a connection ends for its client, which reads its last bytes and the end together. */
function readEnd(port: number): Promise<End> {
  return new Promise((resolve) => {
    const socket = connect({ port, host, allowHalfOpen: true });
    socket.on('error', () => resolve('reset'));
    socket.on('data', () => undefined);
    socket.on('end', () => {
      // Without bytes, a write only tells whether the connection was reset.
      socket.write(Buffer.alloc(0), (error) => {
        resolve(error ? 'reset' : 'closed');
        socket.destroy();
      });
    });
    socket.write('request');
  });
}

async function endsThroughProxy(t: ExecutionContext, end: (socket: Socket) => void) {
  const target = `${host}:${await startServer(t, end)}`;
  const proxy = await startLoopbackProxy({ host, target });
  t.teardown(proxy.close);
  const port = Number(proxy.address.split(':')[1]);
  const ends = await Promise.all(Array.from({ length: connectionCount }, () => readEnd(port)));
  return [...new Set(ends)];
}

test('a reset that follows the last bytes is passed on as a reset', async (t) => {
  // Passed on as a close, it makes a response without a length that was cut off look complete to the router.
  t.deepEqual(await endsThroughProxy(t, (socket) => socket.resetAndDestroy()), ['reset']);
});

test('a close that follows the last bytes is passed on as a close', async (t) => {
  // It is how a complete response without a length ends.
  t.deepEqual(await endsThroughProxy(t, (socket) => socket.end()), ['closed']);
});
