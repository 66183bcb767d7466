/**
 * The HTTP server for callers: reads requests whole within the limits, and ends in steps so that nothing
 * that was read is cut off.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { CallerExchange } from './callerApi';
import { createHttpExchange, refuseOverHttp } from './httpExchange';
import { notRunReasons, type CallerLimits, type CallerRequest, type Refusal } from './model';
import { createBodyReaderPool, type BodyRead } from './requestBody';

/** A request's head as the HTTP parser gives it. */
export interface RequestHead {
  method: string;
  target: string;
  /** Names and values by turns. */
  rawHeaders: readonly string[];
  arrivedAtMs: number;
}

/** Reads what the callers' interface says in headers. */
export type DecodeHead = (head: RequestHead) => Result<Omit<CallerRequest, 'body'>, Refusal>;

export interface CallersServerOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  decodeHead: DecodeHead;
  serve(exchange: CallerExchange): Promise<void>;
  logger: Logger;
  /** Bodies in memory, all together. */
  maxHeldBytes: number;
  maxConnections: number;
}

export interface CallersServer {
  /** The port that was taken. */
  port: number;
  setLimits(limits: CallerLimits): void;
  /** Answers from now on close their connection. */
  beginDrain(): void;
  /** Takes no new connection and closes idle ones; requests in progress go on. */
  stopAccepting(): void;
  activeCount(): number;
  /** Resolves when no request is in progress. */
  idle(): Promise<void>;
  /** Closes what is still open. */
  close(): void;
}

/** Until a configuration tells others: those of a strict public server. */
const initialLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** The parser's bound is fixed at the start; ours follows the configuration below it. */
const parserHeaderBytes = 131_072;
const timeoutCheckMs = 500;
/** A moment in which requests in progress end and free their memory. */
const memoryRetryAfterMs = 500;

/** Starts the server; rejects where the port is taken. */
export async function startCallersServer(options: CallersServerOptions): Promise<CallersServer> {
  const { logger } = options;
  const bodies = createBodyReaderPool(options.maxHeldBytes);
  const idleWaiters: (() => void)[] = [];
  let limits = initialLimits;
  let activeCount = 0;
  let isDraining = false;

  async function onRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    activeCount += 1;
    outgoing.once('close', onEnded);
    const head = decode(incoming);
    if (head.isErr()) {
      refuseOverHttp(outgoing, head.error, true);
      return;
    }
    const { done, release } = bodies.read(incoming, limits.maxBodyBytes);
    outgoing.once('close', release);
    const read = await done;
    if (read.kind !== 'whole') {
      refuseBody(outgoing, read);
      return;
    }
    const request = { ...head.value, body: read.body };
    await options.serve(createHttpExchange(request, outgoing, () => isDraining));
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

  function onEnded(): void {
    activeCount -= 1;
    if (activeCount === 0) {
      idleWaiters.splice(0).forEach((wake) => wake());
    }
  }

  const server = createServer(
    {
      maxHeaderSize: parserHeaderBytes,
      connectionsCheckingInterval: timeoutCheckMs,
      requestTimeout: 0,
      headersTimeout: initialLimits.headerTimeoutMs,
      keepAliveTimeout: initialLimits.idleTimeoutMs,
      noDelay: true,
    },
    (incoming, outgoing) => {
      onRequest(incoming, outgoing).catch((error: unknown) => {
        logger.error('request failed by a defect', { error });
        outgoing.destroy();
      });
    },
  );
  server.maxConnections = options.maxConnections;
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    logger.info('request was not readable', { code: error.code });
    answerUnreadable(error, socket);
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
    },
    stopAccepting() {
      isDraining = true;
      server.close();
      server.closeIdleConnections();
    },
    activeCount: () => activeCount,
    idle: () =>
      activeCount === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            idleWaiters.push(resolve);
          }),
    close: () => server.closeAllConnections(),
  };
}

function refuseBody(outgoing: ServerResponse, read: Exclude<BodyRead, { kind: 'whole' }>): void {
  switch (read.kind) {
    case 'too-large':
      refuseOverHttp(outgoing, { kind: 'too-large', part: 'body' }, true);
      return;
    case 'no-memory': {
      const reason = notRunReasons.overloaded;
      const refusal: Refusal = { kind: 'not-run', reason, retryAfterMs: memoryRetryAfterMs };
      refuseOverHttp(outgoing, refusal, true);
      return;
    }
    case 'caller-left':
      outgoing.destroy();
  }
}

/** Answers bytes that are no request: Node's parser has given up on the connection. */
function answerUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
  // Bytes of an error written into an answer that has begun would look like a part of that answer.
  const current = Reflect.get(socket, '_httpMessage') as ServerResponse | null | undefined;
  if (error.code === 'ECONNRESET' || !socket.writable || current?.headersSent) {
    socket.destroy();
    return;
  }
  const status =
    error.code === 'HPE_HEADER_OVERFLOW'
      ? '431 Request Header Fields Too Large'
      : unreadableStatus(error.code);
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

function unreadableStatus(code: string | undefined): string {
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
