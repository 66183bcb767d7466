import { createTRPCClient, httpLink } from '@trpc/client';
import test, { type ExecutionContext } from 'ava';
import { createFeedClient } from '@bluebellhitch/membership';
import { type EntryRouter, type Strike } from '@bluebellhitch/protocol';
import {
  createInnerSecurity,
  credentialHeaders,
  innerAudiences,
  type InnerAudience,
  type InnerCredentials,
} from '@bluebellhitch/security';
import { createHttpAgentClient } from '../src/httpAgentClient';
import { startInnerServer } from '../src/innerServer';

const key = { id: 'k1', secret: 'the-secret-that-the-whole-fleet-knows' };
const untrustedKey = { id: 'k1', secret: 'a-secret-that-a-stranger-made-up-here' };
const security = createInnerSecurity({ keys: [key], instanceId: 'entry-1' });
const peer = createInnerSecurity({ keys: [key], instanceId: 'entry-2' });
const untrustedPeer = createInnerSecurity({ keys: [untrustedKey], instanceId: 'entry-2' });

async function start(t: ExecutionContext) {
  const received: Strike[][] = [];
  let refusedCount = 0;
  const server = await startInnerServer({
    host: '127.0.0.1',
    port: 0,
    security,
    onUnauthenticated: () => {
      refusedCount += 1;
    },
    handlers: {
      feed: () => Promise.resolve({ records: [], cursor: '1', snapshot: false }),
      strike: async (strikes) => {
        received.push(strikes);
      },
    },
  });
  t.teardown(server.close);
  const createClient = (sender: InnerCredentials | undefined, audience: InnerAudience) => {
    const headers = credentialHeaders(sender, audience);
    const url = `${server.address}/trpc`;
    return createTRPCClient<EntryRouter>({ links: [httpLink({ url, headers })] });
  };
  return { server, createClient, received, refusedCount: () => refusedCount };
}

const poll = { services: [], waitMs: 0 } as never;

// A process without valid keys that could report strikes could have any customer's request refused for hours.
test('a process without valid keys can neither report strikes nor follow the feed', async (t) => {
  const { createClient, received, refusedCount } = await start(t);
  const clients = [undefined, untrustedPeer].flatMap((sender) => [
    createClient(sender, innerAudiences.entry),
    createClient(sender, innerAudiences.feed),
  ]);
  await Promise.all(
    clients.flatMap((client) => [
      t.throwsAsync(client.strike.mutate([])),
      t.throwsAsync(client.feed.query(poll)),
    ]),
  );
  t.deepEqual(received, []);
  t.is(refusedCount(), 8);
});

// Agents follow the feed but may not report strikes: a token for the feed must not authorise strikes, and neither must
// a batched call that names both procedures.
test('a token for the feed does not authorise strikes', async (t) => {
  const { server, createClient, received } = await start(t);
  await t.throwsAsync(createClient(peer, innerAudiences.feed).strike.mutate([]));
  const authorization = (await peer.bearer(innerAudiences.feed)) ?? '';
  const both = await fetch(`${server.address}/trpc/feed,strike?batch=1`, {
    method: 'POST',
    headers: { authorization, 'content-type': 'application/json' },
    body: JSON.stringify({ 0: poll, 1: [] }),
  });
  t.is(both.status, 401);
  t.deepEqual(received, []);
  await createClient(peer, innerAudiences.entry).strike.mutate([]);
  t.is(received.length, 1);
  t.like(await createClient(peer, innerAudiences.feed).feed.query(poll), { cursor: '1' });
});

test('replies to feed polls carry the seal that followers require', async (t) => {
  const { server } = await start(t);
  const callFeed = createFeedClient({ credentials: peer });
  const reply = await callFeed(server.address, poll, new AbortController().signal);
  t.like(reply._unsafeUnwrap(), { cursor: '1' });
  const rejectingClient = createFeedClient({
    credentials: { ...peer, isSealed: untrustedPeer.isSealed },
  });
  t.true((await rejectingClient(server.address, poll, new AbortController().signal)).isErr());
});

// The keys of an entry and an agent may differ for a while through an operator's mistake. A call that the agent refuses
// cannot have run, so the entry may try another agent, and a caller must never receive the agent's 401.
test('calls with refused credentials count as not run', async (t) => {
  const { server } = await start(t);
  const client = createHttpAgentClient({ credentials: untrustedPeer });
  t.teardown(client.close);
  const bid = await client.bid(server.address, {} as never, { timeoutMs: 60_000 });
  t.like(bid._unsafeUnwrapErr(), { kind: 'not-sent' });
  const stream = await client.openStream(server.address, {} as never, { timeoutMs: 60_000 });
  t.like(stream._unsafeUnwrapErr(), { kind: 'refused', notRun: true });
  const plain = await client.plain(server.address, {
    method: 'GET',
    target: '/balance',
    headers: {},
    headTimeoutMs: 60_000,
    signal: new AbortController().signal,
  });
  t.like(plain._unsafeUnwrap(), { status: 401, refusal: { kind: 'refused', notRun: true } });
});
