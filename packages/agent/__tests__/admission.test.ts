import test from 'ava';
import { accepted, beatHeart, openStream, reserve, startBench } from './helpers/agentBench';

test.serial('a bid tells true free memory and reserves nothing', async (t) => {
  const bench = await startBench(t);
  const ask = () =>
    bench.agent.handlers.bid({
      service: 'draft-models',
      promptTokens: 200,
      maxOutputTokens: 90,
      prefixBlocks: ['first', 'second'],
      className: 'standard',
    });
  bench.engine.cacheEventList.push({ kind: 'stored', sequence: 1, block: 'first' });
  await bench.clock.tickAsync(600);
  await reserve(bench, 'a', { maxOutputTokens: 290 });
  t.like(await ask(), {
    incarnation: 'agent-first',
    cachedPrefixTokens: 64,
    usableInMs: 0,
    load: { ...(await ask()).load, freeKvBytes: 700, activeCount: 1, leaving: false },
  });
  t.is(bench.agent.load().activeCount, 1);
});

// While a prefill runs elsewhere, the memory for its decode is still in use. It is promised from what
// the running stream will give back, so that it is not idle meanwhile and ready when it is needed.
test.serial('memory that will be free in time is granted ahead', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeart = beatHeart(bench);
  await reserve(bench, 'running');
  const running = openStream(bench, 'running');
  await bench.clock.tickAsync(600);
  const reply = await reserve(bench, 'next', { neededInMs: 500 });
  t.like(reply, { kind: 'granted' });
  const usableInMs = reply.kind === 'granted' ? reply.usableInMs : 0;
  t.true(usableInMs > 150 && usableInMs <= 500, String(usableInMs));
  const next = openStream(bench, 'next');
  await bench.clock.tickAsync(200);
  t.is(next.frames.length, 0);
  await bench.clock.tickAsync(1200);
  stopHeart();
  await Promise.all([running.done, next.done]);
  t.like(next.frames.at(-1), { kind: 'end' });
});

// The prediction was wrong: the stream goes on for longer than expected. The one that was promised its
// memory waits for a bounded time, and is then told that nothing ran.
test.serial('a broken promise is answered as not run', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeart = beatHeart(bench);
  await reserve(bench, 'running');
  bench.agent.books.table.expectRelease('running', 100);
  t.is((await reserve(bench, 'next', { neededInMs: 300 })).kind, 'granted');
  const next = openStream(bench, 'next');
  await bench.clock.tickAsync(1100);
  stopHeart();
  await next.done;
  t.like(next.frames[0], { kind: 'failed', reason: 'no-capacity', notRun: true });
  t.deepEqual(bench.engine.calls, []);
  t.is(bench.agent.load().activeCount, 1);
});

test.serial('waits in the queue and is granted when memory is free', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeart = beatHeart(bench);
  await reserve(bench, 'running');
  void openStream(bench, 'running');
  const waiting = reserve(bench, 'next');
  await bench.clock.tickAsync(100);
  t.is(bench.agent.load().queuedCount, 1);
  await bench.clock.tickAsync(900);
  stopHeart();
  t.like(await waiting, { kind: 'granted' });
});

// The memory cannot be free before the caller's limit. Holding the request until then would only take
// away its time to go elsewhere.
test.serial('a hopeless wait is refused at once, with when to come back', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  await reserve(bench, 'running');
  const byLimit = await reserve(bench, 'b', { waitLimitMs: 200 });
  t.like(byLimit, { kind: 'refused', reason: 'deadline-hopeless', notRun: true });
  t.true(byLimit.kind === 'refused' && (byLimit.retryAfterMs ?? 0) > 500);
  const byTarget = await reserve(bench, 'c', { firstTokenDeadlineInMs: 300 });
  t.like(byTarget, { kind: 'refused', reason: 'deadline-hopeless' });
  t.is(bench.agent.load().queuedCount, 0);
});

// A request waits for memory that seemed to come in time; then the stream before it turns out to be
// longer. It is answered as soon as that is certain, well before its limit.
test.serial('a wait that becomes hopeless ends early', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeart = beatHeart(bench);
  await reserve(bench, 'running');
  const startedAtMs = performance.now();
  const waiting = reserve(bench, 'next', { waitLimitMs: 3000 });
  await bench.clock.tickAsync(200);
  bench.agent.books.table.expectRelease('running', startedAtMs + 60_000);
  await bench.clock.tickAsync(200);
  t.like(await waiting, { kind: 'refused', reason: 'deadline-hopeless', notRun: true });
  stopHeart();
});

test.serial('the class bounds its queue', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  bench.agent.applyDocument(accepted(1, { classes: [{ name: 'standard', queueLimit: 1 }] }));
  await reserve(bench, 'running');
  const waiting = reserve(bench, 'b');
  t.like(await reserve(bench, 'c'), { kind: 'refused', reason: 'queue-full', notRun: true });
  bench.agent.leave();
  await waiting;
});

test.serial('refuses another service, another role and what exceeds the memory', async (t) => {
  const bench = await startBench(t, { role: 'prefill' });
  const reasons = await Promise.all([
    reserve(bench, 'a', { service: 'other' }),
    reserve(bench, 'b', { purpose: 'decode' }),
    reserve(bench, 'c', { purpose: 'plain' }),
    reserve(bench, 'd', { purpose: 'prefill', promptTokens: 5000 }),
  ]);
  t.deepEqual(
    reasons.map((reply) => (reply.kind === 'refused' ? [reply.reason, reply.notRun] : [])),
    [
      ['wrong-service', true],
      ['wrong-role', true],
      ['wrong-role', true],
      ['no-capacity', true],
    ],
  );
});

// The engine is down. Nobody waits for it in vain: those in the queue are answered when it is noticed.
test.serial('an engine that is down refuses and answers those who wait', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeart = beatHeart(bench);
  await reserve(bench, 'running');
  const waiting = reserve(bench, 'next');
  bench.engine.faults.down = true;
  await bench.clock.tickAsync(1200);
  stopHeart();
  t.like(await waiting, { kind: 'refused', reason: 'not-ready', notRun: true });
  t.like(await reserve(bench, 'c'), { kind: 'refused', reason: 'not-ready' });
  t.false(bench.agent.isReady());
  bench.engine.faults.down = false;
  await bench.clock.tickAsync(600);
  t.true(bench.agent.isReady());
});
