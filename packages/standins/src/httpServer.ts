/** HTTP server helpers that the stand-ins share: listening, stopping, and event streams. */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import type { ServerResponse } from 'node:http';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Context, Hono } from 'hono';

/** Hono environment under Node.js; gives handlers access to the socket. */
export interface NodeEnvironment {
  Bindings: HttpBindings;
}

export interface ListenOptions {
  host?: string;
  /** 0 picks a free port. */
  port?: number;
}

export interface StandinServer {
  /** `http://ip:port` */
  address: string;
  /** Stops listening; resolves when the responses in progress have ended. */
  close(): Promise<void>;
  /** Stops listening and destroys all connections, as when the process is killed. */
  destroy(): void;
}

export async function listen(
  app: Hono<NodeEnvironment>,
  { host = '127.0.0.1', port = 0 }: ListenOptions = {},
): Promise<StandinServer> {
  // Clients close idle connections: a short keep-alive time-out here could close one just as a request arrives.
  const server = createAdaptorServer({
    fetch: app.fetch,
    serverOptions: { keepAliveTimeout: 60_000 },
  });
  server.listen(port, host);
  await once(server, 'listening');
  const { address, port: boundPort } = server.address() as AddressInfo;
  return {
    address: `http://${address}:${boundPort}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        (server as { closeIdleConnections?: () => void }).closeIdleConnections?.();
      }),
    destroy: () => {
      server.close();
      (server as { closeAllConnections?: () => void }).closeAllConnections?.();
    },
  };
}

/** Returns a signal that aborts when the caller's connection closes before the response is complete. */
export function disconnectSignal(context: Context<NodeEnvironment>): AbortSignal {
  const controller = new AbortController();
  const response = context.env.outgoing;
  response.once('close', () => {
    if (!response.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}

/** Destroys the caller's connection without sending a response. */
export function abortConnection(context: Context<NodeEnvironment>): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/**
 * Responds with an event stream that has one JSON value per event. If `isComplete` returns false when
 * the values end, the connection is destroyed, so that the caller cannot take the stream for complete.
 */
export function sendEvents<Value>(
  context: Context<NodeEnvironment>,
  values: AsyncIterable<Value>,
  isComplete: () => boolean = () => true,
): Response {
  const response = context.env.outgoing;
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
  response.flushHeaders();
  writeEvents(response, values)
    .then(() => (isComplete() ? response.end() : response.destroy()))
    .catch(() => response.destroy());
  return RESPONSE_ALREADY_SENT;
}

async function writeEvents<Value>(
  response: ServerResponse,
  values: AsyncIterable<Value>,
): Promise<void> {
  const iterator = values[Symbol.asyncIterator]();
  response.once('close', () => {
    iterator.return?.().catch(() => undefined);
  });
  for (;;) {
    const next = await iterator.next();
    if (next.done === true || response.destroyed) {
      return;
    }
    if (!response.write(`data: ${JSON.stringify(next.value)}\n\n`)) {
      await waitForDrain(response);
    }
  }
}

async function waitForDrain(response: ServerResponse): Promise<void> {
  const controller = new AbortController();
  const { signal } = controller;
  await Promise.race([
    once(response, 'drain', { signal }),
    once(response, 'close', { signal }),
  ]).finally(() => controller.abort());
}
