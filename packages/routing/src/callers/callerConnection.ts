/**
 * The ends of callers' connections, known as soon as they are read. The runtime reports the end of a response only once its
 * socket is closed, a turn of the event loop and more later, and not at all for a response that waits behind another one
 * on its connection.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { ReadBarrier } from '../readBarrier';

export interface CallerConnection {
  hasEnded(): boolean;
  /** Calls the listener once the caller has ended the connection or its sending side; returns a function to stop that. */
  onEnded(listener: () => void): () => void;
  /** The same for the end of the connection in both directions. */
  onClosed(listener: () => void): () => void;
}

export interface CallerConnections {
  /** To be called once for each new connection. */
  add(socket: Socket): void;
  of(socket: Socket): CallerConnection;
}

export function createCallerConnections(): CallerConnections {
  const connections = new WeakMap<Socket, CallerConnection>();

  function add(socket: Socket): CallerConnection {
    const connection = trackConnection(socket);
    connections.set(socket, connection);
    return connection;
  }

  return { add, of: (socket) => connections.get(socket) ?? add(socket) };
}

function trackConnection(socket: Socket): CallerConnection {
  const ended = createNotification();
  const closed = createNotification();
  socket.once('end', ended.notify);
  socket.once('close', () => {
    ended.notify();
    closed.notify();
  });
  return {
    hasEnded: () => ended.hasHappened() || socket.destroyed,
    onEnded: ended.subscribe,
    onClosed: closed.subscribe,
  };
}

/** Calls the listener once the response is over, also if it waits behind another one when the connection ends. */
export function onceResponseOver(
  outgoing: ServerResponse,
  connection: CallerConnection,
  listener: () => void,
): void {
  const finish = () => {
    stop();
    outgoing.off('close', finish);
    listener();
  };
  const stop = connection.onClosed(finish);
  outgoing.once('close', finish);
}

/** Returns a signal that aborts if the caller leaves before the response is complete. */
export function createDisconnectSignal(
  outgoing: ServerResponse,
  connection: CallerConnection,
): AbortSignal {
  const disconnection = new AbortController();
  const abortUnfinished = () => {
    if (!outgoing.writableFinished) {
      disconnection.abort();
    }
  };
  const stopWatching = connection.onEnded(abortUnfinished);
  outgoing.once('close', () => {
    stopWatching();
    abortUnfinished();
  });
  return disconnection.signal;
}

/** Whether the caller of a request that has just been read has not left, by all that has arrived. */
export async function isCallerWaiting(
  connection: CallerConnection,
  readBarrier: ReadBarrier,
): Promise<boolean> {
  const check = readBarrier.check(monotonicNowMs());
  while (!check.isCurrent() && !connection.hasEnded()) {
    await check.nextPass();
  }
  return !connection.hasEnded();
}

/** An event that happens once; a pipelining caller may have more listeners than the runtime expects of one emitter. */
function createNotification() {
  const listeners = new Set<() => void>();
  let hasHappened = false;
  return {
    hasHappened: () => hasHappened,
    notify() {
      hasHappened = true;
      const notified = [...listeners];
      listeners.clear();
      notified.forEach((listener) => listener());
    },
    subscribe(listener: () => void): () => void {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
