/** HTTP plumbing of the stand-ins: listening, stopping, and event streams. */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import type { ServerResponse } from 'node:http';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Context, Hono } from 'hono';

/** Hono's environment under Node.js: gives handlers the socket. */
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
  /** Stops listening, waits for running answers, then resolves. */
  close(): Promise<void>;
  /** Stops at once and breaks all connections, as a dying process does. */
  destroy(): void;
}

export async function listen(
  app: Hono<NodeEnvironment>,
  { host = '127.0.0.1', port = 0 }: ListenOptions = {},
): Promise<StandinServer> {
  // Connections are closed by their peers; keep-alive must not race with a call on its way.
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

/** A signal that aborts when the caller's connection closes before its answer is complete. */
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

/** Breaks the caller's connection without an answer. */
export function breakConnection(context: Context<NodeEnvironment>): Response {
  context.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

/**
 * Answers with an event stream, one JSON value an event. A stream without its end marker is broken
 * off rather than ended properly when `isWhole` says so at the end.
 */
export function sendEvents<Value>(
  context: Context<NodeEnvironment>,
  values: AsyncIterable<Value>,
  isWhole: () => boolean = () => true,
): Response {
  const response = context.env.outgoing;
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
  response.flushHeaders();
  pump(response, values)
    .then(() => (isWhole() ? response.end() : response.destroy()))
    .catch(() => response.destroy());
  return RESPONSE_ALREADY_SENT;
}

async function pump<Value>(response: ServerResponse, values: AsyncIterable<Value>): Promise<void> {
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
      await drained(response);
    }
  }
}

async function drained(response: ServerResponse): Promise<void> {
  const controller = new AbortController();
  const { signal } = controller;
  await Promise.race([
    once(response, 'drain', { signal }),
    once(response, 'close', { signal }),
  ]).finally(() => controller.abort());
}
