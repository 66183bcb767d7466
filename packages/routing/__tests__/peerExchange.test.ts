import test, { type ExecutionContext } from 'ava';
import type { RelayedChanges } from '@bluebellhitch/protocol';
import { createEngineLoads, startPeerExchange } from '@bluebellhitch/routing';
import { createLogger } from '@bluebellhitch/telemetry';

const idleStream = { promptTokens: 3_000, emittedTokens: 0, medianOutputTokens: 0 };
const logger = createLogger({ binary: 'test', instanceId: 't', write: () => undefined });

async function startRouter(t: ExecutionContext, seedAddresses: string[] = []) {
  const received: RelayedChanges[] = [];
  let noteUseChanged: (serverId: string) => void = () => undefined;
  const loads = createEngineLoads({ onOwnUseChange: (serverId) => noteUseChanged(serverId) });
  const exchange = await startPeerExchange({
    host: '127.0.0.1',
    port: 0,
    seedAddresses,
    ownUse: loads.ownUse,
    onPeerUse: loads.setPeerUse,
    onPeerTimeout: loads.dropPeer,
    seenRevisions: () => [],
    onPeerRevisions: () => undefined,
    onRelayedChanges: (changes) => received.push(changes),
    logger,
  });
  noteUseChanged = exchange.noteUseChanged;
  t.teardown(exchange.close);
  return { loads, exchange, received };
}

async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 1_000 && !condition(); tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  if (!condition()) {
    throw new Error('the condition was not met within 1000 checks');
  }
}

test('work in progress at one router counts at the others until it ends or the router stops', async (t) => {
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  await until(() => second.exchange.livePeers().length === 1);
  const { release } = first.loads.place('e', idleStream);
  first.loads.beginPrefill('p', 500);
  await until(() => second.loads.forecast('e', 10_000).freeTokens() === 7_000);
  await until(() => second.loads.prefillBacklogTokens('p') === 500);
  release();
  await until(() => second.loads.forecast('e', 10_000).freeTokens() === 10_000);
  first.exchange.close();
  await until(() => second.loads.prefillBacklogTokens('p') === 0);
  t.pass();
});

test('routers that share one seed discover each other', async (t) => {
  const seed = await startRouter(t);
  const others = [
    await startRouter(t, [seed.exchange.address]),
    await startRouter(t, [seed.exchange.address]),
  ];
  await until(() => others.every(({ exchange }) => exchange.livePeers().length === 2));
  t.pass();
});

test('an unreachable seed and malformed datagrams do no harm', async (t) => {
  const router = await startRouter(t, ['127.0.0.1:9']);
  const { createSocket } = await import('node:dgram');
  const socket = createSocket('udp4');
  const [host, port] = router.exchange.address.split(':');
  ['', '[]', '{"a":1}', '[1,"1.2.3.4:5","x",1,1,[["e",-1,0,0,0]],[],[]]'].forEach((text) =>
    socket.send(Buffer.from(text), Number(port), host),
  );
  await new Promise((resolve) => {
    setTimeout(resolve, 60);
  });
  socket.close();
  t.deepEqual(router.exchange.livePeers(), []);
});

test('a router that starts later learns what others already have in progress', async (t) => {
  const first = await startRouter(t);
  first.loads.place('e', idleStream);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => second.loads.forecast('e', 10_000).freeTokens() === 7_000);
  t.pass();
});

const changesOf = (valueLength: number): RelayedChanges => ({
  kindIndex: 1,
  fromRevision: 5,
  toRevision: 9,
  ageMs: 0,
  backAgeMs: undefined,
  changes: [{ kind: 'put', key: 'w1', revision: 8, value: 'x'.repeat(valueLength) }],
});

test('changes in the store are relayed to the other routers', async (t) => {
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  first.exchange.relayChanges(changesOf(10));
  await until(() => second.received.length === 1);
  t.deepEqual(second.received, [changesOf(10)]);
});

test('changes too large for a datagram are relayed without their objects', async (t) => {
  // Otherwise callers of new routes get 404 for a minute: a configuration of hundreds of routes does not fit into a
  // datagram, and routers that leave the watching to relays would not learn of it.
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  first.exchange.relayChanges(changesOf(200_000));
  await until(() => second.received.length === 1);
  t.like(second.received[0], { fromRevision: 9, toRevision: 9, changes: [] });
});

test('changes of deeply nested objects are relayed without their objects', async (t) => {
  // Encoding them is recursive: an entry that nests lists thousands of levels deep ended the routers that relay changes.
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  const value: unknown = JSON.parse('['.repeat(6_000) + ']'.repeat(6_000));
  first.exchange.relayChanges({
    ...changesOf(10),
    changes: [{ kind: 'put', key: 'w1', revision: 8, value }],
  });
  await until(() => second.received.length === 1);
  t.like(second.received[0], { fromRevision: 9, toRevision: 9, changes: [] });
});
