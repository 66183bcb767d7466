/** HTTP server for callers: routes, limits on connections and headers, graceful shutdown. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import {
  createCallerConnections,
  createConnectionClosing,
  createReadBarrier,
  isCallerWaiting,
  onceResponseOver,
  refuseConnect,
} from '@bluebellhitch/routing';
import { guardPort, type PortResources } from '@bluebellhitch/ports';
import { createRefusal, refusalReasons, watchSlowSenders } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { createCallerExchange, type CallerExchange } from './callerExchange';
import type { CallersTls } from './callersTls';
import type { CompletionsApi } from './completionsApi';
import { clientErrorResponse } from './clientErrors';

export interface CallersServerOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Certificate and key; plain HTTP if omitted. */
  tls?: CallersTls;
  completions: CompletionsApi;
  plain: { handle(exchange: CallerExchange): Promise<void> };
  /** Whether a route of a plain service names this host. */
  hasPlainHost: (host: string) => boolean;
  logger: Logger;
  /** Shared with the other ports of the process. */
  resources: PortResources;
  maxHeaderBytes: number;
  maxConnections: number;
  /** Time within which the header of a request must arrive. */
  headersTimeoutMs: number;
}

export interface CallersServer {
  /** `http://ip:port`, or `https` with TLS. */
  address: string;
  /** Number of requests whose response is not complete yet. */
  activeCount(): number;
  /** Refuses new connections and requests; running requests continue. */
  stopAccepting(): void;
  /** Resolves once no request is running, and none is expected on a connection that stays open for a moment. */
  whenIdle(): Promise<void>;
  /** Closes the server and all connections that are still open. */
  close(): Promise<void>;
}

type App = Hono<{ Bindings: HttpBindings }>;
type Handler = (exchange: CallerExchange) => Promise<void> | void;

const keepAliveTimeoutMs = 30_000;
const timeoutCheckIntervalMs = 1_000;
/** More than callers send ahead that read the answers. */
const maxRequestsPerConnection = 32;
/** Connections above the limit that are accepted only to refuse their requests with a response. */
const maxRefusedConnections = 64;

