/**
 * Time limits of HTTP servers on slow senders. Node.js checks the time that a request's head has taken before it reads
 * what has arrived, so after a pause of the process it takes callers for slow that have sent everything in time.
 */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { startPauseTolerantTimer } from './pauseTolerantTimer';

export interface SlowSenderOptions {
  /** Time for the head of a request; what a sender gets again that has sent something until the check. */
  timeoutMs: () => number;
  /** The sender is slow. */
  onTimeout(error: NodeJS.ErrnoException, socket: Socket): void;
  /** Any other error that Node.js reports of a caller. */
  onOtherError(error: NodeJS.ErrnoException, socket: Socket): void;
}

const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Handles the server's `clientError` event; to be called once, before the server listens. */
export function watchSlowSenders(server: Server, options: SlowSenderOptions): void {
  const requestCounts = new WeakMap<Socket, number>();
  const countOf = (socket: Socket) => requestCounts.get(socket) ?? 0;

  server.prependListener('request', ({ socket }: IncomingMessage) => {
    requestCounts.set(socket, countOf(socket) + 1);
  });

  function confirm(error: NodeJS.ErrnoException, socket: Socket): void {
    const { bytesRead } = socket;
    const requestCount = countOf(socket);
    const isStillSlow = () => countOf(socket) === requestCount && !socket.destroyed;
    // The event loop reads all sockets between two immediates.
    setImmediate(() =>
      setImmediate(() => {
        if (!isStillSlow()) {
          return;
        }
        if (socket.bytesRead === bytesRead) {
          options.onTimeout(error, socket);
          return;
        }
        startPauseTolerantTimer(options.timeoutMs(), () => {
          if (isStillSlow()) {
            options.onTimeout(error, socket);
          }
        });
      }),
    );
  }

  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === timeoutCode) {
      confirm(error, socket);
    } else {
      options.onOtherError(error, socket);
    }
  });
}
