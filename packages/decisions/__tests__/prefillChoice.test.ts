import test from 'ava';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';
import { choosePrefillEngine, relativeSpeed, withPendingPrompts, type PrefillEngine } from '../src';

const engineCount = 8;

function drawEngines(random: Random, speedOf: (index: number) => number): PrefillEngine[] {
  return Array.from({ length: engineCount }, (_none, index) => ({
    serverId: `e${index}`,
    backlogTokens: random() < 0.4 ? 0 : Math.round(random() * 20_000),
    learnedSpeed: speedOf(index),
    currentSpeed: speedOf(index),
  }));
}

const of = (speed: number) => ({ learnedSpeed: speed, currentSpeed: speed });

/** The rule for even speeds: the fewest prompt tokens ahead, ties at random. */
function chooseFewestTokens(engines: readonly PrefillEngine[], random: Random) {
  return engines
    .map((engine) => ({ engine, tie: random() }))
    .sort(
      (left, right) =>
        left.engine.backlogTokens - right.engine.backlogTokens || left.tie - right.tie,
    )[0]?.engine;
}

test('engines of equal speed are chosen as by the fewest waiting tokens, for random loads', (t) => {
  const loads = createSeededRandom(1);
  Array.from({ length: 2_000 }, (_none, seed) => {
    const engines = drawEngines(loads, () => 1);
    const chosen = choosePrefillEngine(engines, {
      promptTokens: Math.round(loads() * 10_000),
      random: createSeededRandom(seed),
    });
    t.is(chosen, chooseFewestTokens(engines, createSeededRandom(seed)));
  });
});

test('differences within the noise of single samples count as equal speed', (t) => {
  [0.75, 0.95, 1, 1.1, 1.35].forEach((ratio) => t.is(relativeSpeed(50 * ratio, 50), 1));
  t.is(relativeSpeed(30, 50), 0.6);
  t.is(relativeSpeed(80, 50), 1.6);
});

test('an engine without an estimate counts as a typical one', (t) => {
  t.is(relativeSpeed(undefined, 50), 1);
  t.is(relativeSpeed(50, undefined), 1);
});

test('an engine that answers without reading the prompt attracts no more than a fast one', (t) => {
  t.is(relativeSpeed(50_000, 50), 3);
  t.is(relativeSpeed(0, 50), 1);
  t.is(relativeSpeed(NaN, 50), 1);
});

test('a fast engine is preferred to an idle slow one, until its queue is longer', (t) => {
  const choose = (backlogTokens: number) =>
    choosePrefillEngine(
      [
        { serverId: 'slow', ...of(0.6), backlogTokens: 0 },
        { serverId: 'fast', ...of(1.6), backlogTokens },
      ],
      { promptTokens: 5_000, random: () => 0 },
    )?.serverId;
  t.is(choose(0), 'fast');
  t.is(choose(5_000), 'fast');
  t.is(choose(12_000), 'slow');
});

test('no prompt goes to an engine that takes more than twice as long as another', (t) => {
  const random = createSeededRandom(1);
  const engines = [
    { serverId: 'slow', ...of(1 / 7), backlogTokens: 0 },
    { serverId: 'usual', ...of(1), backlogTokens: 5_000 },
  ];
  Array.from({ length: 200 }, () =>
    t.is(choosePrefillEngine(engines, { promptTokens: 5_000, random })?.serverId, 'usual'),
  );
});

test('among engines of equal speed, one that is slow for a moment is passed over', (t) => {
  const engines = [
    { serverId: 'late', learnedSpeed: 1, currentSpeed: 0.2, backlogTokens: 5_000 },
    { serverId: 'long queue', ...of(1), backlogTokens: 12_000 },
    { serverId: 'short queue', ...of(1), backlogTokens: 11_000 },
  ];
  const chosen = choosePrefillEngine(engines, { promptTokens: 5_000, random: Math.random });
  t.is(chosen?.serverId, 'short queue');
});

