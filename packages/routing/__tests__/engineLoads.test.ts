import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { createEngineLoads, type EngineLoad, type EngineLoads } from '@bluebellhitch/routing';

const report = (usedTokens: number): EngineLoad => ({
  stage: 'decode',
  waiting: 0,
  running: 0,
  usedTokens,
  totalTokens: 10_000,
  reservedTokens: 0,
  isBusyWithOrder: false,
  isDraining: false,
  orderCount: 0,
  runs: [],
});

/** A stream that holds so much memory and takes no more. */
const still = (tokens: number) => ({
  promptTokens: tokens,
  emittedTokens: 0,
  medianOutputTokens: 0,
});

const freeTokens = (loads: EngineLoads, capacityTokens: number) =>
  loads.forecast('e', capacityTokens).freeTokens();

const use = (over: Record<string, unknown>) => ({
  serverId: 'e',
  streams: [],
  prefillTokens: 0,
  ownPrompts: 0,
  isSilent: false,
  ...over,
});

test.serial('what was placed since a report is added to it', (t) => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  try {
    const loads = createEngineLoads();
    t.is(freeTokens(loads, 8_000), 8_000);
    const { release } = loads.place('e', still(3_000));
    loads.report('e', report(0));
    t.is(freeTokens(loads, 8_000), 7_000);
    clock.tick(2_000);
    loads.report('e', report(3_500));
    t.is(freeTokens(loads, 8_000), 6_500);
    release();
    release();
    t.is(freeTokens(loads, 8_000), 9_500);
  } finally {
    clock.uninstall();
  }
});

test('peers’ work counts, and is forgotten with the peer', (t) => {
  const loads = createEngineLoads();
  loads.setPeerUse(
    'p',
    [use({ streams: [still(4_000)], prefillTokens: 700, ownPrompts: 1 })],
    true,
  );
  t.is(freeTokens(loads, 10_000), 6_000);
  t.is(loads.prefillBacklogTokens('e'), 700);
  t.is(loads.ownPrompts('e'), 1);
  loads.setPeerUse('p', [use({ streams: [still(1_000)] })], false);
  t.is(freeTokens(loads, 10_000), 9_000);
  t.is(loads.prefillBacklogTokens('e'), 0);
  loads.setPeerUse('p', [], true);
  t.is(freeTokens(loads, 10_000), 10_000);
  loads.setPeerUse('p', [use({ streams: [still(4_000)] })], true);
  loads.dropPeer('p');
  t.is(freeTokens(loads, 10_000), 10_000);
});

test.serial('a refusal counts for a moment', (t) => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  try {
    const loads = createEngineLoads();
    loads.noteFull('e', 500);
    t.true(loads.isFullFor('e', 500));
    t.false(loads.isFullFor('e', 499));
    clock.tick(100);
    t.false(loads.isFullFor('e', 500));
  } finally {
    clock.uninstall();
  }
});

test.serial(
  'an engine is silent by the word of who asked it, unless it has just answered us',
  (t) => {
    const clock = FakeTimers.install({ toFake: ['performance'] });
    try {
      const loads = createEngineLoads();
      loads.setPeerUse('p', [use({ isSilent: true })], false);
      t.true(loads.isSilent('e'));
      loads.noteContact('e');
      t.false(loads.isSilent('e'));
      clock.tick(1_000);
      t.true(loads.isSilent('e'));
      loads.setPeerUse('p', [], true);
      t.false(loads.isSilent('e'));
      loads.noteSilent('e');
      t.true(loads.isSilent('e'));
      loads.report('e', report(0));
      t.false(loads.isSilent('e'));
    } finally {
      clock.uninstall();
    }
  },
);
