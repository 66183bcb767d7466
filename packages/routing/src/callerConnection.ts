/**
 * The ends of callers' connections, known as soon as they are read. The runtime reports the end of a response only once its
 * socket is closed, a turn of the event loop and more later, and not at all for a response that waits behind another one
 * on its connection.
 */
import type { Socket } from 'node:net';

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
