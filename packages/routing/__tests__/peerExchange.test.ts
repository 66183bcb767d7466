import test, { type ExecutionContext } from 'ava';
import type { ToldChanges } from '@bluebellhitch/protocol';
import { createEngineLoads, startPeerExchange } from '@bluebellhitch/routing';
import { createLogger } from '@bluebellhitch/telemetry';

const still = { promptTokens: 3_000, emittedTokens: 0, medianOutputTokens: 0 };
const logger = createLogger({ binary: 'test', instanceId: 't', write: () => undefined });

async function startRouter(t: ExecutionContext, seedAddresses: string[] = []) {
  const told: ToldChanges[] = [];
  let noteChange: (serverId: string) => void = () => undefined;
  const loads = createEngineLoads({ onOwnChange: (serverId) => noteChange(serverId) });
  const exchange = await startPeerExchange({
    host: '127.0.0.1',
    port: 0,
    seedAddresses,
    ownUse: loads.ownUse,
    onPeerUse: loads.setPeerUse,
    onPeerGone: loads.dropPeer,
    seenRevisions: () => [],
    onPeerRevisions: () => undefined,
    onToldChanges: (changes) => told.push(changes),
    logger,
  });
  noteChange = exchange.noteChange;
  t.teardown(exchange.close);
  return { loads, exchange, told };
}

async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 1_000 && !condition(); tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  if (!condition()) {
    throw new Error('the condition did not come about');
  }
}

test('what one router has in progress counts at the others, until it ends or the router stops', async (t) => {
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  await until(() => second.exchange.livePeers().length === 1);
  const { release } = first.loads.place('e', still);
  first.loads.beginPrefill('p', 500);
  await until(() => second.loads.forecast('e', 10_000).freeTokens() === 7_000);
  await until(() => second.loads.prefillBacklogTokens('p') === 500);
  release();
  await until(() => second.loads.forecast('e', 10_000).freeTokens() === 10_000);
  first.exchange.close();
  await until(() => second.loads.prefillBacklogTokens('p') === 0);
  t.pass();
});

test('routers that know one router get to know each other', async (t) => {
  const seed = await startRouter(t);
  const others = [
    await startRouter(t, [seed.exchange.address]),
    await startRouter(t, [seed.exchange.address]),
  ];
  await until(() => others.every(({ exchange }) => exchange.livePeers().length === 2));
  t.pass();
});

test('a seed that is gone and bytes that are no message do no harm', async (t) => {
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

test('a router that starts later learns what others had in progress before', async (t) => {
  const first = await startRouter(t);
  first.loads.place('e', still);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => second.loads.forecast('e', 10_000).freeTokens() === 7_000);
  t.pass();
});

const changesOf = (valueLength: number): ToldChanges => ({
  kindIndex: 1,
  fromRevision: 5,
  toRevision: 9,
  ageMs: 0,
  backAgeMs: undefined,
  changes: [{ kind: 'put', key: 'w1', revision: 8, value: 'x'.repeat(valueLength) }],
});

test('what the store has shown one router reaches the others', async (t) => {
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  first.exchange.tellChanges(changesOf(10));
  await until(() => second.told.length === 1);
  t.deepEqual(second.told, [changesOf(10)]);
});

test('changes too large for a datagram are announced only', async (t) => {
  // Callers of new routes would get 404 for a minute: a configuration of hundreds of routes does not fit a datagram, and
  // routers that leave the watching to others would not hear that there is one.
  const first = await startRouter(t);
  const second = await startRouter(t, [first.exchange.address]);
  await until(() => first.exchange.livePeers().length === 1);
  first.exchange.tellChanges(changesOf(200_000));
  await until(() => second.told.length === 1);
  t.like(second.told[0], { fromRevision: 9, toRevision: 9, changes: [] });
});
