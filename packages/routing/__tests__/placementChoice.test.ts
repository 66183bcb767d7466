import test from 'ava';
import { createMemoryForecast, withinPace } from '@bluebellhitch/decisions';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import type { DecodePaces } from '../src/servers/decodePaces';
import { chooseBestFit, type PlacementCandidate } from '../src/servers/placementChoice';
import { decodeServer } from './support/decodeServer';

const capacityTokens = 40_000;
const stream = { promptTokens: 5_000, emittedTokens: 0, medianOutputTokens: 400 };

function candidate(id: string, streamCount: number): PlacementCandidate {
  const streams = Array.from({ length: streamCount }, () => stream);
  const memory = createMemoryForecast({
    ...{ streams, capacityTokens },
    ...{ lengthShape: 3.6, marginDeviations: 2.5 },
  });
  return { server: decodeServer(id), memory };
}

const pacesOf = (
  paceMs: (id: string) => number | undefined,
  pauseFactor = 5,
): Pick<DecodePaces, 'fastEnough'> => ({
  fastEnough: (items, serverIdOf, { targetGapMs }) =>
    withinPace(items, (item) => paceMs(serverIdOf(item)), { pauseFactor, targetGapMs }),
});

test('where paces are even, the same engines are chosen as without paces', (t) => {
  const random = createSeededRandom(11);
  Array.from({ length: 300 }, (_, round) => {
    const candidates = Array.from({ length: 1 + Math.floor(20 * random()) }, (_none, index) =>
      candidate(`e${index}`, Math.floor(8 * random())),
    );
    const paceOfFleet = 20 + 400 * random();
    const known = new Map(
      candidates.map(({ server: { id } }) => [
        id,
        random() < 0.1 ? undefined : paceOfFleet * (0.85 + 0.3 * random()),
      ]),
    );
    const choose = (paces?: ReturnType<typeof pacesOf>) =>
      chooseBestFit(candidates, {
        ...{ stream, targetGapMs: 300, paces },
        random: createSeededRandom(round),
      })?.server.id;
    t.is(choose(pacesOf((id) => known.get(id))), choose());
  });
});

test('a slow engine gets a stream only if no other has the memory', (t) => {
  const paces = pacesOf((id) => (id === 'slow' ? 90 : 40));
  const choose = (candidates: PlacementCandidate[]) =>
    chooseBestFit(candidates, {
      ...{ stream, targetGapMs: 300, paces },
      random: createSeededRandom(1),
    })?.server.id;
  t.is(choose([candidate('slow', 3), candidate('a', 0), candidate('b', 0)]) === 'slow', false);
  t.is(choose([candidate('slow', 3), candidate('a', 9), candidate('b', 9)]), 'slow');
});

test('a prompt that an engine still has in its cache goes there whatever its pace', (t) => {
  const chosen = chooseBestFit([candidate('slow', 3), candidate('a', 0)], {
    ...{ stream, targetGapMs: 300, preferredId: 'slow' },
    paces: pacesOf((id) => (id === 'slow' ? 90 : 40)),
    random: createSeededRandom(1),
  });
  t.is(chosen?.server.id, 'slow');
});

const engineCount = 27;
const paceMsByEngine = Array.from({ length: engineCount }, (_, index) => [34, 57, 91][index % 3]);

/**
 * Routers that place streams at the same rate, each knowing the others' placements only after a delay; none ends.
 * Returns the most streams that an engine gets while others of its speed have fewer.
 */
function largestExcess(routerCount: number, delayTicks: number, random: Random): number {
  const placedAt: { engine: number; tick: number; router: number }[] = [];
  const paces = pacesOf((id) => paceMsByEngine[Number(id)]);
  const countOf = (engine: number) => placedAt.filter((one) => one.engine === engine).length;
  const totalStreams = 3 * engineCount;
  for (let tick = 0; placedAt.length < totalStreams; tick += 1) {
    const known = placedAt.filter((one) => one.tick <= tick - delayTicks);
    const chosen = Array.from({ length: routerCount }, (_, router) => {
      const seen = [
        ...known,
        ...placedAt.filter((one) => one.router === router && one.tick > tick - delayTicks),
      ];
      const candidates = paceMsByEngine.map((_pace, engine) =>
        candidate(`${engine}`, seen.filter((one) => one.engine === engine).length),
      );
      const choice = chooseBestFit(candidates, { stream, targetGapMs: 300, paces, random });
      return { engine: Number(choice?.server.id ?? 0), tick, router };
    });
    placedAt.push(...chosen);
  }
  return Math.max(...paceMsByEngine.map((_pace, engine) => countOf(engine)));
}

[4, 22, 68].forEach((routerCount) => {
  test(`${routerCount} routers with delayed news of each other do not all choose the same engine`, (t) => {
    // Guards against a herd: always choosing the fastest engine sends a whole round of routers to one. Without paces
    // it is up to 10 streams.
    const most = [1, 2, 3].map((seed) => largestExcess(routerCount, 2, createSeededRandom(seed)));
    t.true(Math.max(...most) <= 13, `${most.join()} streams at one engine`);
  });
});
