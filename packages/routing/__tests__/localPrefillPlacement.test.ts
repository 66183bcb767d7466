import test from 'ava';
import { createDecodePaces } from '@bluebellhitch/routing';
import type { Placement, PlacementOutcome } from '../src/servers/decodePlacement';
import { placeForLocalPrefill, type LocalPrefill } from '../src/request/localPrefillPlacement';
import { decodeServer } from './support/decodeServer';

interface FixtureOptions {
  busyIds?: readonly string[];
  /** Time of the prefill on a typical engine. */
  localMs?: number;
}

const typicalMs = 45;

function createFixture(paceMs: Record<string, number>, options: FixtureOptions = {}) {
  const { busyIds = [], localMs = 250 } = options;
  const calls: string[] = [];
  const trail: { atMs: number; detail: string }[] = [];
  const placementAt = (id: string): Placement => ({
    reservation: { id: `h-${id}`, server: decodeServer(id), tokens: 1 },
    stream: { noteEmitted: () => undefined, release: () => calls.push(`release ${id}`) },
  });
  const prefill = {
    localMs,
    state: {
      service: { name: 's' },
      route: { targetGapMs: 300 },
      request: { arrivedAtMs: 0 },
      failedServerIds: new Set(['failed']),
      trail,
    },
    deps: {
      pools: { usable: () => Object.keys(paceMs).map((id) => decodeServer(id)) },
      engineLoads: { localPrefillCount: (id: string) => Number(busyIds.includes(id)) },
      metrics: { countSlowLocalPrefill: (_service: string, kind: string) => calls.push(kind) },
      backend: { releaseReservation: ({ id }: { id: string }) => calls.push(`drop ${id}`) },
      decodePaces: createDecodePaces({
        observe: () => undefined,
        estimate: (id) => paceMs[id],
        typical: () => typicalMs,
      }),
    },
  } as unknown as LocalPrefill;
  const run = async (from: string, to: string | undefined) => {
    const excluded: string[][] = [];
    const placement = await placeForLocalPrefill(prefill, placementAt(from), (excludedIds) => {
      excluded.push([...excludedIds].sort());
      const outcome: PlacementOutcome =
        to === undefined
          ? { kind: 'no-capacity', retryAfterMs: 0 }
          : { kind: 'placed', placement: placementAt(to) };
      return Promise.resolve(outcome);
    });
    return { id: placement.reservation.server.id, excluded, calls };
  };
  return { run };
}

const uneven = { fast: 30, fast2: 34, usual: 57, slow: 91 };

test('a prompt leaves a slow decode engine for one of the fastest that prefills no other', async (t) => {
  // Guards against streams that pause beyond their target while a slow engine prefills a prompt beside them.
  const { run } = createFixture(uneven, { busyIds: ['fast'] });
  t.deepEqual(await run('slow', 'fast2'), {
    id: 'fast2',
    excluded: [['failed', 'fast', 'slow', 'usual']],
    calls: ['moved', 'drop h-slow', 'release slow'],
  });
});

test('a prompt stays, with its memory, where no faster engine has room', async (t) => {
  const kept = await createFixture(uneven).run('slow', undefined);
  t.deepEqual([kept.id, kept.calls], ['slow', ['kept']]);
  const busy = await createFixture(uneven, { busyIds: ['fast', 'fast2'] }).run('usual', 'fast');
  t.deepEqual([busy.id, busy.excluded, busy.calls], ['usual', [], ['kept']]);
});

test('a prompt stays on a slow engine if its streams keep their target even there', async (t) => {
  // Guards against moves that cost a reservation and memory on fast engines without a gain for any caller.
  const kept = await createFixture(uneven, { localMs: 100 }).run('slow', 'fast');
  t.deepEqual([kept.id, kept.excluded, kept.calls], ['slow', [], []]);
});

test('a prompt stays where it is on a fast engine, and where engines are even', async (t) => {
  const fast = await createFixture(uneven).run('fast2', 'fast');
  t.deepEqual([fast.id, fast.excluded, fast.calls], ['fast2', [], []]);
  const even = await createFixture({ a: 200, b: 230, c: 180 }).run('b', 'c');
  t.deepEqual([even.id, even.excluded, even.calls], ['b', [], []]);
  const unknown = await createFixture({ b: 30 }).run('a', 'b');
  t.deepEqual([unknown.id, unknown.calls], ['a', []]);
});
