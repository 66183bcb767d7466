/**
 * Decides when callers' connections are closed. A connection is closed only once each whole request that was read on it has
 * its response, and from the decision on no further request is taken from it: so a request is answered, or not passed on.
 * While the router drains, a connection whose last response has promised to keep it stays open for a moment, since its
 * caller may have sent the next request already.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as ListeningServer, type Socket } from 'node:net';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createReadBarrier } from '../readBarrier';

export interface ConnectionClosing {
  /**
   * Watches the connections of the server, which `event` reports; to be called once, before it listens. A connection that is
   * idle for too long is closed, unless a request has arrived on it that has not been read yet. Default: `connection`.
   */
  watch(server: Server, event?: 'connection' | 'secureConnection'): void;
  /** To be called for each request, in order. Undefined if its connection is closing: it must not be served. */
  take(incoming: IncomingMessage, outgoing: ServerResponse): TakenRequest | undefined;
  /** What was read last is no request: closes with `response`, or after the responses of the requests before it. */
  refuseUnread(socket: Socket, response: string): void;
  /** From now on each connection closes once it has been quiet for a moment after a response. */
  beginDrain(): void;
  /**
   * Closes the listening socket, and the connections that have been quiet before. All that callers had sent by the call is read
   * first: a process that was held up has not accepted their connections yet, or not read their requests.
   */
  closePort(server: Server): void;
  /** Whether a connection, or the port, stays open for what callers may have sent already, be it to serve that or to drop it. */
  isLingering(): boolean;
}

/** A request that may be served. */
export interface TakenRequest {
  /** The response announces that its connection closes, unless a later request was taken. To be called before its head. */
  announceClose(): void;
  /** The response is complete, or the connection closed. */
  noteOver(): void;
}

export interface ConnectionClosingOptions {
  /** Called each time that a connection or the port stops lingering. */
  onLingered: () => void;
  /** Called for a connection from which no further request is taken: what still arrives is of no use. Default: nothing. */
  onClosing?: (socket: Socket) => void;
}

interface Connection {
  socket: Socket;
  /** Requests whose responses are not complete, in the order of their arrival. */
  unanswered: Map<ServerResponse, IncomingMessage>;
  isClosing: boolean;
  /** The sending side is ended, and the connection waits for the end of its caller's side. */
  isEnded: boolean;
  /** Since when nothing was read or answered, as far as is known. */
  quietSinceMs: number;
  bytesRead: number;
  timer?: NodeJS.Timeout;
}

/** Some round trips: time for the request that a caller sends as soon as it has read a response. */
const lingerMs = 300;
/** A longer pass of the event loop is that of a process without processor time, whose callers would wait as long for a reset. */
const maxPassMs = 50;
/** Callers of a process that has no shorter pass in this time are reset, and can use another one at once. */
const maxReadMs = 500;
/** Time for a caller to end its side. Until then what still arrives is read, as it would reset the connection otherwise. */
const closeTimeoutMs = 1_000;
/**
 * Connections that wait for that at the same time. Each may hold a read that waits, and callers that never end their side
 * would hold many; any further one is closed at once.
 */
const maxEnded = 16;

/**
 * Refuses CONNECT with `response`. The runtime closes a connection on which it reads one, also under requests that were read
 * before it, unless a listener handles it.
 */
export function refuseConnect(
  server: Server,
  closing: Pick<ConnectionClosing, 'refuseUnread'>,
  response: () => string,
): void {
  server.on('connect', (_incoming, socket: Socket) => {
    socket.on('error', () => socket.destroy());
    socket.resume();
    closing.refuseUnread(socket, response());
  });
}

