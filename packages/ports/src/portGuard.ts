/**
 * Bounds what the callers of one port can make a process hold, whatever they send: connections, requests in progress on each,
 * heads that are not complete, and answers that are not read. A caller that goes beyond a bound is held back, or its
 * connection is closed; the others are served on.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { guardInput, type ConnectionGate } from './connectionGate';
import { noHolding, type Holding } from './holdings';
import type { PortResources } from './portResources';

export interface PortGuardOptions {
  resources: PortResources;
  /** Requests in progress on a connection, from which on nothing more is read from it. */
  maxRequestsPerConnection: number;
  maxConnections: number;
  /**
   * How long a connection must have been quiet to be closed for a new one; undefined: connections with a request in progress
   * are closed too, the oldest first.
   */
  minQuietMs?: number;
  /** The event that reports the sockets which requests arrive on. Default: `connection`. */
  event?: 'connection' | 'secureConnection';
}

export interface PortGuard {
  /** The connection of a request. */
  of(socket: Socket): GuardedConnection;
}

export interface GuardedConnection {
  /** Counts bytes that wait for the caller until the returned function is called. */
  holdAnswer(bytes: number): () => void;
  /** Opens the account of a response that is passed on to the caller as it arrives. */
  openResponse(): Holding;
  /** Drops all further input unread. */
  discardInput(): void;
}

interface Connection extends GuardedConnection {
  socket: Socket;
  gate: ConnectionGate;
  account: Holding;
  requestsInProgress: number;
  lastRequest?: IncomingMessage;
  /** Bytes since the last request, the part of a head. */
  headBytes: number;
  quietSinceMs: number;
}

/** Objects of the runtime and of the router for a request in progress, without the texts of its head. */
const requestBytes = 11_264;
/** Texts of a head are held as raw headers and again by name. */
const bytesPerHeadByte = 2;
/** Time for a caller to read an answer that came before the end of its request. */
const lingerMs = 1_000;

const unguarded: GuardedConnection = {
  holdAnswer: () => () => undefined,
  openResponse: () => noHolding,
  discardInput: () => undefined,
};

/** What the runtime reports of a request that its parser has read. */
interface StartedRequest {
  request: IncomingMessage;
  response: ServerResponse;
  server: Server;
}

const startListeners = new WeakMap<Server, (started: StartedRequest) => void>();

// The runtime answers some requests by itself, as those without a host, and emits no `request` event for them.
subscribe('http.server.request.start', (message) => {
  const started = message as StartedRequest;
  startListeners.get(started.server)?.(started);
});

/** To be called once, before the server listens. */
export function guardPort(server: Server, options: PortGuardOptions): PortGuard {
  const { maxRequestsPerConnection, maxConnections, event = 'connection' } = options;
  const { memory, turns } = options.resources;
  /** In the order of their last requests. */
  const connections = new Map<Socket, Connection>();

  function open(socket: Socket): void {
    if (socket.destroyed) {
      return;
    }
    if (connections.size >= maxConnections && !closeQuietest()) {
      socket.destroy();
      return;
    }
    const account = memory.openConnection(() => closeAtOnce(socket));
    const gate = guardInput(socket, {
      turns,
      mayRead: () => mayRead(connection),
      isInBody: () => isInBody(connection),
      onPiece: (bytes) => notePiece(connection, bytes),
      onWaitingChanged: account.add,
    });
    const connection: Connection = {
      ...{ socket, gate, account, requestsInProgress: 0, headBytes: 0 },
      quietSinceMs: monotonicNowMs(),
      holdAnswer(bytes) {
        account.add(bytes);
        return () => account.add(-bytes);
      },
      openResponse: () => memory.responses.open(() => closeAtOnce(socket)),
      discardInput: gate.discard,
    };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      account.end();
    });
  }

  /** The rest of a request is always read; a further one only if there is room for it. */
  function mayRead(connection: Connection): boolean {
    const maxInProgress = memory.isTight() ? 1 : maxRequestsPerConnection;
    return isInBody(connection) || connection.requestsInProgress < maxInProgress;
  }

  function closeQuietest(): boolean {
    const { minQuietMs } = options;
    const nowMs = monotonicNowMs();
    const quietest = [...connections.values()].find(
      ({ requestsInProgress, quietSinceMs }) =>
        minQuietMs === undefined ||
        (requestsInProgress === 0 && nowMs - quietSinceMs >= minQuietMs),
    );
    if (quietest !== undefined) {
      connections.delete(quietest.socket);
      quietest.socket.destroy();
    }
    return quietest !== undefined;
  }

  function noteActive(connection: Connection): void {
    connection.quietSinceMs = monotonicNowMs();
    if (connections.delete(connection.socket)) {
      connections.set(connection.socket, connection);
    }
  }

  function begin(
    connection: Connection,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    const heldBytes = requestBytes + bytesPerHeadByte * headLength(incoming);
    connection.account.add(heldBytes - connection.headBytes);
    connection.headBytes = 0;
    connection.lastRequest = incoming;
    connection.requestsInProgress += 1;
    noteActive(connection);
    outgoing.once('close', () => {
      connection.account.add(-heldBytes);
      connection.requestsInProgress -= 1;
      noteActive(connection);
      if (incoming.complete) {
        connection.gate.update();
      } else {
        closeUnread(connection);
      }
    });
  }

  server.on(event, open);
  startListeners.set(server, ({ request, response }) => {
    const connection = connections.get(request.socket);
    if (connection !== undefined) {
      begin(connection, request, response);
    }
  });
  return { of: (socket) => connections.get(socket) ?? unguarded };
}

/** A reset tells the caller that an answer is not complete; behind TLS the missing end of the session does. */
function closeAtOnce(socket: Socket): void {
  if ('encrypted' in socket) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

function isInBody({ lastRequest }: Connection): boolean {
  return lastRequest?.complete === false;
}

function notePiece(connection: Connection, bytes: number): void {
  if (!isInBody(connection)) {
    connection.headBytes += bytes;
    connection.account.add(bytes);
  }
}

function headLength({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}

/** The answer is sent, and the rest of the request is of no use: it is dropped until the caller has read the answer. */
function closeUnread({ socket, gate }: Connection): void {
  gate.discard();
  if (socket.writable) {
    socket.end();
  }
  const timer = setTimeout(() => socket.destroy(), lingerMs);
  socket.once('close', () => clearTimeout(timer));
}
