import test from 'ava';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createConnectionShedding } from '../src/connectionShedding';

interface Load {
  /** New connections per second, each with one request, before and during the surge. */
  usualPerSecond: number;
  surgePerSecond: number;
  /** Processor time of a request. */
  costMs: number;
  seed?: number;
}

const surgeAtMs = 30_000;
const endAtMs = 45_000;
/** Processor time of a connection that is closed unread. */
const closeCostMs = 0.2;

interface Served {
  sentAtMs: number;
  delayMs: number;
}

/** A process that handles one event after the other, with or without closing connections. */
function play(load: Load, isShedding: boolean): { served: Served[]; closed: number[] } {
  const random = createSeededRandom(load.seed ?? 1);
  let busyMs = 0;
  let takenAtMs = 0;
  let freeAtMs = 0;
  let atMs = 0;
  const shedding = createConnectionShedding({
    takeBusyShare() {
      const nowMs = Math.max(atMs, freeAtMs);
      const share = Math.min(1, busyMs / Math.max(1, nowMs - takenAtMs));
      busyMs = 0;
      takenAtMs = nowMs;
      return share;
    },
  });
  const served: Served[] = [];
  const closed: number[] = [];
  while (atMs < endAtMs) {
    const perSecond = atMs < surgeAtMs ? load.usualPerSecond : load.surgePerSecond;
    atMs += (-Math.log(1 - random()) * 1_000) / perSecond;
    const startMs = Math.max(atMs, freeAtMs);
    const isAccepted = !isShedding || shedding.accept(startMs);
    const costMs = isAccepted ? load.costMs : closeCostMs;
    freeAtMs = startMs + costMs;
    busyMs += costMs;
    if (isAccepted) {
      served.push({ sentAtMs: atMs, delayMs: freeAtMs - atMs });
    } else {
      closed.push(atMs);
    }
  }
  return { served, closed };
}

/** Share of the requests read from some time after the start of the surge that are served within a second. */
function servedInTime({ served }: { served: Served[] }): number {
  const late = served.filter(({ sentAtMs }) => sentAtMs > surgeAtMs + 4_000);
  return late.filter(({ delayMs }) => delayMs < 1_000).length / late.length;
}

const overload: Load = { usualPerSecond: 4, surgePerSecond: 90, costMs: 25 };

test('a router that gets the new connections of a region serves what it reads in time', (t) => {
  // Without it the requests wait longer and longer in a router whose processor is a small share of the fleet's.
  for (let seed = 1; seed <= 20; seed += 1) {
    const played = play({ ...overload, seed }, true);
    t.true(servedInTime(played) >= 0.9, `seed ${seed}: ${servedInTime(played)}`);
    t.true(played.served.length > 300);
  }
  t.true(servedInTime(play(overload, false)) < 0.1);
});

test('a surge that the processor can serve is served whole', (t) => {
  t.deepEqual(play({ ...overload, costMs: 5 }, true).closed, []);
});

test('a high load that is usual closes no connections', (t) => {
  // Closing them would only send callers from one busy router to the next.
  t.deepEqual(play({ usualPerSecond: 60, surgePerSecond: 100, costMs: 12 }, true).closed, []);
});

test('a router closes no connections before it knows what is usual', (t) => {
  const shedding = createConnectionShedding({ takeBusyShare: () => 1 });
  const accepted = Array.from({ length: 700 }, (_none, index) => shedding.accept(index * 10));
  t.false(accepted.includes(false));
});
