import fc from 'fast-check';
import test from 'ava';
import {
  createFleetPart,
  createServerDirectory,
  type BackendServer,
  type FleetPart,
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
  stage: 'decode',
});

const addressesOf = (count: number) =>
  Array.from({ length: count }, (_none, index) => `10.0.${index}.1:7000`);

function createDirectory(serverCount: number): ServerDirectory {
  const directory = createServerDirectory();
  directory.replaceAll(Array.from({ length: serverCount }, (_none, index) => server(index)));
  return directory;
}

function createFleet(addresses: readonly string[], directory: ServerDirectory): FleetPart[] {
  return addresses.map((address) => {
    const part = createFleetPart({ directory });
    part.setRouters(address, addresses);
    return part;
  });
}

const idsOf = (servers: readonly BackendServer[]) => servers.map(({ id }) => id);

test('in a small fleet every router uses every server and hears every other', (t) => {
  const addresses = addressesOf(21);
  createFleet(addresses, createDirectory(27)).forEach((part, index) => {
    t.is(part.usable('s', 'decode').length, 27);
    t.deepEqual(part.spare('s', 'decode'), []);
    t.deepEqual([...part.companions(), addresses[index]].sort(), [...addresses].sort());
  });
});

test('a large fleet is divided evenly: every server has a part, and all its routers hear each other', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 41, max: 400 }),
      fc.integer({ min: 1, max: 500 }),
      (routerCount, serverCount) => {
        const addresses = addressesOf(routerCount);
        const fleet = createFleet(addresses, createDirectory(serverCount));
        t.true(fleet.every((part) => part.companions().length < 40));
        const used = new Set(fleet.flatMap((part) => idsOf(part.usable('s', 'decode'))));
        t.is(used.size, serverCount);
        const sizes = fleet.map((part) => part.usable('s', 'decode').length);
        t.true(Math.max(...sizes) - Math.min(...sizes) <= 1);
        fleet.forEach((part, index) =>
          part.companions().forEach((companion) => {
            const other = fleet[addresses.indexOf(companion)];
            t.true(other?.companions().includes(addresses[index] ?? ''));
            t.deepEqual(other?.usable('s', 'decode'), part.usable('s', 'decode'));
          }),
        );
      },
    ),
    { seed: 5, numRuns: 20 },
  );
});

test('spare servers are those of another part', (t) => {
  createFleet(addressesOf(100), createDirectory(200)).forEach((part) => {
    const own = new Set(idsOf(part.usable('s', 'decode')));
    const spare = idsOf(part.spare('s', 'decode'));
    t.true(spare.length > 0);
    t.false(spare.some((id) => own.has(id)));
  });
});

test('a server that comes or goes moves few others between parts', (t) => {
  const directory = createDirectory(200);
  const fleet = createFleet(addressesOf(100), directory);
  const before = fleet.map((part) => idsOf(part.usable('s', 'decode')));
  directory.remove('w17');
  fleet.forEach((part, index) => {
    const after = new Set(idsOf(part.usable('s', 'decode')));
    const lost = (before[index] ?? []).filter((id) => !after.has(id));
    t.true(lost.length <= 2, `lost ${lost.length}`);
  });
});

test('a server that drains is used by no part at once', (t) => {
  const directory = createDirectory(200);
  const fleet = createFleet(addressesOf(100), directory);
  directory.put({ ...server(17), isDraining: true });
  t.false(fleet.some((part) => idsOf(part.usable('s', 'decode')).includes('w17')));
});

test('a fleet that shrinks and grows by a few keeps its parts', (t) => {
  const directory = createDirectory(60);
  const part = createFleetPart({ directory });
  const counts = [40, 41, 38, 41, 25, 23].map((routerCount) => {
    part.setRouters('10.0.0.1:7000', addressesOf(routerCount));
    return part.partCount();
  });
  t.deepEqual(counts, [1, 2, 2, 2, 2, 1]);
});