export function createConnectionClosing(options: ConnectionClosingOptions): ConnectionClosing {
  const { onClosing = () => undefined } = options;
  const connections = new Map<Socket, Connection>();
  const lingering = new Set<Connection>();
  const readBarrier = createReadBarrier();
  let isDraining = false;
  let closingPorts = 0;
  let endedCount = 0;

  function add(socket: Socket): Connection {
    const connection: Connection = {
      socket,
      unanswered: new Map(),
      isClosing: false,
      isEnded: false,
      quietSinceMs: monotonicNowMs(),
      bytesRead: socket.bytesRead,
    };
    connections.set(socket, connection);
    const destroySoon = socket.destroySoon.bind(socket);
    // The runtime calls this after the last response. Its own closes the connection at once, and what arrives then resets it.
    Object.assign(socket, {
      destroySoon: () => (endedCount < maxEnded ? close(connection) : destroySoon()),
    });
    socket.once('close', () => {
      connections.delete(socket);
      endedCount -= connection.isEnded ? 1 : 0;
      connection.isClosing = true;
      stopLingering(connection);
    });
    return connection;
  }

  /** Returns whether the connection lingered. */
  function endLingering(connection: Connection): boolean {
    clearTimeout(connection.timer);
    return lingering.delete(connection);
  }

  function stopLingering(connection: Connection): void {
    if (endLingering(connection)) {
      options.onLingered();
    }
  }

  function close(connection: Connection, response?: string): void {
    const { socket } = connection;
    connection.isClosing = true;
    if (connection.isEnded || socket.destroyed) {
      return;
    }
    connection.isEnded = true;
    endedCount += 1;
    clearTimeout(connection.timer);
    lingering.add(connection);
    onClosing(socket);
    socket.end(response ?? '');
    connection.timer = setTimeout(() => socket.destroy(), closeTimeoutMs).unref();
  }

  function closeOnceQuiet(connection: Connection): void {
    if (connection.isClosing || connection.unanswered.size > 0) {
      return;
    }
    const { bytesRead } = connection.socket;
    if (bytesRead !== connection.bytesRead) {
      // A part of a request's head.
      noteActive(connection);
    }
    const leftMs = connection.quietSinceMs + lingerMs - monotonicNowMs();
    if (leftMs <= 0) {
      close(connection);
      return;
    }
    clearTimeout(connection.timer);
    lingering.add(connection);
    connection.timer = setTimeout(() => closeOnceRead(connection), leftMs);
  }

  /** A process that was held up has not read what arrived meanwhile. */
  function closeOnceRead(connection: Connection): void {
    setImmediate(() => {
      if (lingering.has(connection)) {
        closeOnceQuiet(connection);
      }
    });
  }

  /** Accepts and reads what has arrived, but for the last moments of a pass of the event loop. */
  async function readArrivals(): Promise<void> {
    const endsAtMs = monotonicNowMs() + maxReadMs;
    let passMs = Infinity;
    while (passMs > maxPassMs && monotonicNowMs() < endsAtMs) {
      const startedAtMs = monotonicNowMs();
      await readBarrier.check().nextPass();
      passMs = monotonicNowMs() - startedAtMs;
    }
  }

  function closeIdle(socket: Socket): void {
    const { bytesRead } = socket;
    void readArrivals().then(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  }

  function noteOver(connection: Connection, outgoing: ServerResponse): void {
    connection.unanswered.delete(outgoing);
    noteActive(connection);
    if (connection.isClosing && !hasWholeRequest(connection)) {
      close(connection);
    } else if (isDraining) {
      closeOnceQuiet(connection);
    }
  }

  function announceClose(connection: Connection, outgoing: ServerResponse): void {
    if ([...connection.unanswered.keys()].at(-1) === outgoing) {
      connection.isClosing = true;
      outgoing.shouldKeepAlive = false;
    }
  }

  return {
    watch(server, event = 'connection') {
      server.prependListener(event, add);
      // With a listener, the runtime closes no idle connection by itself.
      server.on('timeout', closeIdle);
    },
    take(incoming, outgoing) {
      const connection = connections.get(incoming.socket) ?? add(incoming.socket);
      if (connection.isClosing) {
        return undefined;
      }
      connection.unanswered.set(outgoing, incoming);
      // Without a notice: the port is not idle, and its owner counts the request only once it is taken.
      endLingering(connection);
      return {
        announceClose: () => announceClose(connection, outgoing),
        noteOver: () => noteOver(connection, outgoing),
      };
    },
    refuseUnread(socket, response) {
      const connection = connections.get(socket) ?? add(socket);
      connection.isClosing = true;
      if (hasWholeRequest(connection)) {
        return;
      }
      // Once a response has started, another one would look like a part of it.
      if (!socket.writable || hasStartedResponse(connection)) {
        socket.destroy();
      } else {
        close(connection, response);
      }
    },
    beginDrain() {
      isDraining = true;
    },
    closePort(server) {
      isDraining = true;
      closingPorts += 1;
      void readArrivals().then(() => {
        // The HTTP server's own method also closes connections whose responses are not sent yet.
        ListeningServer.prototype.close.call(server);
        [...connections.values()].forEach(closeOnceQuiet);
        closingPorts -= 1;
        options.onLingered();
      });
    },
    isLingering: () => lingering.size > 0 || closingPorts > 0,
  };
}

function noteActive(connection: Connection): void {
  Object.assign(connection, {
    bytesRead: connection.socket.bytesRead,
    quietSinceMs: monotonicNowMs(),
  });
}

/** Whether a request was read that may have been passed on, and whose response is not complete. */
function hasWholeRequest({ unanswered }: Connection): boolean {
  return [...unanswered.values()].some(({ complete }) => complete);
}

function hasStartedResponse({ unanswered }: Connection): boolean {
  return [...unanswered.keys()].some(({ headersSent }) => headersSent);
}
