/** Callers with one request each on connections of their own, which stay open until they leave or are closed. */
import { connect, type Socket } from 'node:net';

export interface OpenCallersOptions {
  /** `ip:port`. */
  address: string;
  /** One for each caller. */
  heads: readonly string[];
  /** Whether the callers read their answers. */
  isReading: boolean;
}

export interface OpenCallers {
  leave(): void;
}

export function startOpenCallers(options: OpenCallersOptions): OpenCallers {
  const sockets = options.heads.map((head) => startCaller(options, head));
  return { leave: () => sockets.forEach((socket) => socket.destroy()) };
}

function startCaller({ address, isReading }: OpenCallersOptions, head: string): Socket {
  const [host = '', port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.once('connect', () => socket.write(head));
  if (isReading) {
    socket.resume();
  }
  return socket;
}
