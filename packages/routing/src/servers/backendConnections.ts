/**
 * HTTP connections to backend servers. Each connection is an undici client of its own, so that the router knows for
 * every call whether it was sent, on which connection, and how that connection ended. Calls report failures in their
 * outcome and never reject; a call that was sent is not retried.
 */
import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import { createConnectionInput, type Holdings } from '@bluebellhitch/ports';
import { noReadBarrier, type ReadBarrier } from '../readBarrier';
import { createExchange, type ExchangeConnection } from './backendExchange';
import { expectedIdOf } from './callIdentity';
import { createCarriedIds } from './carriedIds';
import { createChunkTurns } from './chunkTurns';
import { endSocket, probeConnectionEnd } from './connectionEnd';
import { createCompactBody, type CompactBodyOptions } from './compactBody';
import {
  isOnOwnConnection,
  type ForeignResponseEvidence,
  type HttpCall,
  type HttpOutcome,
} from './httpCall';

export interface BackendConnections {
  call(call: HttpCall): Promise<HttpOutcome>;
  /** Closes the idle connections to an address. */
  closeIdleConnections(address: string): void;
  close(): Promise<void>;
}

export interface BackendConnectionsOptions {
  connectTimeoutMs?: number;
  /** Time that an idle connection is kept if the server does not state its own keep-alive time-out. */
  keepAliveTimeoutMs?: number;
  /**
   * Calls that can be given up are sent once everything that had arrived has been read: their caller may have left, or
   * their server may have said that it leaves. Default: at once.
   */
  readBarrier?: ReadBarrier;
  /** What is kept of all responses. Default: not counted. */
  holdings?: Holdings;
  /** Called each time a connection is opened. */
  onOpened?: () => void;
  /** Called for each response that is not read to its end. */
  onAbandoned?: () => void;
  /** Called for each response that is not that of its call. */
  onForeign?: (evidence: ForeignResponseEvidence) => void;
}

interface Connection extends ExchangeConnection {
  isClosed: boolean;
  /** Absent until the connection is open. */
  socket?: Socket;
}

interface AddressPool {
  /** The most recently used is last and is taken first: it is the least likely to be closed by the server. */
  idle: Connection[];
  openCount: number;
  /** Whether anonymous calls get connections that carry no requests: see `HttpResponse.distrust`. */
  separatesAnonymous: boolean;
}

/**
 * Round trips within a region take a few milliseconds. TCP sends a lost SYN packet again after a second; trying
 * another server is faster.
 */
const defaultConnectTimeoutMs = 400;
/** Servers state their keep-alive time-out in whole seconds; if they do not, it is under a second. */
const defaultKeepAliveTimeoutMs = 600;
/** The router closes idle connections this much earlier than the server, so that no request races with the close. */
const keepAliveMarginMs = 400;

