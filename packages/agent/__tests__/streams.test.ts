import test from 'ava';
import { beatHeart, openStream, reserve, startBench, transferSource } from './helpers/agentBench';

test.serial('imports the prompt before it decodes', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a', { source: transferSource });
  await bench.clock.tickAsync(1200);
  await stream.done;
  t.deepEqual(bench.engine.calls, ['import a', 'decode a']);
  t.like(stream.frames.at(-1), { kind: 'end', offset: 90 });
});

// The link to the prefill worker stalls in the middle of the transfer. A total timeout would outlive the
// kept export; no progress in one interval cuts it early enough to try the same export once more.
test.serial('a stalled transfer is cut and tried again from the kept export', async (t) => {
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

// The transfer failed and the prompt is long: a local prefill would end long after the target. The
// caller learns now that nothing ran, rather than getting a late answer.
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

test.serial('continues behind the output of an earlier attempt', async (t) => {
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

// The engine dies in the middle of an answer. The entry needs to know that tokens went out, that the
// request may have caused it, and the books must not keep the dead engine's memory.
test.serial('an engine that dies in the middle of an answer', async (t) => {
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
  'an engine that dies before the first token leaves it open whether the request ran',
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

// The entry loses the answer's connection and sends the same attempt again. The first one ran: a second
// run could crew a truck twice.
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

// The same after a restart of the agent: it does not know the attempt, has no lease for it, and cannot
// say whether its predecessor ran it.
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

// The engine sends a chunk of another caller's answer, and one twice. The caller must not see either.
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

test.serial('an answer with a gap is not completed', async (t) => {
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

// The engine neither dies nor goes on: no connection breaks, and the caller would wait for ever.
test.serial('a stalled engine is found by its missing progress', async (t) => {
  const bench = await startBench(t, { stepMs: 60_000 });
  const stopHeart = beatHeart(bench);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(31_000);
  stopHeart();
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
