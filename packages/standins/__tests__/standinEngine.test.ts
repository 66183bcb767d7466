import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import anyTest, { type TestFn } from 'ava';
import type { EngineChunk } from '@bluebellhitch/engine';
import {
  createPeerDirectory,
  createStandinEngine,
  expectedOutput,
  type StandinEngine,
} from '@bluebellhitch/standins';

const test = anyTest.serial as TestFn<{ clock: Clock }>;
const model = 'standin-model';
/** 500 tokens: a prefill of 120 ms. */
const prompt = 'bond '.repeat(400);

test.beforeEach((t) => {
  t.context.clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'],
  });
});
test.afterEach.always((t) => t.context.clock.uninstall());

function prefillInput(attemptId: string, text = prompt) {
  return { attemptId, model, prompt: text, priority: 5 };
}

function decodeInput(attemptId: string, change: { prompt?: string; priority?: number } = {}) {
  return { ...prefillInput(attemptId), imported: false, maxOutputTokens: 1000, ...change };
}

/** Reads in the background; `chunks` grows as time advances. */
function read(source: AsyncIterable<EngineChunk>): { chunks: EngineChunk[]; ended: boolean } {
  const state = { chunks: [] as EngineChunk[], ended: false };
  void (async () => {
    for await (const chunk of source) {
      state.chunks.push(chunk);
    }
    state.ended = true;
  })();
  return state;
}

async function decode(engine: StandinEngine, attemptId: string, change = {}) {
  return read((await engine.decode(decodeInput(attemptId, change)))._unsafeUnwrap());
}

function textOf(chunks: EngineChunk[]): string {
  return chunks.map((chunk) => (chunk.kind === 'token' ? chunk.text : '')).join('');
}

async function prefill(clock: Clock, engine: StandinEngine, attemptId: string) {
  const pending = engine.prefill(prefillInput(attemptId));
  await clock.tickAsync(125);
  return (await pending)._unsafeUnwrap();
}

test('the output is a pure function of prompt and model', async (t) => {
  const engine = createStandinEngine();
  const first = await decode(engine, 'a');
  const second = await decode(engine, 'b');
  await t.context.clock.tickAsync(10_000);
  const expected = expectedOutput(prompt, model);
  t.is(textOf(first.chunks), expected.text());
  t.is(textOf(second.chunks), expected.text());
  t.deepEqual(first.chunks.at(-1), {
    kind: 'end',
    attemptId: 'a',
    offset: expected.tokenCount,
    finishReason: 'stop',
  });
  t.true(expected.tokenCount >= 40 && expected.tokenCount <= 400);
  t.not(expectedOutput(prompt, 'other').text(10), expected.text(10));
  t.is(engine.stats().heldKvBytes, 0);
});

test('a cached prompt takes much less time to prefill than an uncached one', async (t) => {
  const engine = createStandinEngine();
  const startMs = t.context.clock.now;
  const cold = await prefill(t.context.clock, engine, 'a');
  t.deepEqual([cold.promptTokens, cold.cachedTokens], [500, 0]);
  t.true(t.context.clock.now - startMs <= 125);
  const pending = engine.prefill(prefillInput('b'));
  await t.context.clock.tickAsync(40);
  t.is((await pending)._unsafeUnwrap().cachedTokens, 448);
});

test('a prefill on the same engine slows the running streams', async (t) => {
  const engine = createStandinEngine();
  const { chunks } = await decode(engine, 'a', { prompt: 'short' });
  await t.context.clock.tickAsync(201);
  const before = chunks.length;
  void engine.prefill(prefillInput('b', 'tread '.repeat(4000)));
  await t.context.clock.tickAsync(201);
  t.true(before >= 15);
  t.true(chunks.length - before <= 6, `${chunks.length - before} tokens beside the prefill`);
});

test('an export that is not fetched is dropped within a second and counted', async (t) => {
  // The decode worker never fetches the result. If exports did not expire, the results of abandoned
  // requests would fill the prefill memory. The tokens of an expired export count as wasted.
  const { clock } = t.context;
  const engine = createStandinEngine();
  const { exportId, kvBytes } = await prefill(clock, engine, 'a');
  t.is(engine.stats().heldKvBytes, kvBytes);
  await clock.tickAsync(1000);
  t.is((await engine.exportKv(exportId, 'keep'))._unsafeUnwrapErr().kind, 'gone');
  const { heldKvBytes, expiredExports, wastedPrefillTokens } = engine.stats();
  t.deepEqual([heldKvBytes, expiredExports, wastedPrefillTokens], [0, 1, 500]);
});

