/** A TCP server that responds to each request with bytes chosen by the test. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import type { ExecutionContext } from 'ava';

export interface RawServer {
  /** `ip:port`. */
  address: string;
  /** Bytes received on all connections, as text. */
  received(): string;
  connectionCount(): number;
}

/** `onRequest` is called for each chunk that contains the end of a request's head. */
export async function startRawServer(
  t: ExecutionContext,
  onRequest: (socket: Socket, text: string) => void,
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  let received = '';
  let connectionCount = 0;
  const server = createServer((socket) => {
    connectionCount += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const text = chunk.toString('latin1');
      received += text;
      if (text.includes('\r\n\r\n')) {
        onRequest(socket, text);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    received: () => received,
    connectionCount: () => connectionCount,
  };
}
