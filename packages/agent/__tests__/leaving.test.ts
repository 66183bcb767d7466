import test from 'ava';
import {
  acceptedDocument,
  startHeartbeats,
  openStream,
  reserve,
  startBench,
} from './helpers/agentBench';

// A planned stop under load: running streams complete, queued requests are refused at once as not run, and no
// new request starts.
test.serial('leaving refuses new work and lets streams end', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'running');
  const running = openStream(bench, 'running');
  const waiting = reserve(bench, 'waiting');
  await bench.clock.tickAsync(100);
  bench.agent.leave();
  t.like(await waiting, { kind: 'refused', reason: 'leaving', notRun: true });
  t.like(await reserve(bench, 'late'), { kind: 'refused', reason: 'leaving', notRun: true });
  t.true(bench.agent.load().leaving);
  t.false(bench.agent.isReady());
  const drained = bench.agent.drain(30_000);
  await bench.clock.tickAsync(1200);
  stopHeartbeats();
  t.true(await drained);
  await running.done;
  t.like(running.frames.at(-1), { kind: 'end', offset: 90 });
});

test.serial('a reservation made before leaving is still served', async (t) => {
  const bench = await startBench(t);
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'a');
  bench.agent.leave();
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(1200);
  stopHeartbeats();
  await stream.done;
  t.like(stream.frames.at(-1), { kind: 'end' });
});

test.serial('a stream that exceeds the drain timeout is cancelled', async (t) => {
  const bench = await startBench(t);
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'a', { maxOutputTokens: 900 });
  const stream = openStream(bench, 'a', { maxOutputTokens: 900 });
  bench.agent.leave();
  const drained = bench.agent.drain(1000);
  await bench.clock.tickAsync(1600);
  stopHeartbeats();
  t.false(await drained);
  t.is(bench.engine.heldKvBytes(), 0);
  t.like(stream.frames.at(-1), { kind: 'failed', notRun: false });
});

test.serial('the document drains an instance and readmits it', async (t) => {
  const bench = await startBench(t);
  bench.agent.applyDocument(acceptedDocument(1, { drain: { instances: ['agent-1'] } }));
  t.like(await reserve(bench, 'a'), { kind: 'refused', reason: 'leaving', notRun: true });
  bench.agent.applyDocument(acceptedDocument(2));
  t.is((await reserve(bench, 'b')).kind, 'granted');
});

// A lagging relay delivers an older document after a newer one, which has to stay active.
test.serial('a lower generation is never applied', async (t) => {
  const bench = await startBench(t);
  bench.agent.applyDocument(acceptedDocument(5));
  bench.agent.applyDocument(acceptedDocument(4, { drain: { instances: ['agent-1'] } }));
  t.is(bench.agent.config().generation, 5);
  t.true(bench.agent.isReady());
});
