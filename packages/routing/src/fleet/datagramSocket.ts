/** A UDP socket for messages between routers. Sending never rejects, because any datagram may be lost anyway. */
import { createSocket, type Socket } from 'node:dgram';
import type { Logger } from '@bluebellhitch/telemetry';

export interface DatagramSocketOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  logger: Logger;
}

export interface DatagramSocket {
  /** `ip:port`. */
  address: string;
  /**
   * Resolves once the bytes have been sent to all addresses, or sending has failed; failures are logged. Sends nothing
   * after `close`.
   */
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  onMessage(receive: (bytes: Buffer) => void): void;
  close(): void;
}

/** Rejects if the port is in use. */
export async function openDatagramSocket(options: DatagramSocketOptions): Promise<DatagramSocket> {
  const { host, logger } = options;
  const socket = createSocket('udp4');
  const port = await bind(socket, host, options.port);
  let isClosed = false;
  socket.on('error', (error) => logger.warn('peer socket error', { error }));

  function sendTo(address: string, bytes: Buffer): Promise<void> {
    const [peerHost, peerPort] = address.split(':');
    return new Promise((resolve) => {
      socket.send(bytes, Number(peerPort), peerHost, (error) => {
        if (error !== null) {
          logger.debug('could not send datagram', { error });
        }
        resolve();
      });
    });
  }

  return {
    address: `${host}:${port}`,
    send: (bytes, addresses) =>
      Promise.all(isClosed ? [] : addresses.map((address) => sendTo(address, bytes))),
    onMessage: (receive) => socket.on('message', receive),
    close() {
      isClosed = true;
      socket.close();
    },
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
