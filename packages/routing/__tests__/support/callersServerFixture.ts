/** A server for callers whose requests a function serves, and callers that write raw text. */
import { connect } from 'node:net';
import type { ExecutionContext } from 'ava';
import { ok } from 'neverthrow';
import {
  startCallersServer,
  type CallerExchange,
  type CallersServer,
  type CallersServerOptions,
  type DecodeHead,
} from '@bluebellhitch/routing';
import { createMemoryAccount, createReadTurns } from '@bluebellhitch/ports';
import { createLogger } from '@bluebellhitch/telemetry';

const decodeHead: DecodeHead = ({ method, target, arrivedAtMs }) =>
  ok({
    id: 'r1',
    method,
    target,
    host: 'a.example',
    headers: [],
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + 10_000,
    credential: { kind: 'none' },
    credentialHeaders: [],
  });

export async function startServer(
  t: ExecutionContext,
  serve: (exchange: CallerExchange) => void,
  overrides: Partial<CallersServerOptions> = {},
): Promise<CallersServer> {
  const server = await startCallersServer({
    host: '127.0.0.1',
    port: 0,
    decodeHead,
    serve: async (exchange) => serve(exchange),
    logger: createLogger({ binary: 'test', instanceId: 't', write: () => undefined }),
    resources: {
      memory: createMemoryAccount({ bodies: 1_000_000, connections: 100_000_000 }),
      turns: createReadTurns(),
      maxConnections: 100,
    },
    maxConnections: 100,
    ...overrides,
  });
  t.teardown(() => {
    server.stopAccepting();
    server.close();
  });
  return server;
}

/** Opens a caller's connection, which records the text that it receives. */
export function openConnection(t: ExecutionContext, port: number, { allowHalfOpen = false } = {}) {
  const socket = connect({ host: '127.0.0.1', port, allowHalfOpen });
  let text = '';
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  socket.on('data', (chunk) => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  t.teardown(() => socket.destroy());
  return { socket, closed, text: () => text };
}

export const request = 'GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n';

export function until(condition: () => boolean): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      if (condition()) {
        clearInterval(timer);
        resolve();
      }
    }, 2);
  });
}
