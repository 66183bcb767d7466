import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { createInnerSecurity, type InnerSecurity } from '@bluebellhitch/security';
import { createFeedClient } from '@bluebellhitch/membership';

const key = { id: 'k1', secret: 'the-secret-that-the-whole-fleet-knows' };
const impostorKey = { id: 'k1', secret: 'a-secret-that-a-stranger-made-up-here' };
const relay = createInnerSecurity({ keys: [key], instanceId: 'entry-1' });
const follower = createInnerSecurity({ keys: [key], instanceId: 'agent-1' });
const impostor = createInnerSecurity({ keys: [impostorKey], instanceId: 'entry-1' });

const genuine = JSON.stringify({ result: { data: { records: [], cursor: '1', snapshot: false } } });
const forged = genuine.replace('"1"', '"2"');

async function pollServer(t: ExecutionContext, text: string, seal: string | undefined) {
  const server = createServer((_incoming, outgoing) => {
    outgoing.writeHead(200, {
      'content-type': 'application/json',
      ...(seal === undefined ? {} : { 'x-bluebell-seal': seal }),
    });
    outgoing.end(text);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const callFeed = createFeedClient({ credentials: follower });
  const request = { services: [], waitMs: 0 } as never;
  const { signal } = new AbortController();
  const reply = await callFeed(`http://127.0.0.1:${port}`, request, signal);
  return reply.isOk();
}

const createSeal = (security: InnerSecurity, text: string) => security.seal(text);

// An entry is replaced and an impostor gets its address. Followers go on polling that address until the list of
// instances has caught up; none of the impostor's responses may put a document into force.
test('an impostor at the address of an entry cannot feed documents', async (t) => {
  t.true(await pollServer(t, genuine, await createSeal(relay, genuine)));
  t.false(await pollServer(t, forged, undefined));
  t.false(await pollServer(t, forged, await createSeal(impostor, forged)));
  t.false(await pollServer(t, forged, await createSeal(relay, genuine)));
  // The impostor has the follower's own token from its poll.
  const bearer = (await follower.bearer('feed')) ?? '';
  t.false(await pollServer(t, forged, bearer.slice('Bearer '.length)));
});
