import { request } from 'node:http';
import { createTRPCClient, httpLink } from '@trpc/client';
import test from 'ava';
import type { AgentRouter } from '@bluebellhitch/protocol';
import {
  createInnerSecurity,
  credentialHeaders,
  innerAudiences,
  type InnerAudience,
  type InnerSecurity,
} from '@bluebellhitch/security';
import { plainHeaders, startModelBench, startPlainBench, waitUntil } from './helpers/innerBench';
import { reservation } from './helpers/agentBench';

const key = { id: 'k1', secret: 'the-secret-that-the-whole-fleet-knows' };
const foreignKey = { id: 'k1', secret: 'a-secret-that-a-stranger-made-up-here' };
const security = createInnerSecurity({ keys: [key], instanceId: 'agent-1' });
const entry = createInnerSecurity({ keys: [key], instanceId: 'entry-1' });
const foreignSender = createInnerSecurity({ keys: [foreignKey], instanceId: 'entry-1' });

function clientOf(address: string, sender: InnerSecurity | undefined, audience: InnerAudience) {
  const headers = credentialHeaders(sender, audience);
  return createTRPCClient<AgentRouter>({ links: [httpLink({ url: `${address}/trpc`, headers })] });
}

// A process without the key reaches the agent's port, reserves memory and sends an order. Each call must be
// rejected before the agent handles it, so that no memory is held and no order is executed.
test('a sender without valid credentials can neither reserve memory nor send orders', async (t) => {
  const { agent, engine, server } = await startModelBench(t, {}, security);
  const order = { kind: 'load-model', model: 'm', version: '1' } as never;
  const senders = [
    clientOf(server.address, undefined, innerAudiences.agent),
    clientOf(server.address, foreignSender, innerAudiences.agent),
    clientOf(server.address, entry, innerAudiences.feed),
  ];
  const refused = await Promise.all(
    senders.flatMap((client) => [
      t.throwsAsync(client.reserve.mutate(reservation('a'))),
      t.throwsAsync(client.order.mutate({ fencingNumber: 9, order, deadlineInMs: 100 } as never)),
      t.throwsAsync(client.workerState.query()),
    ]),
  );
  t.is(refused.length, 9);
  t.is(agent.leasing.table.leases().length, 0);
  t.is(engine.holdings.size, 0);
  const allowed = clientOf(server.address, entry, innerAudiences.agent);
  t.is((await allowed.reserve.mutate(reservation('a'))).kind, 'granted');
});

// The sender never sends its body: if the agent read it first, the response would never come.
test('refuses with 401 before it reads a body', async (t) => {
  const { server } = await startModelBench(t, {}, security);
  const statuses = await Promise.all(
    ['/streams', '/trpc/reserve', '/plain/balance', '/anything'].map(
      (path) =>
        new Promise((resolve, reject) => {
          const call = request(`${server.address}${path}`, {
            method: 'POST',
            headers: { 'content-length': '1000' },
          });
          call.on('response', (response) => {
            resolve(response.statusCode);
            call.destroy();
          });
          call.on('error', reject);
          call.flushHeaders();
        }),
    ),
  );
  t.deepEqual(statuses, [401, 401, 401, 401]);
});

// `Authorization` on a plain call belongs to the caller and has to reach the backend server, which must not
// get the credentials of the entry.
test("plain calls carry the entry's credentials beside the caller's own", async (t) => {
  const received: unknown[] = [];
  const { agent, server } = await startPlainBench(
    t,
    ({ headers }, outgoing) => {
      received.push(headers.authorization, headers['x-bluebell-authorization']);
      outgoing.end('balance');
    },
    security,
  );
  const own = { ...plainHeaders('a'), authorization: 'Bearer of-the-caller' };
  const refused = await fetch(`${server.address}/plain/balance`, { headers: own });
  t.is(refused.status, 401);
  t.is(refused.headers.get('x-bluebell-not-run'), 'true');
  t.is(refused.headers.get('x-bluebell-refusal'), 'not-ready');
  t.like(await refused.json(), { kind: 'refused', notRun: true });
  t.deepEqual(received, []);
  const bearer = (await entry.bearer(innerAudiences.agent)) ?? '';
  const response = await fetch(`${server.address}/plain/balance`, {
    headers: { ...own, 'x-bluebell-authorization': bearer },
  });
  t.is(await response.text(), 'balance');
  t.deepEqual(received, ['Bearer of-the-caller', undefined]);
  t.true(await waitUntil(() => agent.leasing.table.leases().length === 0));
});