test('no more streams run than there are slots, and more urgent ones run first', async (t) => {
  const engine = createStandinEngine({ slotCount: 2 });
  await decode(engine, 'a', { prompt: 'a' });
  await decode(engine, 'b', { prompt: 'b' });
  await t.context.clock.tickAsync(60);
  const late = await decode(engine, 'late', { prompt: 'c', priority: 9 });
  const urgent = await decode(engine, 'urgent', { prompt: 'd', priority: 0 });
  await t.context.clock.tickAsync(280);
  t.is((await engine.load())._unsafeUnwrap().runningCount, 2);
  t.is(late.chunks.length + urgent.chunks.length, 0);
  await engine.cancel('a');
  await t.context.clock.tickAsync(100);
  t.true(urgent.chunks.length > 0);
  t.is(late.chunks.length, 0);
});

test('when the memory is full, streams wait or are preempted, and it is never exceeded', async (t) => {
  // Ten streams, each of which fits alone, together outgrow the memory. The least urgent ones are
  // preempted and compute their context again later; every response must still be complete.
  const engine = createStandinEngine({ capacityKvBytes: 1000, kvBytesPerToken: 1 });
  const streams = await Promise.all(
    Array.from({ length: 10 }, (_, index) =>
      decode(engine, `s${index}`, { prompt: `${index}${'x'.repeat(360)}`, priority: index }),
    ),
  );
  await t.context.clock.tickAsync(60_000);
  const { peakHeldKvBytes, preemptions, completedDecodes, heldKvBytes } = engine.stats();
  t.true(peakHeldKvBytes <= 1000);
  t.true(preemptions > 0);
  t.deepEqual([completedDecodes, heldKvBytes], [10, 0]);
  streams.forEach(({ chunks }, index) =>
    t.is(textOf(chunks), expectedOutput(`${index}${'x'.repeat(360)}`, model).text()),
  );
});

test('cancel frees the memory at once and is idempotent', async (t) => {
  // The caller disconnects in the middle of its response. The stream ends without an end chunk, its memory
  // is freed at once, and a repeated cancel, such as after a lost response, succeeds without effect.
  const engine = createStandinEngine();
  const stream = await decode(engine, 'a');
  await t.context.clock.tickAsync(300);
  t.is((await engine.streams())._unsafeUnwrap().length, 1);
  t.true((await engine.cancel('a')).isOk());
  t.true((await engine.cancel('a')).isOk());
  await t.context.clock.tickAsync(100);
  t.true(stream.ended);
  t.true(stream.chunks.every(({ kind }) => kind === 'token'));
  t.deepEqual((await engine.streams())._unsafeUnwrap(), []);
  t.deepEqual([engine.stats().heldKvBytes, engine.stats().cancelledDecodes], [0, 1]);
});

test('a failed cancel keeps the memory, a cancel with a lost response frees it', async (t) => {
  // Callers cannot distinguish the two by the error, only by the list of streams.
  const engine = createStandinEngine();
  await decode(engine, 'a');
  await t.context.clock.tickAsync(200);
  engine.control({ failCancels: true });
  t.is((await engine.cancel('a'))._unsafeUnwrapErr().kind, 'failed');
  t.true(engine.stats().heldKvBytes > 0);
  engine.control({ failCancels: false, loseCancelAnswers: true });
  t.is((await engine.cancel('a'))._unsafeUnwrapErr().kind, 'died');
  t.is(engine.stats().heldKvBytes, 0);
});

test('resume continues exactly after the emitted tokens', async (t) => {
  const engine = createStandinEngine();
  const expected = expectedOutput(prompt, model);
  const emitted = { tokenCount: 7, text: expected.text(7) };
  const resumed = await engine.resume({ ...decodeInput('a'), emitted });
  const { chunks } = read(resumed._unsafeUnwrap());
  await t.context.clock.tickAsync(10_000);
  t.is(chunks[0]?.offset, 7);
  t.is(emitted.text + textOf(chunks), expected.text());
  t.is(chunks.at(-1)?.offset, expected.tokenCount);
  const wrong = await engine.resume({ ...decodeInput('b'), emitted: { ...emitted, text: 'no' } });
  t.is(wrong._unsafeUnwrapErr().kind, 'failed');
});

test('the output limit of a resumed response counts the remaining tokens only', async (t) => {
  const engine = createStandinEngine();
  const expected = expectedOutput(prompt, model);
  const emitted = { tokenCount: 7, text: expected.text(7) };
  const resumed = await engine.resume({ ...decodeInput('a'), maxOutputTokens: 5, emitted });
  const { chunks } = read(resumed._unsafeUnwrap());
  await t.context.clock.tickAsync(1_000);
  t.is(emitted.text + textOf(chunks), expected.text(12));
  t.like(chunks.at(-1), { kind: 'end', offset: 12, finishReason: 'length' });
});

