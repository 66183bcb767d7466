/** A faulty server: it answers each request with a head and then with the same piece of bytes, until its caller closes. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

export interface EndlessServerOptions {
  /** Sent once, with its blank line if it has an end. */
  head: string;
  /** Sent over and over. */
  piece: string;
  /** After this many bytes nothing more is sent on a connection, and it is left open. */
  maxSentBytes?: number;
}

export interface EndlessServer {
  /** `http://ip:port` */
  address: string;
  /** Resolves when the caller has closed the first connection, or has taken `maxSentBytes`. */
  firstConnection: Promise<EndlessConnection>;
  close(): void;
}

export interface EndlessConnection {
  isClosedByCaller: boolean;
  sentBytes: number;
}

/** Far more than the operating system buffers for a connection. */
const defaultMaxSentBytes = 67_108_864;
const minWriteBytes = 65_536;

export async function startEndlessServer(options: EndlessServerOptions): Promise<EndlessServer> {
  const { head, piece, maxSentBytes = defaultMaxSentBytes } = options;
  const pieces = Buffer.from(piece.repeat(Math.ceil(minWriteBytes / piece.length)));
  const sockets = new Set<Socket>();
  let onFirst: (connection: EndlessConnection) => void = () => undefined;
  const firstConnection = new Promise<EndlessConnection>((resolve) => {
    onFirst = resolve;
  });

  async function respond(socket: Socket): Promise<void> {
    const closing = new AbortController();
    socket.once('close', () => closing.abort());
    await once(socket, 'data', { signal: closing.signal });
    socket.write(head);
    while (socket.bytesWritten < maxSentBytes) {
      if (!socket.write(pieces)) {
        await once(socket, 'drain', { signal: closing.signal });
      }
    }
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    void respond(socket)
      .catch(() => undefined)
      .then(() => onFirst({ isClosedByCaller: socket.destroyed, sentBytes: socket.bytesWritten }));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    firstConnection,
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
