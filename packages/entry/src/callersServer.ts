/** The HTTP server for callers: routes, limits on connections and headers, and a graceful stop. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { createRefusal, refusalReasons } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { createCallerExchange, type CallerExchange } from './callerExchange';
import type { CallersTls } from './callersTls';
import type { CompletionsApi } from './completionsApi';
import { answerClientError } from './clientErrors';

export interface CallersServerOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  /** Absent: plain HTTP. */
  tls?: CallersTls;
  completions: CompletionsApi;
  plain: { handle(exchange: CallerExchange): Promise<void> };
  /** Whether a plain service has the host to itself. */
  hasHost: (host: string) => boolean;
  logger: Logger;
  maxHeaderBytes: number;
  maxConnections: number;
  /** Bound for a request's header to arrive. */
  headersTimeoutMs: number;
}

export interface CallersServer {
  /** `http://ip:port`, or `https` with TLS. */
  address: string;
  /** Requests that have no complete response yet. */
  activeCount(): number;
  /** Takes no new connection or request; running ones go on. */
  stopAccepting(): void;
  /** Resolves when no request runs. */
  idle(): Promise<void>;
  /** Closes what is still open. */
  close(): Promise<void>;
}

type App = Hono<{ Bindings: HttpBindings }>;
type Handler = (exchange: CallerExchange) => Promise<void> | void;

const keepAliveTimeoutMs = 30_000;
const timeoutCheckMs = 1_000;
/** Connections above the limit that still get an answer saying so. */
const refusedConnections = 64;

/** Starts the server; rejects where the port is taken. */
export async function startCallersServer(options: CallersServerOptions): Promise<CallersServer> {
  const { host, port, tls, logger } = options;
  const active = new Set<CallerExchange>();
  const idleWaiters: (() => void)[] = [];
  const excess = new WeakSet<Socket>();
  let accepting = true;

  function finish(exchange: CallerExchange): void {
    active.delete(exchange);
    if (active.size === 0) {
      idleWaiters.splice(0).forEach((wake) => wake());
    }
  }

  async function run(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    handler: Handler,
  ): Promise<void> {
    const exchange = createCallerExchange(incoming, outgoing);
    if (!accepting || excess.has(incoming.socket)) {
      refuseUnserved(exchange, accepting);
      return;
    }
    active.add(exchange);
    outgoing.once('close', () => finish(exchange));
    try {
      await handler(exchange);
    } catch (error) {
      logger.error('request failed', { requestId: exchange.requestId, error });
      refuseDefect(exchange);
    }
  }

  const app = createRoutes(options, async (context, handler) => {
    await run(context.env.incoming, context.env.outgoing, handler);
    return RESPONSE_ALREADY_SENT;
  });
  const server = createHttpServer(app, options);
  limitConnections(server, tls === undefined ? 'connection' : 'secureConnection', options, excess);
  server.on('clientError', answerClientError);
  // A socket without a finished handshake cannot be ended in the usual way and would stay open.
  server.on('tlsClientError', (_error, socket: Socket) => socket.destroy());
  await listen(server, host, port);
  const { address, port: boundPort } = server.address() as AddressInfo;

  return {
    address: `${tls === undefined ? 'http' : 'https'}://${address}:${boundPort}`,
    activeCount: () => active.size,
    stopAccepting() {
      accepting = false;
      server.close();
      server.closeIdleConnections();
    },
    idle: () =>
      active.size === 0
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
    // Bodies have bounds of their own, which let a long upload go on while it makes progress.
    requestTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMs,
    connectionsCheckingInterval: timeoutCheckMs,
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
  { completions, plain, hasHost }: CallersServerOptions,
  handle: (context: Context<{ Bindings: HttpBindings }>, handler: Handler) => Promise<Response>,
): App {
  const app: App = new Hono();
  const isPlainHost = (context: Context) => hasHost(context.req.header('host') ?? '');
  const unlessPlain = (handler: Handler) => (context: Context<{ Bindings: HttpBindings }>) =>
    handle(context, isPlainHost(context) ? plain.handle : handler);
  app.post(
    '/v1/chat/completions',
    unlessPlain((exchange) => completions.complete(exchange, 'chat')),
  );
  app.post(
    '/v1/completions',
    unlessPlain((exchange) => completions.complete(exchange, 'text')),
  );
  app.get('/v1/models', unlessPlain(completions.listModels));
  app.all('*', (context) => handle(context, plain.handle));
  return app;
}

function refuseUnserved(exchange: CallerExchange, accepting: boolean): void {
  exchange.outgoing.shouldKeepAlive = false;
  exchange.refuse(
    accepting
      ? createRefusal({ reason: refusalReasons.noCapacity, detail: 'too many connections' })
      : createRefusal({ reason: refusalReasons.leaving, detail: 'this entry stops' }),
  );
}

function refuseDefect(exchange: CallerExchange): void {
  if (exchange.outgoing.headersSent) {
    exchange.outgoing.destroy();
    return;
  }
  exchange.refuse(
    createRefusal({ reason: refusalReasons.internal, notRun: 'unknown', detail: 'internal error' }),
  );
}

/** `event` tells of the sockets that requests come over; a TLS handshake has its own time limit. */
function limitConnections(
  server: Server,
  event: 'connection' | 'secureConnection',
  { maxConnections }: CallersServerOptions,
  excess: WeakSet<Socket>,
): void {
  let openCount = 0;
  server.maxConnections = maxConnections + refusedConnections;
  server.on(event, (socket: Socket) => {
    openCount += 1;
    if (openCount > maxConnections) {
      excess.add(socket);
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
