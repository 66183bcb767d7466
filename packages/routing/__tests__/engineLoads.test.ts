import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {
  createEngineLoads,
  unresponsiveCauses,
  type EngineLoad,
  type EngineLoads,
} from '@bluebellhitch/routing';

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

/** A stream that holds this much memory and does not grow. */
const fixedSizeStream = (tokens: number) => ({
  promptTokens: tokens,
  emittedTokens: 0,
  medianOutputTokens: 0,
});

const freeTokens = (loads: EngineLoads, capacityTokens: number) =>
  loads.forecast('e', capacityTokens).freeTokens();

const peerUse = (overrides: Record<string, unknown>) => ({
  serverId: 'e',
  streams: [],
  prefillTokens: 0,
  ownPrompts: 0,
  isSilent: false,
  ...overrides,
});

test.serial('streams placed since the last report are added to it', (t) => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  try {
    const loads = createEngineLoads();
    t.is(freeTokens(loads, 8_000), 8_000);
    const { release } = loads.place('e', fixedSizeStream(3_000));
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

test('peers’ work is counted until the peer is dropped', (t) => {
  const loads = createEngineLoads();
  loads.setPeerUse(
    'p',
    [peerUse({ streams: [fixedSizeStream(4_000)], prefillTokens: 700, ownPrompts: 1 })],
    true,
  );
  t.is(freeTokens(loads, 10_000), 6_000);
  t.is(loads.prefillBacklogTokens('e'), 700);
  t.is(loads.localPrefillCount('e'), 1);
  loads.setPeerUse('p', [peerUse({ streams: [fixedSizeStream(1_000)] })], false);
  t.is(freeTokens(loads, 10_000), 9_000);
  t.is(loads.prefillBacklogTokens('e'), 0);
  loads.setPeerUse('p', [], true);
  t.is(freeTokens(loads, 10_000), 10_000);
  loads.setPeerUse('p', [peerUse({ streams: [fixedSizeStream(4_000)] })], true);
  loads.dropPeer('p');
  t.is(freeTokens(loads, 10_000), 10_000);
});

test.serial('a rejection is remembered for a short time', (t) => {
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
  'an engine that a peer reports as unresponsive counts as such unless it has just answered this router',
  (t) => {
    const clock = FakeTimers.install({ toFake: ['performance'] });
    try {
      const loads = createEngineLoads();
      loads.setPeerUse('p', [peerUse({ isSilent: true })], false);
      t.true(loads.isUnresponsive('e'));
      loads.noteContact('e');
      t.false(loads.isUnresponsive('e'));
      clock.tick(1_000);
      t.true(loads.isUnresponsive('e'));
      loads.setPeerUse('p', [], true);
      t.false(loads.isUnresponsive('e'));
      loads.noteUnresponsive('e', unresponsiveCauses.reportTimeout);
      t.true(loads.isUnresponsive('e'));
      loads.report('e', report(0));
      t.false(loads.isUnresponsive('e'));
    } finally {
      clock.uninstall();
    }
  },
);

test.serial(
  'a pause is explained by a local prefill that ended within it, here or at a peer',
  (t) => {
    const clock = FakeTimers.install({ toFake: ['performance'] });
    try {
      const loads = createEngineLoads();
      clock.tick(100);
      t.false(loads.hadLocalPrefillSince('e', 0));
      const endOwn = loads.beginLocalPrefill('e');
      t.true(loads.hadLocalPrefillSince('e', 100));
      endOwn();
      t.true(loads.hadLocalPrefillSince('e', 50));
      t.false(loads.hadLocalPrefillSince('e', 100));
      loads.setPeerUse('p', [peerUse({ ownPrompts: 1 })], false);
      clock.tick(100);
      t.true(loads.hadLocalPrefillSince('e', 200));
      loads.setPeerUse('p', [], true);
      t.true(loads.hadLocalPrefillSince('e', 150));
      t.false(loads.hadLocalPrefillSince('e', 200));
      t.is(loads.streamCount('e'), 0);
    } finally {
      clock.uninstall();
    }
  },
);