export function createBackendConnections(
  options: BackendConnectionsOptions = {},
): BackendConnections {
  const {
    connectTimeoutMs = defaultConnectTimeoutMs,
    keepAliveTimeoutMs = defaultKeepAliveTimeoutMs,
    readBarrier = noReadBarrier,
    onOpened,
    onAbandoned,
    onForeign,
    holdings,
  } = options;
  const pools = new Map<string, AddressPool>();
  const turns = createChunkTurns();
  let openedCount = 0;
  const allConnections = new Set<Connection>();

  function getPool(address: string): AddressPool {
    const existing = pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const pool: AddressPool = { idle: [], openCount: 0, separatesAnonymous: false };
    pools.set(address, pool);
    return pool;
  }

  function open(address: string, pool: AddressPool): Connection {
    // Half-open, so that the end of the connection can be probed: see `probeConnectionEnd`.
    const connect = buildConnector({ timeout: connectTimeoutMs, allowHalfOpen: true });
    const client = new Client(`http://${address}`, {
      // Calls have time-outs of their own, because those of undici are coarse.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
      pipelining: 1,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...outcome) => {
          const [error, socket] = outcome;
          if (error !== null) {
            callback(...outcome);
            return;
          }
          watchSocket(connection, socket);
          // The call that waits for the connection is written as soon as the callback returns.
          void waitForInput().then(() => callback(...outcome));
        }),
    });
    openedCount += 1;
    const connection: Connection = {
      ...{ number: openedCount, callCount: 0, latestCalls: [] },
      ...{
        client,
        isCloseDelimited: false,
        isOnlyForAnonymous: false,
        isClosed: false,
        isSpent: false,
      },
      carriedIds: createCarriedIds(),
      input: createConnectionInput(),
    };
    const onDisconnected = () => close(connection, pool);
    client.on('disconnect', onDisconnected);
    client.on('connectionError', onDisconnected);
    pool.openCount += 1;
    allConnections.add(connection);
    onOpened?.();
    return connection;
  }

  function close(connection: Connection, pool: AddressPool): void {
    if (connection.isClosed) {
      return;
    }
    connection.isClosed = true;
    allConnections.delete(connection);
    pool.openCount -= 1;
    pool.idle = pool.idle.filter((other) => other !== connection);
    void connection.client.destroy().catch(() => undefined);
  }

  async function waitForInput(): Promise<void> {
    const check = readBarrier.check();
    while (!check.isCurrent()) {
      await check.nextPass();
    }
  }

  async function call(request: HttpCall): Promise<HttpOutcome> {
    if (request.signal !== undefined) {
      await waitForInput();
    }
    if (request.signal?.aborted) {
      return { kind: 'not-sent', detail: 'given up' };
    }
    if (request.maySend?.() === false) {
      return { kind: 'withheld' };
    }
    const reused = takeIdle(getPool(request.address), request);
    if (reused !== undefined) {
      const outcome = await send(reused, getPool(request.address), request);
      // The server has closed the connection. Nothing was sent, so the call may use another connection.
      if (outcome.kind !== 'not-sent' || request.signal?.aborted) {
        return outcome;
      }
    }
    return callOnNewConnection(request);
  }

  async function callOnNewConnection(request: HttpCall): Promise<HttpOutcome> {
    if (getPool(request.address).openCount >= request.maxConnections) {
      await makeRoom(getPool(request.address));
    }
    if (request.signal?.aborted) {
      return { kind: 'not-sent', detail: 'given up' };
    }
    const pool = getPool(request.address);
    if (pool.openCount >= request.maxConnections) {
      return { kind: 'not-sent', detail: 'connection limit reached' };
    }
    const connection = open(request.address, pool);
    connection.isOnlyForAnonymous =
      request.identity.kind === 'anonymous' && pool.separatesAnonymous;
    return send(connection, pool, request);
  }

  /** Closes an idle connection for a call that none of them may carry. It counts until the server has closed it too. */
  async function makeRoom(pool: AddressPool): Promise<void> {
    const connection = pool.idle.shift();
    if (connection?.socket !== undefined) {
      await endSocket(connection.socket);
      close(connection, pool);
    }
  }

  function send(
    connection: Connection,
    pool: AddressPool,
    request: HttpCall,
  ): Promise<HttpOutcome> {
    return new Promise((resolve) => {
      const resolveCompact = (outcome: HttpOutcome) =>
        resolve(withCompactBody(outcome, { turns, holdings, signal: request.signal }));
      const exchange = createExchange(connection, request, resolveCompact, {
        onReusable: () => {
          if (connection.isSpent) {
            close(connection, pool);
          } else if (!connection.isClosed) {
            pool.idle.push(connection);
          }
        },
        onAbandoned: () => onAbandoned?.(),
        onForeign: (evidence) => onForeign?.(evidence),
        onBroken: () => close(connection, pool),
        onDistrusted() {
          pool.separatesAnonymous = true;
          close(connection, pool);
        },
      });
      exchange.start();
    });
  }

  return {
    call,
    closeIdleConnections(address) {
      const pool = pools.get(address);
      pool?.idle.slice().forEach((connection) => close(connection, pool));
      if (pool?.openCount === 0) {
        pools.delete(address);
      }
    },
    async close() {
      await Promise.all([...allConnections].map(({ client }) => client.destroy()));
    },
  };
}

function withCompactBody(outcome: HttpOutcome, options: CompactBodyOptions): HttpOutcome {
  if (outcome.kind !== 'answered') {
    return outcome;
  }
  const { response } = outcome;
  return {
    ...outcome,
    response: { ...response, body: createCompactBody(response.body, options) },
  };
}

function takeIdle(pool: AddressPool, call: HttpCall): Connection | undefined {
  if (isOnOwnConnection(call)) {
    return undefined;
  }
  const isAnonymous = call.identity.kind === 'anonymous';
  const mayShare = !isAnonymous || !pool.separatesAnonymous;
  const id = expectedIdOf(call.identity);
  const usable = pool.idle.filter(
    ({ isOnlyForAnonymous, carriedIds }) =>
      (isOnlyForAnonymous ? isAnonymous : mayShare) && (id === undefined || !carriedIds.has(id)),
  );
  const taken =
    usable.findLast(({ isOnlyForAnonymous }) => isOnlyForAnonymous === isAnonymous) ??
    usable.at(-1);
  pool.idle = pool.idle.filter((connection) => connection !== taken);
  return taken;
}

/**
 * Records how the connection ends, before undici handles it. A response without a length ends with its connection, and
 * a reset must not be taken for that end: the caller would get a truncated response that looks complete. Undici treats
 * a reset as the end, and so does Node.js if the reset arrives together with the last bytes.
 */
function watchSocket(connection: Connection, socket: Socket): void {
  connection.socket = socket;
  socket.setNoDelay(true);
  connection.input.watch(socket);
  socket.on('error', () => {
    connection.end ??= Promise.resolve('reset');
  });
  socket.on('end', () => {
    if (connection.isCloseDelimited) {
      connection.end ??= probeConnectionEnd(socket);
    }
  });
}
