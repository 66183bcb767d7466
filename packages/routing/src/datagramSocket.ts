/** A socket for datagrams between routers: sending never fails to its caller, for any datagram may be lost. */
import { createSocket, type Socket } from 'node:dgram';
import type { Logger } from '@bluebellhitch/telemetry';

export interface DatagramSocketOptions {
  host: string;
  /** 0 takes a free one. */
  port: number;
  logger: Logger;
}

export interface DatagramSocket {
  /** `ip:port`. */
  address: string;
  /** Resolves once the bytes are on their way to all addresses, or could not be sent. */
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  onMessage(receive: (bytes: Buffer) => void): void;
  close(): void;
}

/** Rejects where the port is taken. */
export async function openDatagramSocket(options: DatagramSocketOptions): Promise<DatagramSocket> {
  const { host, logger } = options;
  const socket = createSocket('udp4');
  const port = await bind(socket, host, options.port);
  socket.on('error', (error) => logger.warn('peer socket failed', { error }));

  function sendTo(address: string, bytes: Buffer): Promise<void> {
    const [peerHost, peerPort] = address.split(':');
    return new Promise((resolve) => {
      socket.send(bytes, Number(peerPort), peerHost, (error) => {
        if (error !== null) {
          logger.debug('datagram not sent', { error });
        }
        resolve();
      });
    });
  }

  return {
    address: `${host}:${port}`,
    send: (bytes, addresses) => Promise.all(addresses.map((address) => sendTo(address, bytes))),
    onMessage: (receive) => socket.on('message', receive),
    close: () => socket.close(),
  };
}

function bind(socket: Socket, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind({ address: host, port }, () => {
      socket.off('error', reject);
      resolve(socket.address().port);
    });
  });
}
