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
import { plainHeaders, startModelBench, startPlainBench, until } from './helpers/innerBench';
import { reservation } from './helpers/agentBench';

const key = { id: 'k1', secret: 'the-secret-that-the-whole-fleet-knows' };
const strangerKey = { id: 'k1', secret: 'a-secret-that-a-stranger-made-up-here' };
const security = createInnerSecurity({ keys: [key], instanceId: 'agent-1' });
const entry = createInnerSecurity({ keys: [key], instanceId: 'entry-1' });
const stranger = createInnerSecurity({ keys: [strangerKey], instanceId: 'entry-1' });

function clientOf(address: string, sender: InnerSecurity | undefined, audience: InnerAudience) {
  const headers = credentialHeaders(sender, audience);
  return createTRPCClient<AgentRouter>({ links: [httpLink({ url: `${address}/trpc`, headers })] });
}

// A process that lacks the key reaches the agent's port, asks for all of the engine's memory and gives an
// order. Each call must end before the agent looks at it, so that nothing is held and nothing is ordered.
test('a stranger can neither reserve memory nor give orders', async (t) => {
  const { agent, engine, server } = await startModelBench(t, {}, security);
  const order = { kind: 'load-model', model: 'm', version: '1' } as never;
  const senders = [
    clientOf(server.address, undefined, innerAudiences.agent),
    clientOf(server.address, stranger, innerAudiences.agent),
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
  t.is(agent.books.table.leases().length, 0);
  t.is(engine.holdings.size, 0);
  const allowed = clientOf(server.address, entry, innerAudiences.agent);
  t.is((await allowed.reserve.mutate(reservation('a'))).kind, 'granted');
});

// The sender keeps its body back: were any of it read first, the answer would never come.
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
          call.on('response', (answer) => {
            resolve(answer.statusCode);
            call.destroy();
          });
          call.on('error', reject);
          call.flushHeaders();
        }),
    ),
  );
  t.deepEqual(statuses, [401, 401, 401, 401]);
});

// `Authorization` on a plain call is its caller's: the backend server must get it, and must not get the
// credentials of the entry.
test("plain calls carry the entry's credentials beside the caller's own", async (t) => {
  const seen: unknown[] = [];
  const { agent, server } = await startPlainBench(
    t,
    ({ headers }, response) => {
      seen.push(headers.authorization, headers['x-bluebell-authorization']);
      response.end('balance');
    },
    security,
  );
  const own = { ...plainHeaders('a'), authorization: 'Bearer of-the-caller' };
  const refused = await fetch(`${server.address}/plain/balance`, { headers: own });
  t.is(refused.status, 401);
  t.is(refused.headers.get('x-bluebell-not-run'), 'true');
  t.is(refused.headers.get('x-bluebell-refusal'), 'not-ready');
  t.like(await refused.json(), { kind: 'refused', notRun: true });
  t.deepEqual(seen, []);
  const bearer = (await entry.bearer(innerAudiences.agent)) ?? '';
  const answer = await fetch(`${server.address}/plain/balance`, {
    headers: { ...own, 'x-bluebell-authorization': bearer },
  });
  t.is(await answer.text(), 'balance');
  t.deepEqual(seen, ['Bearer of-the-caller', undefined]);
  t.true(await until(() => agent.books.table.leases().length === 0));
});
