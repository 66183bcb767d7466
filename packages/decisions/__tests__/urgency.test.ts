import test from 'ava';
import {
  compareUrgency,
  createOvertaking,
  type Overtaking,
  type WaitingUrgency,
} from '@bluebellhitch/decisions';
import { createSeededRandom } from '@bluebellhitch/shared';

const request = (overrides: Partial<WaitingUrgency> = {}): WaitingUrgency => ({
  priority: 1,
  isResumed: false,
  arrivedAtMs: 0,
  latestStartAtMs: 800,
  ...overrides,
});

const never: Overtaking<WaitingUrgency> = {
  choose: () => undefined,
  notePlaced: () => false,
};

interface QueueLoad {
  urgentPerSecond: number;
  otherPerSecond: number;
  /** Requests that find room; they find it at even intervals. */
  placedPerSecond: number;
}

const slackMs = 800;
const loadSeconds = 60;

/** Replays one queue in steps of 10 ms, without late requests, and counts the placements by priority. */
function replayQueue(load: QueueLoad, overtaking: Overtaking<WaitingUrgency>) {
  const random = createSeededRandom(7);
  const counts = { urgent: 0, urgentPlaced: 0, other: 0, otherPlaced: 0 };
  let waiting: WaitingUrgency[] = [];
  let placeable = 0;
  const arrive = (priority: number, nowMs: number) => {
    waiting.push(request({ priority, arrivedAtMs: nowMs, latestStartAtMs: nowMs + slackMs }));
    counts[priority === 0 ? 'urgent' : 'other'] += 1;
  };
  for (let nowMs = 0; nowMs < loadSeconds * 1_000; nowMs += 10) {
    if (random() < load.urgentPerSecond / 100) {
      arrive(0, nowMs);
    }
    if (random() < load.otherPerSecond / 100) {
      arrive(1, nowMs);
    }
    waiting = waiting.filter(({ latestStartAtMs }) => latestStartAtMs >= nowMs);
    placeable = Math.min(1, placeable + load.placedPerSecond / 100);
    const chosen = overtaking.choose(waiting, nowMs);
    const isOvertaking = (candidate: WaitingUrgency) => candidate === chosen;
    waiting.sort((left, right) => compareUrgency(left, right, { nowMs, isOvertaking }));
    const [first] = waiting;
    if (placeable >= 1 && first !== undefined) {
      placeable -= 1;
      waiting = waiting.slice(1);
      overtaking.notePlaced(first);
      counts[first.priority === 0 ? 'urgentPlaced' : 'otherPlaced'] += 1;
    }
  }
  return counts;
}

const standingOverload = { urgentPerSecond: 15, otherPerSecond: 5, placedPerSecond: 10 };

test('under a standing overload of urgent requests the others still get a share', (t) => {
  // Guards against starvation: with the order by priority alone, the others wait until they are late.
  const strict = replayQueue(standingOverload, never);
  const bounded = replayQueue(standingOverload, createOvertaking());
  t.log({ strict, bounded });
  t.true(strict.otherPlaced < 0.02 * strict.other);
  t.true(bounded.otherPlaced > 0.3 * bounded.other);
  const placed = bounded.otherPlaced + bounded.urgentPlaced;
  t.true(bounded.otherPlaced <= 0.21 * placed);
});

test('urgent requests are served first when the queue is only crowded by others', (t) => {
  // Guards against ageing that inverts the order: an overload of less urgent requests all age.
  const load = { urgentPerSecond: 6, otherPerSecond: 14, placedPerSecond: 10 };
  const { urgent, urgentPlaced } = replayQueue(load, createOvertaking());
  t.true(urgentPlaced >= 0.97 * urgent);
});

test('a request overtakes only after half of its time, and one at a time', (t) => {
  const overtaking = createOvertaking<WaitingUrgency>();
  const urgent = request({ priority: 0, arrivedAtMs: 390, latestStartAtMs: 1_190 });
  const soon = request({ latestStartAtMs: 700 });
  const later = request();
  t.is(overtaking.choose([urgent, soon, later], 340), undefined);
  t.is(overtaking.choose([urgent, later, soon], 360), soon);
  t.is(overtaking.choose([urgent, later, soon], 500), soon);
  overtaking.notePlaced(soon);
  t.is(overtaking.choose([urgent, later], 500), undefined);
  [1, 2, 3, 4].forEach(() => overtaking.notePlaced(urgent));
  t.is(overtaking.choose([urgent, later], 500), later);
});

test('a request that is late or does not wait any more frees the turn', (t) => {
  // Otherwise a request that found no room would keep all others of its service from overtaking.
  const overtaking = createOvertaking<WaitingUrgency>();
  const urgent = request({ priority: 0, latestStartAtMs: 1_600 });
  const first = request({ latestStartAtMs: 700 });
  const second = request({ latestStartAtMs: 1_000 });
  t.is(overtaking.choose([urgent, first, second], 600), first);
  t.is(overtaking.choose([urgent, first, second], 701), second);
});

test('with one priority no request overtakes and the order is that of arrival', (t) => {
  const overtaking = createOvertaking<WaitingUrgency>();
  const waiting = [300, 100, 200].map((arrivedAtMs) => request({ arrivedAtMs }));
  t.is(overtaking.choose(waiting, 700), undefined);
  const sorted = [...waiting].sort((left, right) => compareUrgency(left, right, { nowMs: 700 }));
  t.deepEqual(
    sorted.map(({ arrivedAtMs }) => arrivedAtMs),
    [100, 200, 300],
  );
});

test('resumed streams come first, late requests last', (t) => {
  const resumed = request({ priority: 2, isResumed: true, latestStartAtMs: 100 });
  const urgent = request({ priority: 0 });
  const late = request({ priority: 0, latestStartAtMs: 100 });
  const sorted = [late, urgent, resumed].sort((left, right) =>
    compareUrgency(left, right, { nowMs: 200 }),
  );
  t.deepEqual(sorted, [resumed, urgent, late]);
});

test('a request overtakes nobody once no more urgent one waits', (t) => {
  const overtaking = createOvertaking();
  const aged = request({ priority: 1, arrivedAtMs: 0, latestStartAtMs: 800 });
  const urgent = request({ priority: 0, arrivedAtMs: 0, latestStartAtMs: 800 });
  t.is(overtaking.choose([urgent, aged], 500), aged);
  t.is(overtaking.choose([aged], 510), undefined);
  t.false(overtaking.notePlaced(aged));
});
