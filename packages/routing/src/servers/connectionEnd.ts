/** How a connection to a server ends: a response without a length is complete only if its connection is closed. */
import type { Socket } from 'node:net';
import { startPauseTolerantTimer } from '@bluebellhitch/shared';

export type ConnectionEnd = 'closed' | 'reset';

/** A few round trips; a server that does not close its side may not delay the call that needs the room. */
const maxEndMs = 100;
const resetErrorCodes: readonly string[] = ['EPIPE', 'ECONNRESET', 'ENOTCONN'];

/** Resolves once the server has closed its side too, so that it does not count the connection any more. */
export function endSocket(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const timer = startPauseTolerantTimer(maxEndMs, resolve);
    socket.once('close', () => {
      timer.stop();
      resolve();
    });
    socket.end();
  });
}

/**
 * A write fails at once on a connection that was reset; on one that was closed it succeeds and is ignored. Behind a part
 * of the request that waits to be sent it shows neither, and a server that closes without reading that part resets too.
 */
export function probeConnectionEnd(socket: Socket): Promise<ConnectionEnd> {
  if (socket.writableLength > 0) {
    return Promise.resolve('reset');
  }
  return new Promise((resolve) => {
    socket.write('\r\n', (error?: NodeJS.ErrnoException | null) => {
      resolve(resetErrorCodes.includes(error?.code ?? '') ? 'reset' : 'closed');
    });
  });
}
