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
const strangerKey = { id: 'k1', secret: 'a-secret-that-a-stranger-made-up-here' };
const security = createInnerSecurity({ keys: [key], instanceId: 'entry-1' });
const peer = createInnerSecurity({ keys: [key], instanceId: 'entry-2' });
const stranger = createInnerSecurity({ keys: [strangerKey], instanceId: 'entry-2' });

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
  const clientOf = (sender: InnerCredentials | undefined, audience: InnerAudience) => {
    const headers = credentialHeaders(sender, audience);
    const url = `${server.address}/trpc`;
    return createTRPCClient<EntryRouter>({ links: [httpLink({ url, headers })] });
  };
  return { server, clientOf, received, refusedCount: () => refusedCount };
}

const poll = { services: [], waitMs: 0 } as never;

// A stranger who could report strikes would have any request of a customer refused for hours.
test('a stranger can neither report strikes nor follow the feed', async (t) => {
  const { clientOf, received, refusedCount } = await start(t);
  const senders = [undefined, stranger].flatMap((sender) => [
    clientOf(sender, innerAudiences.entry),
    clientOf(sender, innerAudiences.feed),
  ]);
  await Promise.all(
    senders.flatMap((client) => [
      t.throwsAsync(client.strike.mutate([])),
      t.throwsAsync(client.feed.query(poll)),
    ]),
  );
  t.deepEqual(received, []);
  t.is(refusedCount(), 8);
});

// Agents follow the feed and have no business with strikes: their tokens for the one do not open the other,
// nor do calls that name both in one message.
test('a token for the feed does not open strikes', async (t) => {
  const { server, clientOf, received } = await start(t);
  await t.throwsAsync(clientOf(peer, innerAudiences.feed).strike.mutate([]));
  const authorization = (await peer.bearer(innerAudiences.feed)) ?? '';
  const both = await fetch(`${server.address}/trpc/feed,strike?batch=1`, {
    method: 'POST',
    headers: { authorization, 'content-type': 'application/json' },
    body: JSON.stringify({ 0: poll, 1: [] }),
  });
  t.is(both.status, 401);
  t.deepEqual(received, []);
  await clientOf(peer, innerAudiences.entry).strike.mutate([]);
  t.is(received.length, 1);
  t.like(await clientOf(peer, innerAudiences.feed).feed.query(poll), { cursor: '1' });
});

test('answers to polls of the feed carry a seal that followers ask for', async (t) => {
  const { server } = await start(t);
  const callFeed = createFeedClient({ credentials: peer });
  const reply = await callFeed(server.address, poll, AbortSignal.timeout(2_000));
  t.like(reply._unsafeUnwrap(), { cursor: '1' });
  const distrustful = createFeedClient({ credentials: { ...peer, isSealed: stranger.isSealed } });
  t.true((await distrustful(server.address, poll, AbortSignal.timeout(2_000))).isErr());
});

// The keys of an entry and an agent differ for a while, by an operator's mistake. What the agent refused did
// certainly not run, so that the entry may go elsewhere, and a caller never sees the agent's 401.
test('refused credentials count as not run', async (t) => {
  const { server } = await start(t);
  const client = createHttpAgentClient({ credentials: stranger });
  t.teardown(client.close);
  const bid = await client.bid(server.address, {} as never, { timeoutMs: 1_000 });
  t.like(bid._unsafeUnwrapErr(), { kind: 'not-sent' });
  const stream = await client.openStream(server.address, {} as never, { timeoutMs: 1_000 });
  t.like(stream._unsafeUnwrapErr(), { kind: 'refused', notRun: true });
  const plain = await client.plain(server.address, {
    method: 'GET',
    target: '/balance',
    headers: {},
    headTimeoutMs: 1_000,
    signal: new AbortController().signal,
  });
  t.like(plain._unsafeUnwrap(), { status: 401, refusal: { kind: 'refused', notRun: true } });
});