/** Starts the server; rejects if the port is in use. */
export async function startCallersServer(options: CallersServerOptions): Promise<CallersServer> {
  const { host, port, tls, logger } = options;
  const active = new Set<CallerExchange>();
  const idleWaiters: (() => void)[] = [];
  const excessSockets = new WeakSet<Socket>();
  const connections = createCallerConnections();
  const closing = createConnectionClosing({
    onLingered: notifyIfIdle,
    onClosing: (socket) => guard.of(socket).discardInput(),
  });
  const readBarrier = createReadBarrier();
  let accepting = true;

  function removeActive(exchange: CallerExchange): void {
    active.delete(exchange);
    notifyIfIdle();
  }

  const isIdle = () => active.size === 0 && !closing.isLingering();

  function notifyIfIdle(): void {
    if (isIdle()) {
      idleWaiters.splice(0).forEach((resolve) => resolve());
    }
  }

  async function run(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    handler: Handler,
  ): Promise<void> {
    const taken = closing.take(incoming, outgoing);
    if (taken === undefined) {
      guard.of(incoming.socket).discardInput();
      return;
    }
    const connection = connections.of(incoming.socket);
    onceResponseOver(outgoing, connection, taken.noteOver);
    const { announceClose } = taken;
    const exchange = createCallerExchange(incoming, outgoing, { connection, announceClose });
    const isFull = excessSockets.has(incoming.socket) || options.resources.memory.isFull();
    if (!accepting || isFull) {
      announceClose();
      refuseUnserved(exchange, accepting);
      return;
    }
    active.add(exchange);
    onceResponseOver(outgoing, connection, () => removeActive(exchange));
    try {
      if (await isCallerWaiting(connection, readBarrier)) {
        await handler(exchange);
      } else {
        outgoing.destroy();
      }
    } catch (error) {
      logger.error('unexpected error in a request handler', {
        requestId: exchange.requestId,
        error,
      });
      respondInternalError(exchange);
    }
  }

  const app = createRoutes(options, async (context, handler) => {
    await run(context.env.incoming, context.env.outgoing, handler);
    return RESPONSE_ALREADY_SENT;
  });
  const server = createHttpServer(app, options);
  const event = tls === undefined ? 'connection' : 'secureConnection';
  const guard = guardPort(server, {
    resources: options.resources,
    maxRequestsPerConnection,
    maxConnections: options.maxConnections + maxRefusedConnections,
    minQuietMs: keepAliveTimeoutMs,
    event,
  });
  closing.watch(server, event);
  limitConnections(server, event, options, excessSockets);
  function onCallerError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET') {
      socket.destroy();
    } else {
      closing.refuseUnread(socket, clientErrorResponse(error));
    }
  }
  refuseConnect(server, closing, () => clientErrorResponse(new Error('CONNECT')));
  watchSlowSenders(server, {
    timeoutMs: () => options.headersTimeoutMs,
    onTimeout: onCallerError,
    onOtherError: onCallerError,
  });
  // Ending a socket whose TLS handshake has not finished does not close it, so it is destroyed.
  server.on('tlsClientError', (_error, socket: Socket) => socket.destroy());
  await listen(server, host, port);
  const { address, port: boundPort } = server.address() as AddressInfo;

  return {
    address: `${tls === undefined ? 'http' : 'https'}://${address}:${boundPort}`,
    activeCount: () => active.size,
    stopAccepting() {
      accepting = false;
      closing.closePort(server);
    },
    whenIdle: () =>
      isIdle()
        ? Promise.resolve()
        : new Promise((resolve) => {
            idleWaiters.push(resolve);
          }),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function createHttpServer({ fetch }: App, options: CallersServerOptions): Server {
  const serverOptions = {
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: options.headersTimeoutMs,
    // Bodies have their own time limits, which allow a long upload as long as it makes progress.
    requestTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMs,
    connectionsCheckingInterval: timeoutCheckIntervalMs,
  };
  const shared = { fetch, overrideGlobalObjects: false };
  const { tls, headersTimeoutMs: handshakeTimeout } = options;
  const server =
    tls === undefined
      ? createAdaptorServer({ ...shared, createServer, serverOptions })
      : createAdaptorServer({
          ...shared,
          createServer: createTlsServer,
          serverOptions: { ...serverOptions, ...tls, handshakeTimeout },
        });
  return server as Server;
}

function createRoutes(
  { completions, plain, hasPlainHost }: CallersServerOptions,
  handle: (context: Context<{ Bindings: HttpBindings }>, handler: Handler) => Promise<Response>,
): App {
  const app: App = new Hono();
  const isPlainHost = (context: Context) => hasPlainHost(context.req.header('host') ?? '');
  const unlessPlainHost = (handler: Handler) => (context: Context<{ Bindings: HttpBindings }>) =>
    handle(context, isPlainHost(context) ? plain.handle : handler);
  app.post(
    '/v1/chat/completions',
    unlessPlainHost((exchange) => completions.complete(exchange, 'chat')),
  );
  app.post(
    '/v1/completions',
    unlessPlainHost((exchange) => completions.complete(exchange, 'text')),
  );
  app.get('/v1/models', unlessPlainHost(completions.listModels));
  app.all('*', (context) => handle(context, plain.handle));
  return app;
}

function refuseUnserved(exchange: CallerExchange, accepting: boolean): void {
  exchange.refuse(
    accepting
      ? createRefusal({
          reason: refusalReasons.noCapacity,
          detail: 'too many connections or requests',
        })
      : createRefusal({ reason: refusalReasons.leaving, detail: 'this entry stops' }),
  );
}

function respondInternalError(exchange: CallerExchange): void {
  if (exchange.outgoing.headersSent) {
    exchange.outgoing.destroy();
    return;
  }
  exchange.refuse(
    createRefusal({ reason: refusalReasons.internal, notRun: 'unknown', detail: 'internal error' }),
  );
}

/**
 * Marks the sockets above the limit. `event` is the server event that reports the sockets which requests arrive on;
 * sockets in a TLS handshake are not counted, as the handshake has its own time limit.
 */
function limitConnections(
  server: Server,
  event: 'connection' | 'secureConnection',
  { maxConnections }: CallersServerOptions,
  excessSockets: WeakSet<Socket>,
): void {
  let openCount = 0;
  server.maxConnections = maxConnections + maxRefusedConnections;
  server.on(event, (socket: Socket) => {
    openCount += 1;
    if (openCount > maxConnections) {
      excessSockets.add(socket);
    }
    socket.once('close', () => {
      openCount -= 1;
    });
  });
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
