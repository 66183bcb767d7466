import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import test from 'ava';
import { createAgentRouter, innerPaths, type AgentHandlers } from '@bluebellhitch/protocol';
import { createOrderAgentClient } from '../src/orderAgentClient';

const state = {
  incarnation: 'a',
  role: 'decode' as const,
  models: [{ model: 'letters', version: '1' }],
  adapters: [],
  highestFencingNumber: 4,
  leaving: false,
};

async function startAgent(
  t: { teardown(close: () => void): void },
  handlers: Partial<AgentHandlers>,
) {
  const router = createAgentRouter(handlers as AgentHandlers);
  const server = createHTTPServer({ router, basePath: `${innerPaths.trpc}/` });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const request = {
  service: 'draft-models',
  holderId: 'entry-1',
  fencingNumber: 5,
  validForMs: 1234.5,
  order: { kind: 'set-role' as const, role: 'prefill' as const },
};

test('reads a worker and passes orders on', async (t) => {
  const address = await startAgent(t, {
    workerState: async () => state,
    order: async (received) => {
      t.deepEqual(received, request);
      return { kind: 'done' };
    },
  });
  const client = createOrderAgentClient();
  t.deepEqual((await client.workerState(address))._unsafeUnwrap(), state);
  t.deepEqual((await client.order(address, request, 1000))._unsafeUnwrap(), { kind: 'done' });
});

// An engine that hangs in a load and an unreachable agent must both be reported as an unknown outcome: the holder must
// not conclude that the order did not run.
test('an order without a response in time is reported as such', async (t) => {
  const address = await startAgent(t, { order: () => new Promise(() => {}) });
  const client = createOrderAgentClient();
  const late = await client.order(address, request, 50);
  t.is(late._unsafeUnwrapErr().kind, 'no-answer');
  const unreachable = await client.workerState('http://127.0.0.1:9');
  t.is(unreachable._unsafeUnwrapErr().kind, 'no-answer');
});
