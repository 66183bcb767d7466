/** Runs an agent with its real inner port and a fake engine or a plain server on loopback. */
import { createServer, type RequestListener, type Server } from 'node:http';
import { createServer as createSocketServer, type AddressInfo, type Socket } from 'node:net';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { ExecutionContext } from 'ava';
import { okAsync } from 'neverthrow';
import { innerHeaders, type AgentRouter, type StreamFrame } from '@bluebellhitch/protocol';
import { insecureInner, type InnerSecurity } from '@bluebellhitch/security';
import { delay } from '@bluebellhitch/shared';
import { createAgent, createPlainProxy, startInnerServer, type AgentBackend } from '../../src';
import { startHeartbeats } from './agentBench';
import { createFakeEngine, type FakeEngineOptions } from './fakeEngine';

export async function listen(t: ExecutionContext, handler: RequestListener): Promise<Server> {
  const server = createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return server;
}

export function addressOf(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function start(
  t: ExecutionContext,
  backend: AgentBackend,
  service: string,
  security: InnerSecurity,
  backendUrl?: string,
) {
  const agent = createAgent({
    instanceId: 'agent-1',
    service,
    incarnation: 'first',
    backend,
    readFencingNumber: () => okAsync(0),
  });
  await agent.start();
  const plainProxy = backendUrl === undefined ? undefined : createPlainProxy({ agent, backendUrl });
  const server = await startInnerServer({
    agent,
    plainProxy,
    security,
    host: '127.0.0.1',
    port: 0,
  });
  t.teardown(async () => {
    await server.close();
    agent.close();
    await plainProxy?.close();
  });
  const client = createTRPCClient<AgentRouter>({
    links: [httpLink({ url: `${server.address}/trpc` })],
  });
  return { agent, server, client };
}

export async function startModelBench(
  t: ExecutionContext,
  options: FakeEngineOptions = {},
  security: InnerSecurity = insecureInner,
) {
  const engine = createFakeEngine({ stepMs: 2, ...options });
  const backend: AgentBackend = {
    kind: 'model',
    engine,
    kvAddress: 'http://127.0.0.1:1',
    kvRateBytesPerSecond: 1_000_000,
  };
  const bench = await start(t, backend, 'draft-models', security);
  // Without heartbeats of the entry the leases lapse, on a busy machine in the middle of a response.
  t.teardown(startHeartbeats(bench));
  return { engine, ...bench };
}

export async function startPlainBench(
  t: ExecutionContext,
  handler: RequestListener,
  security: InnerSecurity = insecureInner,
) {
  const backend = await listen(t, handler);
  return startPlainBenchAt(t, addressOf(backend), security);
}

export function startPlainBenchAt(
  t: ExecutionContext,
  backendUrl: string,
  security: InnerSecurity = insecureInner,
) {
  return start(t, { kind: 'plain' }, 'counter-app', security, backendUrl);
}

/** A TCP server that is given the socket of each request. */
export async function startRawBackend(
  t: ExecutionContext,
  onRequest: (socket: Socket, request: Buffer) => void,
) {
  const server = createSocketServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (request) => onRequest(socket, request));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const close = () => server.close();
  t.teardown(close);
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, close };
}

export function plainHeaders(attemptId: string, deadlineInMs = 2000): Record<string, string> {
  return {
    [innerHeaders.entryId]: 'entry-1',
    [innerHeaders.entryIncarnation]: 'first',
    [innerHeaders.attemptId]: attemptId,
    [innerHeaders.requestId]: `request-${attemptId}`,
    [innerHeaders.institution]: 'halloran-voss',
    [innerHeaders.className]: 'standard',
    [innerHeaders.service]: 'counter-app',
    [innerHeaders.deadlineInMs]: String(deadlineInMs),
  };
}

export function parseFrames(text: string): StreamFrame[] {
  return text
    .split('\n\n')
    .filter((event) => event !== '')
    .map((event) => JSON.parse(event.slice('data: '.length)) as StreamFrame);
}

/** Polls until the condition holds; resolves with false after `timeoutMs`. */
export async function waitUntil(condition: () => boolean, timeoutMs = 2000): Promise<boolean> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (!condition() && performance.now() < deadlineAtMs) {
    await delay(5);
  }
  return condition();
}
