import test from 'ava';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createPaceMeter, createPauseFactor, paceToEndInTime, withinPace } from '../src/decodePace';
import { createLearnedEstimates } from '../src/learnedEstimates';

const target = { pauseFactor: 5, targetGapMs: 300 };

interface Engine {
  id: string;
  paceMs?: number;
}

const within = (engines: readonly Engine[], over: Partial<typeof target> = {}) =>
  withinPace(engines, ({ paceMs }) => paceMs, { ...target, ...over }).map(({ id }) => id);

test('engines whose streams would pause beyond the target are left out while others remain', (t) => {
  const engines: Engine[] = [
    { id: 'fast', paceMs: 34 },
    { id: 'usual', paceMs: 57 },
    { id: 'slow', paceMs: 91 },
  ];
  t.deepEqual(within(engines), ['fast', 'usual']);
  t.deepEqual(within(engines.slice(2)), ['slow']);
});

test('slow engines that keep the target, and routes without one, leave the choice as it is', (t) => {
  const engines: Engine[] = [
    { id: 'fast', paceMs: 10 },
    { id: 'slow', paceMs: 50 },
  ];
  t.deepEqual(within(engines), ['fast', 'slow']);
  t.deepEqual(within(engines, { targetGapMs: 100 }), ['fast']);
  t.deepEqual(within(engines, { targetGapMs: 0 }), ['fast', 'slow']);
});

test('a long stream is kept from an engine on which it would reach its deadline', (t) => {
  // Guards against streams that are cut at their deadline because a slow engine took them.
  const engines: Engine[] = [
    { id: 'fast', paceMs: 34 },
    { id: 'usual', paceMs: 57 },
    { id: 'slow', paceMs: 111 },
  ];
  const inTime = (medianEvents: number) =>
    withinPace(engines, ({ paceMs }) => paceMs, {
      pauseFactor: 1,
      targetGapMs: 300,
      maxPaceMs: paceToEndInTime({ medianEvents, lengthShape: 3.6, remainingMs: 13_000 }),
    }).map(({ id }) => id);
  t.deepEqual(inTime(100), ['fast', 'usual']);
  t.deepEqual(inTime(40), ['fast', 'usual', 'slow']);
  t.deepEqual(inTime(0), ['fast', 'usual', 'slow']);
});

test('evenly slow engines are all kept: pauses do not depend on the choice', (t) => {
  const random = createSeededRandom(3);
  Array.from({ length: 200 }, () => {
    const engines = Array.from({ length: 2 + Math.floor(25 * random()) }, (_, index) => ({
      id: `e${index}`,
      paceMs: 200 * (0.85 + 0.3 * random()),
    }));
    t.is(within(engines).length, engines.length);
  });
});

test('an engine that was slow is tried again once its samples have expired', (t) => {
  // Guards against an engine that nobody uses any more because it once was slow: without streams it gets no samples.
  const estimates = createLearnedEstimates();
  ['a', 'b'].forEach((id) => estimates.observe(id, 40, 0));
  estimates.observe('slow', 400, 0);
  const candidatesAt = (nowMs: number) =>
    withinPace(['a', 'b', 'slow'], (id) => estimates.estimate(id, nowMs), target);
  t.deepEqual(candidatesAt(1_000), ['a', 'b']);
  ['a', 'b'].forEach((id) => estimates.observe(id, 40, 60_000));
  t.deepEqual(candidatesAt(60_000), ['a', 'b', 'slow']);
});

test('a restarted engine, which is unknown, is neither avoided nor preferred', (t) => {
  t.deepEqual(within([{ id: 'new' }, { id: 'fast', paceMs: 30 }, { id: 'slow', paceMs: 300 }]), [
    'new',
    'fast',
  ]);
});

test('the first event starts the measurement, and each window gives a sample', (t) => {
  const samples: number[] = [];
  const meter = createPaceMeter({ onSample: (msPerEvent) => samples.push(msPerEvent) });
  meter.note(1, 5_000, false);
  Array.from({ length: 8 }, (_, index) => meter.note(1, 5_040 + 40 * index, false));
  t.deepEqual(samples, [40]);
});

test('an engine seven times as slow is noticed within a second of its first event', (t) => {
  const samples: number[] = [];
  const meter = createPaceMeter({ onSample: (msPerEvent) => samples.push(msPerEvent) });
  [0, 350, 700].forEach((atMs) => meter.note(1, atMs, false));
  t.deepEqual(samples, [350]);
});

test('events between which the engine prefilled a prompt say nothing about its speed', (t) => {
  const samples: number[] = [];
  const meter = createPaceMeter({ onSample: (msPerEvent) => samples.push(msPerEvent) });
  meter.note(1, 0, false);
  meter.note(2, 300, true);
  meter.note(6, 500, false);
  t.deepEqual(samples, []);
  meter.note(8, 900, false);
  t.deepEqual(samples, [50]);
});

test('the pause factor is 1 at first, then exceeded by one stream in ten', (t) => {
  const factor = createPauseFactor();
  Array.from({ length: 4 }, () => factor.observe({ pauseMs: 90, paceMs: 30 }));
  t.is(factor.value(), 1);
  Array.from({ length: 14 }, () => factor.observe({ pauseMs: 90, paceMs: 30 }));
  Array.from({ length: 2 }, () => factor.observe({ pauseMs: 300, paceMs: 30 }));
  const value = factor.value();
  t.true(value >= 3 && value < 10, `${value}`);
  factor.observe({ pauseMs: 90, paceMs: undefined });
  t.is(factor.value(), value);
});
