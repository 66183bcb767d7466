import fc from 'fast-check';
import test from 'ava';
import {
  createFleetShard,
  createServerDirectory,
  type BackendServer,
  type FleetShard,
  type ServerDirectory,
} from '@bluebellhitch/routing';

const server = (index: number): BackendServer => ({
  id: `w${index}`,
  name: `w${index}`,
  serviceName: 's',
  address: `10.9.${index}:80`,
  dataCentre: 'north',
  slots: 8,
  isDraining: false,
  softwareVersion: 'v1',
  stage: 'decode',
});

const addressesOf = (count: number) =>
  Array.from({ length: count }, (_none, index) => `10.0.${index}.1:7000`);

function createDirectory(serverCount: number): ServerDirectory {
  const directory = createServerDirectory();
  directory.replaceAll(Array.from({ length: serverCount }, (_none, index) => server(index)));
  return directory;
}

function createFleet(addresses: readonly string[], directory: ServerDirectory): FleetShard[] {
  return addresses.map((address) => {
    const shard = createFleetShard({ directory });
    shard.setRouters(address, addresses);
    return shard;
  });
}

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

test('in a small fleet every router uses every server and exchanges state with every other', (t) => {
  const addresses = addressesOf(21);
  createFleet(addresses, createDirectory(27)).forEach((shard, index) => {
    t.is(shard.usable('s', 'decode').length, 27);
    t.deepEqual(shard.spare('s', 'decode'), []);
    t.deepEqual([...shard.shardPeers(), addresses[index]].sort(), [...addresses].sort());
  });
});

test('a large fleet is divided evenly: every server has a shard whose routers all exchange state', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 41, max: 400 }),
      fc.integer({ min: 1, max: 500 }),
      (routerCount, serverCount) => {
        const addresses = addressesOf(routerCount);
        const fleet = createFleet(addresses, createDirectory(serverCount));
        t.true(fleet.every((shard) => shard.shardPeers().length < 40));
        const used = new Set(fleet.flatMap((shard) => idsOf(shard.usable('s', 'decode'))));
        t.is(used.size, serverCount);
        const sizes = fleet.map((shard) => shard.usable('s', 'decode').length);
        t.true(Math.max(...sizes) - Math.min(...sizes) <= 1);
        fleet.forEach((shard, index) =>
          shard.shardPeers().forEach((peerAddress) => {
            const other = fleet[addresses.indexOf(peerAddress)];
            t.true(other?.shardPeers().includes(addresses[index] ?? ''));
            t.deepEqual(other?.usable('s', 'decode'), shard.usable('s', 'decode'));
          }),
        );
      },
    ),
    { seed: 5, numRuns: 20 },
  );
});

test('spare servers belong to another shard', (t) => {
  createFleet(addressesOf(100), createDirectory(200)).forEach((shard) => {
    const own = new Set(idsOf(shard.usable('s', 'decode')));
    const spare = idsOf(shard.spare('s', 'decode'));
    t.true(spare.length > 0);
    t.false(spare.some((id) => own.has(id)));
  });
});

test('adding or removing a server moves few others between shards', (t) => {
  const directory = createDirectory(200);
  const fleet = createFleet(addressesOf(100), directory);
  const before = fleet.map((shard) => idsOf(shard.usable('s', 'decode')));
  directory.remove('w17');
  fleet.forEach((shard, index) => {
    const after = new Set(idsOf(shard.usable('s', 'decode')));
    const lost = (before[index] ?? []).filter((id) => !after.has(id));
    t.true(lost.length <= 2, `lost ${lost.length}`);
  });
});

test('a draining server is immediately unused in all shards', (t) => {
  const directory = createDirectory(200);
  const fleet = createFleet(addressesOf(100), directory);
  directory.put({ ...server(17), isDraining: true });
  t.false(fleet.some((shard) => idsOf(shard.usable('s', 'decode')).includes('w17')));
});

test('a fleet that shrinks and grows by a few routers keeps its shards', (t) => {
  const directory = createDirectory(60);
  const shard = createFleetShard({ directory });
  const counts = [40, 41, 38, 41, 25, 23].map((routerCount) => {
    shard.setRouters('10.0.0.1:7000', addressesOf(routerCount));
    return shard.shardCount();
  });
  t.deepEqual(counts, [1, 2, 2, 2, 2, 1]);
});
