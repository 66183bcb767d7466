import test from 'ava';
import {
  acceptedDocument,
  startHeartbeats,
  openStream,
  reserve,
  startBench,
} from './helpers/agentBench';

test.serial('a bid reports the actual free memory and reserves nothing', async (t) => {
  const bench = await startBench(t);
  const requestBid = () =>
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
  t.like(await requestBid(), {
    incarnation: 'agent-first',
    cachedPrefixTokens: 64,
    usableInMs: 0,
    load: { ...(await requestBid()).load, freeKvBytes: 700, activeCount: 1, leaving: false },
  });
  t.is(bench.agent.load().activeCount, 1);
});

// While a prefill runs on another worker, the memory for its decode is still used by a running stream. It is
// promised in advance, so that it is neither idle during the prefill nor missing when it is needed.
test.serial('memory that will be free in time is granted in advance', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeartbeats = startHeartbeats(bench);
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
  stopHeartbeats();
  await Promise.all([running.done, next.done]);
  t.like(next.frames.at(-1), { kind: 'end' });
});

// The running stream takes longer than predicted. The request that was promised its memory waits for a
// bounded time and then fails as not run.
test.serial('a promise that is not kept fails as not run', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'running');
  bench.agent.leasing.table.expectRelease('running', 100);
  t.is((await reserve(bench, 'next', { neededInMs: 300 })).kind, 'granted');
  const next = openStream(bench, 'next');
  await bench.clock.tickAsync(1100);
  stopHeartbeats();
  await next.done;
  t.like(next.frames[0], { kind: 'failed', reason: 'no-capacity', notRun: true });
  t.deepEqual(bench.engine.calls, []);
  t.is(bench.agent.load().activeCount, 1);
});

test.serial('waits in the queue and is granted when memory is free', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'running');
  void openStream(bench, 'running');
  const waiting = reserve(bench, 'next');
  await bench.clock.tickAsync(100);
  t.is(bench.agent.load().queuedCount, 1);
  await bench.clock.tickAsync(900);
  stopHeartbeats();
  t.like(await waiting, { kind: 'granted' });
});

// The memory cannot be free before the caller's limit. Keeping the request in the queue would only leave the
// caller less time to try another instance.
test.serial(
  'a request that cannot be served in time is refused at once with a retry time',
  async (t) => {
    const bench = await startBench(t, { capacityKvBytes: 100 });
    await reserve(bench, 'running');
    const byLimit = await reserve(bench, 'b', { waitLimitMs: 200 });
    t.like(byLimit, { kind: 'refused', reason: 'deadline-hopeless', notRun: true });
    t.true(byLimit.kind === 'refused' && (byLimit.retryAfterMs ?? 0) > 500);
    const byTarget = await reserve(bench, 'c', { firstTokenDeadlineInMs: 300 });
    t.like(byTarget, { kind: 'refused', reason: 'deadline-hopeless' });
    t.is(bench.agent.load().queuedCount, 0);
  },
);

// A request is queued because its memory is predicted to be free in time; then the running stream turns out
// to take longer. The request is refused as soon as that is certain, well before its limit.
test.serial('a queued request that can no longer be served in time is refused early', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'running');
  const startedAtMs = performance.now();
  const waiting = reserve(bench, 'next', { waitLimitMs: 3000 });
  await bench.clock.tickAsync(200);
  bench.agent.leasing.table.expectRelease('running', startedAtMs + 60_000);
  await bench.clock.tickAsync(200);
  t.like(await waiting, { kind: 'refused', reason: 'deadline-hopeless', notRun: true });
  stopHeartbeats();
});

test.serial('refuses a request when the queue of its class is full', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  bench.agent.applyDocument(
    acceptedDocument(1, { classes: [{ name: 'standard', queueLimit: 1 }] }),
  );
  await reserve(bench, 'running');
  const waiting = reserve(bench, 'b');
  t.like(await reserve(bench, 'c'), { kind: 'refused', reason: 'queue-full', notRun: true });
  bench.agent.leave();
  await waiting;
});

test.serial(
  'refuses another service, another role and a request larger than the memory',
  async (t) => {
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
  },
);

// Queued requests must not wait for an engine that is down: they are refused when the outage is detected.
test.serial('refuses new and queued requests while the engine is down', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'running');
  const waiting = reserve(bench, 'next');
  bench.engine.faults.down = true;
  await bench.clock.tickAsync(1200);
  stopHeartbeats();
  t.like(await waiting, { kind: 'refused', reason: 'not-ready', notRun: true });
  t.like(await reserve(bench, 'c'), { kind: 'refused', reason: 'not-ready' });
  t.false(bench.agent.isReady());
  bench.engine.faults.down = false;
  await bench.clock.tickAsync(600);
  t.true(bench.agent.isReady());
});