test('a transfer takes time at its rate, and its memory passes to the decode', async (t) => {
  const { clock } = t.context;
  const { connectPeer, add } = createPeerDirectory();
  const source = createStandinEngine();
  const target = createStandinEngine({ connectPeer });
  add('source', source);
  const { exportId, kvBytes } = await prefill(clock, source, 'p');
  const transfer = { attemptId: 'd', kvAddress: 'source', exportId };
  const imported = target.importKv(
    { ...transfer, rateBytesPerSecond: kvBytes * 2 },
    () => undefined,
  );
  await clock.tickAsync(450);
  t.is(
    (await target.decode({ ...decodeInput('d'), imported: true }))._unsafeUnwrapErr().kind,
    'gone',
  );
  await clock.tickAsync(60);
  t.true((await imported)._unsafeUnwrap().done);
  t.is(target.stats().heldKvBytes, kvBytes);
  const opened = await target.decode({ ...decodeInput('d'), imported: true });
  const stream = read(opened._unsafeUnwrap());
  await clock.tickAsync(10_000);
  t.is(textOf(stream.chunks), expectedOutput(prompt, model).text());
  t.deepEqual([target.stats().prefillTokens, target.stats().heldKvBytes], [0, 0]);
  t.deepEqual([source.stats().wastedPrefillTokens, source.stats().heldKvBytes], [0, 0]);
});

test('a stalled transfer makes no progress, and aborting it frees both sides', async (t) => {
  // The link stalls after the transfer began. The export is kept while it is read. The agent sees no
  // progress and aborts, which frees the memory of the importer and that of the exporter, whose export
  // has expired.
  const { clock } = t.context;
  const { connectPeer, add } = createPeerDirectory();
  const source = createStandinEngine({ linkBytesPerSecond: 100_000_000 });
  const target = createStandinEngine({ connectPeer });
  add('source', source);
  const { exportId } = await prefill(clock, source, 'p');
  const controller = new AbortController();
  const progress: number[] = [];
  const input = { attemptId: 'd', kvAddress: 'source', exportId, rateBytesPerSecond: 1e9 };
  const imported = target.importKv(
    input,
    ({ receivedBytes }) => progress.push(receivedBytes),
    controller.signal,
  );
  await clock.tickAsync(400);
  source.control({ stallTransfers: true });
  await clock.tickAsync(200);
  const countBefore = progress.length;
  await clock.tickAsync(5000);
  t.true(countBefore > 0);
  t.is(progress.length, countBefore);
  t.true(source.stats().heldKvBytes > 0);
  controller.abort();
  t.true((await imported).isErr());
  await clock.tickAsync(10);
  t.deepEqual([target.stats().heldKvBytes, source.stats().heldKvBytes], [0, 0]);
  t.is(source.stats().expiredExports, 1);
});

test('a poison prompt crashes the engine and ends everything that it runs', async (t) => {
  // The prompt crashes the engine when it starts. A concurrent stream ends without an end chunk, and later
  // calls are refused as not started.
  let crashes = 0;
  const engine = createStandinEngine({
    poisonMarker: '[poison]',
    onCrash: () => {
      crashes += 1;
    },
  });
  const concurrent = await decode(engine, 'a');
  await t.context.clock.tickAsync(300);
  const poisoned = engine.prefill(prefillInput('b', 'a [poison] prompt'));
  await t.context.clock.tickAsync(100);
  t.is((await poisoned)._unsafeUnwrapErr().kind, 'died');
  t.true(concurrent.ended);
  t.true(concurrent.chunks.every(({ kind }) => kind === 'token'));
  t.is((await engine.cancel('a'))._unsafeUnwrapErr().kind, 'not-started');
  t.is(crashes, 1);
  t.is(engine.stats().runs.filter(({ attemptId }) => attemptId === 'b').length, 1);
});

test('orders with an outdated fencing number are refused only if the engine checks it', async (t) => {
  const order = { kind: 'set-role', role: 'prefill' } as const;
  const results = [true, false].map(async (checkFencing) => {
    const engine = createStandinEngine({ checkFencing, roleChangeMs: 0 });
    await engine.order({ kind: 'set-role', role: 'decode' }, 5);
    const stale = await engine.order(order, 4);
    return { stale, accepted: engine.stats().orders.map(({ accepted }) => accepted), engine };
  });
  await t.context.clock.tickAsync(10);
  const [checking, ignoring] = await Promise.all(results);
  t.deepEqual(checking?.stale._unsafeUnwrapErr(), { kind: 'stale-order', highestFencingNumber: 5 });
  t.true(ignoring?.stale.isOk());
  t.deepEqual(checking?.accepted, [true, false]);
  t.is((await ignoring?.engine.decode(decodeInput('a')))?._unsafeUnwrapErr().kind, 'not-started');
});

test('cache events are delayed and have gaps, and loads lag', async (t) => {
  const engine = createStandinEngine({ cacheEventLossRatio: 0.5, prefixCacheBlocks: 4 });
  await prefill(t.context.clock, engine, 'a');
  t.is((await engine.load())._unsafeUnwrap().heldKvBytes, 0);
  t.deepEqual((await engine.cacheEvents(0))._unsafeUnwrap(), []);
  await t.context.clock.tickAsync(300);
  const events = (await engine.cacheEvents(0))._unsafeUnwrap();
  t.true(events.length > 0 && events.length < 10);
  t.true((await engine.load())._unsafeUnwrap().heldKvBytes > 0);
});
