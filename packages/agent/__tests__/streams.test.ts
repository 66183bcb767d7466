import test from 'ava';
import {
  startHeartbeats,
  openStream,
  reserve,
  startBench,
  transferSource,
} from './helpers/agentBench';

test.serial('imports the KV cache of the prompt before it decodes', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a', { source: transferSource });
  await bench.clock.tickAsync(1200);
  await stream.done;
  t.deepEqual(bench.engine.calls, ['import a', 'decode a']);
  t.like(stream.frames.at(-1), { kind: 'end', offset: 90 });
});

// The link to the prefill worker stalls during the transfer. A total timeout would outlast the kept export;
// aborting after one interval without progress leaves time to transfer the same export again.
test.serial('a stalled transfer is aborted and retried from the kept export', async (t) => {
  const bench = await startBench(t);
  bench.engine.faults.imports = ['stalls'];
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a', { source: transferSource });
  await bench.clock.tickAsync(500);
  t.deepEqual(bench.engine.calls, ['import a', 'cancel a', 'import a', 'decode a']);
  stream.disconnect();
});

test.serial('a prompt whose export is gone is prefilled locally', async (t) => {
  const bench = await startBench(t);
  bench.engine.faults.imports = ['gone'];
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a', { source: transferSource });
  await bench.clock.tickAsync(1200);
  t.deepEqual(bench.engine.calls, ['import a', 'cancel a', 'decode a']);
  t.like(stream.frames.at(-1), { kind: 'end', offset: 90 });
});

// The transfer fails and the prompt is long: a local prefill would end long after the first-token target. The
// request fails at once as not run instead of getting a late response.
test.serial('no local prefill that ends long after the target', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100_000 });
  bench.engine.faults.imports = ['gone'];
  await reserve(bench, 'a', { promptTokens: 50_000, firstTokenDeadlineInMs: 500 });
  const prompt = 'x'.repeat(200_000);
  const stream = openStream(bench, 'a', { source: transferSource, prompt });
  await bench.clock.tickAsync(100);
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', reason: 'backend-failed', notRun: true });
  t.false(bench.engine.calls.includes('decode a'));
  t.is(bench.agent.load().activeCount, 0);
});

test.serial('continues after the output of an earlier attempt', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a', {
    emitted: { tokenCount: 60, text: 'so far' },
    maxOutputTokens: 30,
  });
  await bench.clock.tickAsync(500);
  await stream.done;
  t.like(stream.frames[0], { kind: 'tokens', offset: 60 });
  t.like(stream.frames.at(-1), { kind: 'end', offset: 90 });
  t.is(stream.frames.length, 31);
});

// The engine dies during a response. The entry has to learn that tokens were sent and that the request may
// have caused the crash, and the lease table must not keep the dead engine's memory.
test.serial('an engine that dies during a response', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(100);
  bench.engine.crash();
  await bench.clock.tickAsync(50);
  await stream.done;
  t.like(stream.frames.at(-1), { kind: 'failed', backendDied: true, notRun: false });
  t.is(bench.agent.load().activeCount, 0);
});

test.serial(
  'after a crash before the first token it is unknown whether the request ran',
  async (t) => {
    const bench = await startBench(t);
    await reserve(bench, 'a');
    const stream = openStream(bench, 'a');
    await bench.clock.tickAsync(5);
    bench.engine.crash();
    await bench.clock.tickAsync(50);
    await stream.done;
    t.like(stream.frames[0], { kind: 'failed', backendDied: true, notRun: 'unknown' });
  },
);

test.serial('a decode that the engine refused did not run', async (t) => {
  const bench = await startBench(t);
  bench.engine.faults.decodeError = { kind: 'not-started', detail: 'queue full' };
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(50);
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', backendDied: false, notRun: true });
});

// The entry loses the connection of the response and sends the same attempt again. The first one ran, and a
// second run could repeat its effects, such as crewing a truck twice.
test.serial('an attempt runs once, however often it is sent', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const first = openStream(bench, 'a');
  const second = openStream(bench, 'a');
  await bench.clock.tickAsync(1200);
  await Promise.all([first.done, second.done]);
  const third = openStream(bench, 'a');
  await third.done;
  t.is(bench.engine.calls.filter((call) => call === 'decode a').length, 1);
  t.like(first.frames.at(-1), { kind: 'end' });
  t.like(second.frames[0], { kind: 'failed', notRun: false });
  t.like(third.frames[0], { kind: 'failed', notRun: false });
  t.like(await reserve(bench, 'a'), { kind: 'refused', notRun: false });
});

// After a restart the agent does not know the attempt, has no lease for it, and cannot know whether the earlier
// process ran it.
test.serial('an attempt without a lease does not run', async (t) => {
  const bench = await startBench(t);
  const stream = openStream(bench, 'a');
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', reason: 'unknown-lease', notRun: 'unknown' });
  t.deepEqual(bench.engine.calls, []);
});

test.serial('a lapsed reservation certainly did not run', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  await bench.clock.tickAsync(1700);
  const stream = openStream(bench, 'a');
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', reason: 'unknown-lease', notRun: true });
});

// The engine sends chunks of another caller's response, and one chunk twice. The caller must get neither.
test.serial('chunks of other attempts and repeated ones are dropped', async (t) => {
  const dropped: string[] = [];
  const bench = await startBench(t, {
    observer: { onDroppedChunk: (cause) => dropped.push(cause) },
  });
  bench.engine.faults.chunks = [
    { kind: 'token', attemptId: 'other', offset: 0, text: 'secret' },
    { kind: 'end', attemptId: 'other', offset: 5, finishReason: 'stop' },
    { kind: 'token', attemptId: 'a', offset: 0, text: ' t0' },
  ];
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(1200);
  await stream.done;
  t.deepEqual(dropped, ['foreign-attempt', 'foreign-attempt', 'duplicate']);
  t.is(stream.frames.length, 91);
  t.false(JSON.stringify(stream.frames).includes('secret'));
});

test.serial('a response with a gap is not completed', async (t) => {
  const bench = await startBench(t);
  bench.engine.faults.chunks = [
    { kind: 'token', attemptId: 'a', offset: 0, text: ' t0' },
    { kind: 'token', attemptId: 'a', offset: 2, text: ' t2' },
  ];
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(50);
  await stream.done;
  t.like(stream.frames.at(-1), { kind: 'failed', reason: 'backend-failed', backendDied: false });
  t.is(bench.engine.heldKvBytes(), 0);
});

// The engine hangs without closing the connection, so that the caller would wait indefinitely.
test.serial('a stalled engine is detected by its missing progress', async (t) => {
  const bench = await startBench(t, { stepMs: 60_000 });
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(31_000);
  stopHeartbeats();
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', reason: 'backend-failed', notRun: 'unknown' });
  t.is(bench.engine.heldKvBytes(), 0);
});

test.serial('a reservation sent again gets the same grant', async (t) => {
  const bench = await startBench(t);
  t.is((await reserve(bench, 'a')).kind, 'granted');
  t.is((await reserve(bench, 'a')).kind, 'granted');
  t.is(bench.agent.load().activeCount, 1);
});
