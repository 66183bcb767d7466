/**
 * The HTTP server for callers. It reads complete requests within the limits, and shuts down in steps so that no request
 * that was read is cut off.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import {
  createBodyReaderPool,
  guardPort,
  type PortResources,
  type RequestBodyOutcome,
  type UnreadRequest,
} from '@bluebellhitch/ports';
import { assertNever, monotonicNowMs, watchSlowSenders } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { CallerExchange } from '../callerApi';
import { notRunReasons, type CallerLimits, type CallerRequest, type Refusal } from '../model';
import { noReadBarrier, type ReadBarrier } from '../readBarrier';
import { createCallerConnections, isCallerWaiting, onceResponseOver } from './callerConnection';
import { createConnectionClosing, refuseConnect, type TakenRequest } from './connectionClosing';
import { createHttpExchange, refuseOverHttp } from './httpExchange';
import { refuseUnread } from './refuseUnread';

/** A request's head as parsed by Node.js. */
export interface RequestHead {
  method: string;
  target: string;
  /** Alternating names and values. */
  rawHeaders: readonly string[];
  arrivedAtMs: number;
}

/** Decodes a request's head as defined by the callers' protocol. */
export type DecodeHead = (head: RequestHead) => Result<Omit<CallerRequest, 'body'>, Refusal>;

export interface CallersServerOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  decodeHead: DecodeHead;
  serve(exchange: CallerExchange): Promise<void>;
  logger: Logger;
  /** Shared with the other ports of the process. */
  resources: PortResources;
  maxConnections: number;
  /** Requests in progress on a connection, from which on nothing more is read from it. Default: 32. */
  maxRequestsPerConnection?: number;
  /** How long a request may take by its route; undefined if none is known. Default: none is known. */
  routeTimeoutMs?: (request: Omit<CallerRequest, 'body'>) => number | undefined;
  /** Requests are served once everything that arrived with them has been read. Default: at once. */
  readBarrier?: ReadBarrier;
  /** Called for each request whose caller has left before anything was done for it. */
  onLeftUnserved?: () => void;
  /** Duration of a recent hold-up of the process, in ms. Default: there is none. */
  recentHoldUpMs?: () => number;
  /** Asked once for each new connection; one that may not be served is closed unread. Default: all are served. */
  mayServeConnection?: () => boolean;
}

export interface CallersServer {
  /** The port that the server listens on. */
  port: number;
  setLimits(limits: CallerLimits): void;
  /** From now on, each response closes its connection. */
  beginDrain(): void;
  /** From now on, requests that may last longer than until `endsAtMs`, a monotonic time, are refused. */
  refuseBeyond(endsAtMs: number): void;
  /** Accepts no new connections and closes quiet ones; requests in progress continue. */
  stopAccepting(): void;
  activeCount(): number;
  /** Resolves once no request is in progress, and none is expected on a connection that stays open for a moment. */
  whenIdle(): Promise<void>;
  /** Closes all open connections. */
  close(): void;
}

/** In force until the first configuration arrives; as strict as those of a public server. */
const initialLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** The connection was reset, or has ended inside a request. */
const callerLeftCodes: readonly string[] = ['ECONNRESET', 'HPE_INVALID_EOF_STATE'];
/** The parser's limit is fixed when the server starts; the configured limit is checked separately and lies below it. */
const maxParserHeaderBytes = 131_072;
const timeoutCheckIntervalMs = 500;
/** Limit of a timer that is not longer than the runtime can measure, whatever time a caller states. */
const maxBodyTimeoutMs = 3_600_000;
/** More than callers send ahead that read the answers. */
const defaultMaxRequestsPerConnection = 32;
/** A connection is closed for a new one only once it has been quiet for so long. */
const minQuietMsOfClosed = 1_000;
/** Time in which requests in progress end and free their memory. */
const memoryRetryAfterMs = 500;
const overloadRefusal = {
  kind: 'not-run',
  reason: notRunReasons.overloaded,
  retryAfterMs: memoryRetryAfterMs,
} as const satisfies Refusal;
/** Another router can serve the request at once. */
const stoppingRetryAfterMs = 50;

