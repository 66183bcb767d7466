/**
 * HTTP connections to backend servers, each an undici client of its own: the router knows of every call
 * whether it went out, on which connection, and how that connection ended. Calls resolve; none retries
 * what went out.
 */
import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import { createExchange, type ConnectionEnd, type ExchangeConnection } from './backendExchange';
import type { HttpCall, HttpOutcome } from './httpCall';

export interface BackendConnections {
  call(call: HttpCall): Promise<HttpOutcome>;
  /** Closes what is idle to an address. */
  forget(address: string): void;
  close(): Promise<void>;
}

export interface BackendConnectionsOptions {
  connectTimeoutMs?: number;
  /** An idle connection without a hint of the server is kept this long. */
  idleMs?: number;
  /** Told each time that a connection is opened. */
  onOpened?: () => void;
}

interface Connection extends ExchangeConnection {
  isClosed: boolean;
}

interface AddressPool {
  /** Used last at the end: the freshest is the least likely to be closing at the other side. */
  idle: Connection[];
  openCount: number;
}

/**
 * Links inside a region take a few milliseconds; a lost opening packet is sent again after a second, which
 * is longer than another server takes to answer.
 */
const defaultConnectTimeoutMs = 400;
/** Servers name their idle time-out in whole seconds; where they do not, it is under a second. */
const defaultIdleMs = 600;
/** Kept between the server's idle time-out and ours, so that a request does not cross its close. */
const idleMarginMs = 400;
const resetCodes: readonly string[] = ['EPIPE', 'ECONNRESET', 'ENOTCONN'];

export function createBackendConnections(
  options: BackendConnectionsOptions = {},
): BackendConnections {
  const { connectTimeoutMs = defaultConnectTimeoutMs, idleMs = defaultIdleMs, onOpened } = options;
  const pools = new Map<string, AddressPool>();
  const all = new Set<Connection>();

  function poolOf(address: string): AddressPool {
    const known = pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool: AddressPool = { idle: [], openCount: 0 };
    pools.set(address, pool);
    return pool;
  }

  function open(address: string, pool: AddressPool): Connection {
    // Half open, so that the end can be checked: see `checkEnd`.
    const connect = buildConnector({ timeout: connectTimeoutMs, allowHalfOpen: true });
    const client = new Client(`http://${address}`, {
      // The time-outs of calls are ours: those of the library are coarse.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      pipelining: 1,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...outcome) => {
          const [error, socket] = outcome;
          if (error === null) {
            watchSocket(connection, socket);
          }
          callback(...outcome);
        }),
    });
    const connection: Connection = { client, isEndChecked: false, isClosed: false };
    const onGone = () => close(connection, pool);
    client.on('disconnect', onGone);
    client.on('connectionError', onGone);
    pool.openCount += 1;
    all.add(connection);
    onOpened?.();
    return connection;
  }

  function close(connection: Connection, pool: AddressPool): void {
    if (connection.isClosed) {
      return;
    }
    connection.isClosed = true;
    all.delete(connection);
    pool.openCount -= 1;
    pool.idle = pool.idle.filter((other) => other !== connection);
    void connection.client.destroy().catch(() => undefined);
  }

  async function call(sent: HttpCall): Promise<HttpOutcome> {
    if (sent.maySend?.() === false) {
      return { kind: 'withheld' };
    }
    const pool = poolOf(sent.address);
    const kept = pool.idle.pop();
    if (kept !== undefined) {
      const outcome = await send(kept, pool, sent);
      // The server had closed it; nothing went out, so the call may take a fresh one.
      if (outcome.kind !== 'not-sent' || sent.signal?.aborted) {
        return outcome;
      }
    }
    if (pool.openCount >= sent.maxConnections) {
      return { kind: 'not-sent', detail: 'connection limit reached' };
    }
    return send(open(sent.address, pool), pool, sent);
  }

  function send(connection: Connection, pool: AddressPool, sent: HttpCall): Promise<HttpOutcome> {
    return new Promise((resolve) => {
      const exchange = createExchange(connection, sent, resolve, {
        onReusable: () => {
          if (!connection.isClosed) {
            pool.idle.push(connection);
          }
        },
        onBroken: () => close(connection, pool),
      });
      exchange.start();
    });
  }

  return {
    call,
    forget(address) {
      const pool = pools.get(address);
      pool?.idle.slice().forEach((connection) => close(connection, pool));
      if (pool?.openCount === 0) {
        pools.delete(address);
      }
    },
    async close() {
      await Promise.all([...all].map(({ client }) => client.destroy()));
    },
  };
}

/**
 * An answer without a length ends with its connection, and a reset must not pass for that end: the caller
 * would get a part that looks whole. The library takes a reset for the end, and so does the runtime where
 * the reset arrives together with the last bytes. So both are noted here, before the library sees them.
 */
function watchSocket(connection: Connection, socket: Socket): void {
  socket.setNoDelay(true);
  socket.on('error', () => {
    connection.end ??= Promise.resolve('reset');
  });
  socket.on('end', () => {
    if (connection.isEndChecked) {
      connection.end ??= checkEnd(socket);
    }
  });
}

/** A write fails at once on a connection that was reset; on one that was closed it goes out unheeded. */
function checkEnd(socket: Socket): Promise<ConnectionEnd> {
  return new Promise((resolve) => {
    socket.write('\r\n', (error?: NodeJS.ErrnoException | null) => {
      resolve(resetCodes.includes(error?.code ?? '') ? 'reset' : 'closed');
    });
  });
}