test('no engine, no choice', (t) => {
  t.is(choosePrefillEngine([], { promptTokens: 1, random: Math.random }), undefined);
});

test('a prompt that is late shows that its engine is slow now', (t) => {
  const pending = [{ startedAtMs: 0, expectedMs: 100 }];
  t.is(withPendingPrompts(1, pending, 240), 1, 'not late enough to tell');
  t.is(withPendingPrompts(1, pending, 400), 0.25);
  t.is(
    withPendingPrompts(0.2, pending, 400),
    1 / 16,
    'it still gets a prompt if the others are full',
  );
  t.is(withPendingPrompts(1, [], 400), 1);
});

interface FleetLoad {
  routers: number;
  /** Prompts that arrive at the same moment. */
  groupSize: number;
  /** Time until the other routers know of a prompt. */
  newsDelayMs: number;
  choose(engines: readonly PrefillEngine[], random: Random): PrefillEngine | undefined;
}

const speeds = [0.6, 1, 1.6, 0.6, 1, 1.6, 1, 1];
const tokensPerMs = 55;
const promptTokens = 5_200;
const promptCount = 1_800;
const promptIntervalMs = 17;

/** Mean time to the end of the prefill where prompts arrive in groups, at routers with delayed news of each other. */
function replayGroups({ routers, groupSize, newsDelayMs, choose }: FleetLoad): number {
  const random = createSeededRandom(3);
  const freeAtMs = speeds.map(() => 0);
  const sent: { engine: number; router: number; atMs: number; endsAtMs: number }[] = [];
  const times = Array.from({ length: promptCount }, (_none, index) => {
    const nowMs = Math.floor(index / groupSize) * groupSize * promptIntervalMs;
    const router = Math.floor(random() * routers);
    const engines = speeds.map((relative, engine) => ({
      serverId: `${engine}`,
      learnedSpeed: relative,
      currentSpeed: relative,
      backlogTokens:
        promptTokens *
        sent.filter(
          (one) =>
            one.engine === engine &&
            one.endsAtMs > nowMs &&
            (one.router === router || one.atMs + newsDelayMs <= nowMs),
        ).length,
    }));
    const engine = Number(choose(engines, random)?.serverId ?? 0);
    const startMs = Math.max(nowMs, freeAtMs[engine] ?? 0);
    const endsAtMs = startMs + promptTokens / (tokensPerMs * (speeds[engine] ?? 1));
    freeAtMs[engine] = endsAtMs;
    sent.push({ engine, router, atMs: nowMs, endsAtMs });
    return endsAtMs - nowMs;
  });
  return times.reduce((sum, ms) => sum + ms, 0) / times.length;
}

const byExpectedEnd: FleetLoad['choose'] = (engines, random) =>
  choosePrefillEngine(engines, { promptTokens, random });
/** The earliest expected end without a random choice. */
const byEarliestEnd: FleetLoad['choose'] = (engines) =>
  engines.reduce((best, one) => (endOf(one) < endOf(best) ? one : best));

function endOf({ backlogTokens, currentSpeed: speed }: PrefillEngine): number {
  return (backlogTokens + promptTokens) / speed;
}

[4, 22, 68].forEach((routers) => {
  const replay = (groupSize: number, choose: FleetLoad['choose']) =>
    replayGroups({ routers, groupSize, newsDelayMs: 10, choose });

  test(`${routers} routers: prompts end sooner than by the fewest waiting tokens`, (t) => {
    t.true(replay(1, byExpectedEnd) < 0.92 * replay(1, chooseFewestTokens));
  });

  /** Guards against routers that decide at the same moment and all choose the same engine. */
  test(`${routers} routers that decide at the same moment use different engines`, (t) => {
    t.true(replay(6, byExpectedEnd) < replay(6, chooseFewestTokens));
    t.true(replay(6, byExpectedEnd) < 0.9 * replay(6, byEarliestEnd));
  });
});
