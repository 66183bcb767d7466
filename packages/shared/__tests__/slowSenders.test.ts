import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { watchSlowSenders } from '../src/slowSenders';

const headersTimeoutMs = 300;

async function startServer(t: ExecutionContext): Promise<{ server: Server; port: number }> {
  const server = createServer(
    { headersTimeout: headersTimeoutMs, requestTimeout: 0, connectionsCheckingInterval: 50 },
    (_incoming, outgoing) => outgoing.end('served'),
  );
  const reject = (_error: Error, socket: Socket) =>
    socket.end('HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n');
  watchSlowSenders(server, {
    timeoutMs: () => headersTimeoutMs,
    onTimeout: reject,
    onOtherError: reject,
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return { server, port: (server.address() as AddressInfo).port };
}

/** Opens a connection and resolves with what it has received when it closes, or once it has the wanted text. */
function open(port: number, wanted: string, send: (socket: Socket) => void): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port }, () => send(socket));
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (text.includes(wanted)) {
        socket.destroy();
      }
    });
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(text));
  });
}

function keepBusy(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}

test('a caller that has sent its request in time is served after a pause of the process', async (t) => {
  // Callers got 408 whose requests had arrived while the process did not read.
  const { server, port } = await startServer(t);
  server.once('connection', () => keepBusy(4 * headersTimeoutMs));
  const text = await open(port, 'served', (socket) =>
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'),
  );
  t.regex(text, /200 OK[^]*served/);
});

test('a caller that sends nothing, or never the whole head, is timed out', async (t) => {
  const { port } = await startServer(t);
  t.regex(await open(port, '408', () => undefined), /408/);
  let trickle: NodeJS.Timeout | undefined;
  const text = await open(port, '408', (socket) => {
    socket.write('GET / HTTP/1.1\r\n');
    trickle = setInterval(() => socket.write('X: 1\r\n'), 20);
    socket.once('close', () => clearInterval(trickle));
  });
  t.regex(text, /408/);
});
