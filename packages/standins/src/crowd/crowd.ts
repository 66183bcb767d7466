/**
 * Clients that keep to no limit: each writes to a connection of its own for as long as bytes are taken, reads nothing, and
 * leaves its connection open.
 */
import { connect, type Socket } from 'node:net';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { Parts } from './crowdInput';

export interface CrowdOptions {
  /** `ip:port`. */
  address: string;
  clientCount: number;
  /** What each client writes, part by part; undefined at the end. The parts may be shared by all clients. */
  partsOf: (client: number) => Parts;
}

export interface Crowd {
  /**
   * Resolves once no client has written anything for a while, as it has written everything, is held back, or has lost its
   * connection; or after a while in which some of them go on writing.
   */
  settled: Promise<void>;
  /** Number of clients whose connection is open. */
  openCount(): number;
  /** Closes all connections. */
  leave(): void;
}

interface Client {
  socket: Socket;
  hasConnected: boolean;
  progressedAtMs: number;
}

/** Time for the process to take what the kernel holds for it. */
const quietMs = 2_000;
const maxSettleMs = 10_000;
const pollMs = 50;

export function startCrowd(options: CrowdOptions): Crowd {
  const clients = Array.from({ length: options.clientCount }, (_none, index) =>
    startClient(options, index),
  );
  const isSettled = ({ socket, progressedAtMs }: Client) =>
    socket.destroyed || monotonicNowMs() - progressedAtMs > quietMs;

  async function settle(): Promise<void> {
    const endsAtMs = monotonicNowMs() + maxSettleMs;
    while (!clients.every(isSettled) && monotonicNowMs() < endsAtMs) {
      await delay(pollMs);
    }
  }

  return {
    settled: settle(),
    openCount: () =>
      clients.filter(({ socket, hasConnected }) => hasConnected && !socket.destroyed).length,
    leave: () => clients.forEach(({ socket }) => socket.destroy()),
  };
}

function startClient({ address, partsOf }: CrowdOptions, index: number): Client {
  const [host = '', port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  const client: Client = {
    socket,
    hasConnected: false,
    progressedAtMs: monotonicNowMs(),
  };
  const partAt = partsOf(index);
  let nextPart = 0;

  function write(): void {
    client.progressedAtMs = monotonicNowMs();
    const part = partAt(nextPart);
    if (part === undefined) {
      return;
    }
    nextPart += 1;
    // Called once the kernel has taken the part.
    socket.write(part, (error) => {
      if (!error) {
        write();
      }
    });
  }

  socket.on('error', () => undefined);
  socket.once('connect', () => {
    client.hasConnected = true;
    write();
  });
  return client;
}

/** Sends everything on a connection of its own; resolves with the status of the response, 0 without one. */
export function sendRaw(address: string, partAt: Parts) {
  const [host = '', port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  const write = (index: number) => {
    const part = partAt(index);
    if (part !== undefined) {
      socket.write(part, (error) => error || write(index + 1));
    }
  };
  socket.once('connect', () => write(0));
  return new Promise<number>((resolve) => {
    let text = '';
    socket.setEncoding('latin1');
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(0));
    socket.on('data', (data: string) => {
      text += data;
      const status = /^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1];
      if (status !== undefined) {
        resolve(Number(status));
        socket.destroy();
      }
    });
  });
}
