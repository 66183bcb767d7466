/** Asks whether a process accepts connections at an address. */
import { connect } from 'node:net';

/** Resolves with whether connections to `ip:port` are refused; false if that does not show within `timeoutMs`. */
export function isPortClosed(address: string, timeoutMs: number): Promise<boolean> {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: timeoutMs });
    const finish = (isClosed: boolean) => {
      socket.destroy();
      resolve(isClosed);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
  });
}