/** Starts the server; rejects if the port is in use. */
export async function startCallersServer(options: CallersServerOptions): Promise<CallersServer> {
  const { logger, recentHoldUpMs = () => 0, mayServeConnection = () => true } = options;
  const { readBarrier = noReadBarrier, onLeftUnserved = () => undefined } = options;
  const { resources, maxRequestsPerConnection = defaultMaxRequestsPerConnection } = options;
  const connections = createCallerConnections();
  const bodyReaders = createBodyReaderPool(resources.memory);
  const idleListeners: (() => void)[] = [];
  const closing = createConnectionClosing({
    onLingered: notifyIfIdle,
    onClosing: (socket) => guard.of(socket).discardInput(),
  });
  let limits = initialLimits;
  let activeCount = 0;
  let isDraining = false;
  let endsAtMs = Infinity;

  async function onRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const taken = closing.take(incoming, outgoing);
    const guarded = guard.of(incoming.socket);
    if (taken === undefined) {
      guarded.discardInput();
      return;
    }
    const connection = connections.of(incoming.socket);
    const heldUpMs = recentHoldUpMs();
    activeCount += 1;
    onceResponseOver(outgoing, connection, () => onResponseOver(taken));
    if (resources.memory.isFull()) {
      refuse(taken, { incoming, outgoing }, overloadRefusal);
      return;
    }
    const head = decode(incoming);
    if (head.isErr()) {
      refuse(taken, { incoming, outgoing }, head.error);
      return;
    }
    const { maxBodyBytes } = limits;
    const { done, release } = bodyReaders.read(incoming, {
      maxBodyBytes,
      timeoutMs: bodyTimeoutMs(head.value),
    });
    onceResponseOver(outgoing, connection, release);
    const bodyRead = await done;
    if (bodyRead.kind === 'caller-left') {
      outgoing.destroy();
      return;
    }
    if (bodyRead.kind !== 'whole') {
      refuse(taken, { incoming, outgoing }, bodyRefusal(bodyRead));
      return;
    }
    if (!(await isCallerWaiting(connection, readBarrier))) {
      onLeftUnserved();
      outgoing.destroy();
      return;
    }
    const request = { ...head.value, body: bodyRead.body };
    const exchange = createHttpExchange(request, outgoing, {
      connection,
      isDraining: () => isDraining,
      announceClose: taken.announceClose,
      holdAnswer: guarded.holdAnswer,
      openResponse: guarded.openResponse,
    });
    if (request.deadlineAtMs > endsAtMs) {
      const reason = notRunReasons.stopping;
      exchange.refuse({ kind: 'not-run', reason, retryAfterMs: stoppingRetryAfterMs });
      return;
    }
    await options.serve({ ...exchange, heldUpMs });
  }

  /** Closes the connection after it, so that no request runs whose response would be lost with the connection. */
  function refuse(taken: TakenRequest, unread: UnreadRequest, refusal: Refusal): void {
    taken.announceClose();
    refuseUnread(unread, refusal, limits.maxBodyBytes);
  }

  /** Until the request has to be answered; a body without a known route must not take longer than an idle connection. */
  function bodyTimeoutMs(request: Omit<CallerRequest, 'body'>): number {
    const { routeTimeoutMs = () => undefined } = options;
    const leftMs = request.deadlineAtMs - monotonicNowMs();
    const ownMs = routeTimeoutMs(request) ?? limits.idleTimeoutMs;
    return Math.max(0, Math.min(leftMs, ownMs, maxBodyTimeoutMs));
  }

  function decode(incoming: IncomingMessage): Result<Omit<CallerRequest, 'body'>, Refusal> {
    const { method = '', url: target = '', rawHeaders } = incoming;
    const headerBytes = rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
    const size: Result<void, Refusal> =
      headerBytes > limits.maxHeaderBytes
        ? err({ kind: 'too-large', part: 'header' })
        : ok(undefined);
    const arrivedAtMs = monotonicNowMs();
    return size.andThen(() => options.decodeHead({ method, target, rawHeaders, arrivedAtMs }));
  }

  function onResponseOver(taken: TakenRequest): void {
    activeCount -= 1;
    taken.noteOver();
    notifyIfIdle();
  }

  const isIdle = () => activeCount === 0 && !closing.isLingering();

  function notifyIfIdle(): void {
    if (isIdle()) {
      idleListeners.splice(0).forEach((notify) => notify());
    }
  }

  const server = createServer(
    {
      maxHeaderSize: maxParserHeaderBytes,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      requestTimeout: 0,
      headersTimeout: initialLimits.headerTimeoutMs,
      keepAliveTimeout: initialLimits.idleTimeoutMs,
      noDelay: true,
    },
    (incoming, outgoing) => {
      onRequest(incoming, outgoing).catch((error: unknown) => {
        logger.error('unhandled error in request', { error });
        if (outgoing.headersSent) {
          outgoing.destroy();
        } else {
          refuseOverHttp(outgoing, { kind: 'answer-lost', detail: 'unexpected error' });
        }
      });
    },
  );
  const guard = guardPort(server, {
    ...{ resources, maxRequestsPerConnection },
    maxConnections: options.maxConnections,
    minQuietMs: minQuietMsOfClosed,
  });
  closing.watch(server);
  server.prependListener('connection', (socket) => {
    if (!mayServeConnection()) {
      socket.destroy();
    }
    connections.add(socket);
  });
  function onCallerError(error: NodeJS.ErrnoException, socket: Socket): void {
    logger.info('could not parse request', { code: error.code });
    if (callerLeftCodes.includes(error.code ?? '')) {
      socket.destroy();
    } else {
      closing.refuseUnread(socket, unparsableResponse(error.code));
    }
  }
  refuseConnect(server, closing, () => unparsableResponse(undefined));
  watchSlowSenders(server, {
    timeoutMs: () => limits.headerTimeoutMs,
    onTimeout: onCallerError,
    onOtherError: onCallerError,
  });
  await listen(server, options.host, options.port);

  return {
    port: (server.address() as AddressInfo).port,
    setLimits(next) {
      limits = next;
      server.headersTimeout = next.headerTimeoutMs;
      server.keepAliveTimeout = next.idleTimeoutMs;
    },
    beginDrain() {
      isDraining = true;
      closing.beginDrain();
    },
    refuseBeyond(nextEndsAtMs) {
      endsAtMs = nextEndsAtMs;
    },
    stopAccepting() {
      isDraining = true;
      closing.closePort(server);
    },
    activeCount: () => activeCount,
    whenIdle: () =>
      isIdle()
        ? Promise.resolve()
        : new Promise((resolve) => {
            idleListeners.push(resolve);
          }),
    close: () => server.closeAllConnections(),
  };
}

function bodyRefusal({
  kind,
}: Exclude<RequestBodyOutcome, { kind: 'whole' | 'caller-left' }>): Refusal {
  switch (kind) {
    case 'too-large':
      return { kind: 'too-large', part: 'body' };
    case 'no-memory':
      return overloadRefusal;
    case 'overdue':
      return { kind: 'body-overdue' };
    default:
      return assertNever(kind);
  }
}

/** The response to data that the HTTP parser of Node.js could not parse. */
function unparsableResponse(code: string | undefined): string {
  const status =
    code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : parseErrorStatus(code);
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

function parseErrorStatus(code: string | undefined): string {
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request';
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: 1_024 }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
