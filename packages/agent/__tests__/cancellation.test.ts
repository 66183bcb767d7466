import test from 'ava';
import type { StreamFrame } from '@bluebellhitch/protocol';
import {
  startHeartbeats,
  entry,
  openStream,
  reserve,
  startBench,
  transferSource,
  type AgentBench,
} from './helpers/agentBench';

function heldKvBytes({ agent }: AgentBench): number {
  return agent.leasing.table.totals().heldKvBytes;
}

function cancel({ agent }: AgentBench, attemptId: string): Promise<void> {
  return agent.handlers.cancel({ entryId: entry.entryId, attemptId });
}

const prefillRequest = {
  attemptId: 'a',
  model: 'draft-models',
  prompt: 'x'.repeat(40),
  priority: 5,
};

test.serial('a complete response ends its lease and frees its memory', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  const stopHeartbeats = startHeartbeats(bench);
  await bench.clock.tickAsync(1000);
  stopHeartbeats();
  await stream.done;
  t.is(stream.frames.length, 91);
  t.like(stream.frames.at(-1), { kind: 'end', offset: 90, attemptId: 'a' });
  t.is(heldKvBytes(bench), 0);
  t.false(bench.engine.calls.includes('cancel a'));
});

// The caller disconnects while its request is queued. The request leaves the queue at once, so that memory
// freed later goes to the next one.
test.serial('cancelled while queued', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  await reserve(bench, 'running');
  const waiting = reserve(bench, 'a');
  await cancel(bench, 'a');
  t.like(await waiting, { kind: 'refused', reason: 'cancelled', notRun: true });
  t.is(bench.agent.load().queuedCount, 0);
});

// The same, detected by the closed connection of the entry instead of a message.
test.serial('the connection closes while the request is queued', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  await reserve(bench, 'running');
  const connection = new AbortController();
  const waiting = reserve(bench, 'a', {}, connection.signal);
  connection.abort();
  t.like(await waiting, { kind: 'refused', reason: 'cancelled', notRun: true });
  t.is(bench.agent.load().queuedCount, 0);
});

test.serial('cancelled after its reservation', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  await cancel(bench, 'a');
  t.is(heldKvBytes(bench), 0);
  const stream = openStream(bench, 'a');
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', reason: 'cancelled', notRun: true });
  t.deepEqual(bench.engine.calls, []);
});

// Messages may arrive out of order: the cancellation is handled before the reservation that it is for.
test.serial('cancelled before its reservation arrives', async (t) => {
  const bench = await startBench(t);
  await cancel(bench, 'a');
  t.like(await reserve(bench, 'a'), { kind: 'refused', reason: 'cancelled', notRun: true });
});

test.serial('cancelled during its prefill', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a', { purpose: 'prefill' });
  const reply = bench.agent.handlers.prefill(prefillRequest);
  await bench.clock.tickAsync(50);
  t.is(bench.engine.heldKvBytes(), 10);
  await cancel(bench, 'a');
  await bench.clock.tickAsync(10);
  t.like(await reply, { kind: 'refused', reason: 'cancelled' });
  t.is(heldKvBytes(bench), 0);
  t.is(bench.engine.heldKvBytes(), 0);
});

test.serial(
  'an export is dropped when its attempt is cancelled, and when it expires',
  async (t) => {
    const bench = await startBench(t);
    const stopHeartbeats = startHeartbeats(bench);
    await reserve(bench, 'a', { purpose: 'prefill' });
    const first = bench.agent.handlers.prefill(prefillRequest);
    await bench.clock.tickAsync(110);
    t.like(await first, { kind: 'prefilled', exportId: 'export-a', keptForMs: 800 });
    await cancel(bench, 'a');
    await bench.clock.tickAsync(10);
    t.true(bench.engine.calls.includes('drop export-a'));
    t.is(heldKvBytes(bench), 0);

    await reserve(bench, 'b', { purpose: 'prefill' });
    void bench.agent.handlers.prefill({ ...prefillRequest, attemptId: 'b' });
    await bench.clock.tickAsync(1000);
    stopHeartbeats();
    t.is(heldKvBytes(bench), 0);
    t.false(bench.engine.calls.includes('cancel b'));
  },
);

// A transfer still reads the export when it expires. The engine keeps it for as long, and cancelling the
// attempt would abort the transfer.
test.serial('an expired export that is still read is kept for a grace period', async (t) => {
  const bench = await startBench(t, { keptForMs: 300 });
  bench.engine.faults.keepsExports = true;
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'a', { purpose: 'prefill' });
  void bench.agent.handlers.prefill(prefillRequest);
  await bench.clock.tickAsync(1000);
  t.false(bench.engine.calls.includes('cancel a'));
  t.is(heldKvBytes(bench), 10);
  bench.engine.holdings.delete('a');
  await bench.clock.tickAsync(100);
  t.is(heldKvBytes(bench), 0);

  await reserve(bench, 'b', { purpose: 'prefill' });
  void bench.agent.handlers.prefill({ ...prefillRequest, attemptId: 'b' });
  await bench.clock.tickAsync(3000);
  stopHeartbeats();
  t.true(bench.engine.calls.includes('cancel b'));
  t.is(bench.engine.heldKvBytes(), 0);
});

test.serial('cancelled during its transfer', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a', { source: transferSource });
  await bench.clock.tickAsync(20);
  t.is(bench.engine.holdings.get('a')?.phase, 'import');
  await cancel(bench, 'a');
  await bench.clock.tickAsync(10);
  await stream.done;
  t.like(stream.frames[0], { kind: 'failed', reason: 'cancelled', notRun: true });
  t.is(heldKvBytes(bench), 0);
  t.is(bench.engine.heldKvBytes(), 0);
  t.false(bench.engine.calls.includes('decode a'));
});

test.serial('cancelled during its response', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(100);
  await cancel(bench, 'a');
  await bench.clock.tickAsync(10);
  await stream.done;
  t.like(stream.frames.at(-1), { kind: 'failed', reason: 'cancelled', notRun: false });
  t.is(heldKvBytes(bench), 0);
  t.is(bench.engine.heldKvBytes(), 0);
});

test.serial('the connection closes during the response', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(100);
  stream.disconnect();
  await bench.clock.tickAsync(10);
  await stream.done;
  t.is(heldKvBytes(bench), 0);
  t.is(bench.engine.heldKvBytes(), 0);
});

test.serial('another entry cannot cancel the attempt', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  await bench.agent.handlers.cancel({ entryId: 'entry-2', attemptId: 'a' });
  t.is(heldKvBytes(bench), 100);
});

// The engine refuses to cancel for a while. The memory is still in use, so the lease table has to count it as
// held; the cancellation is repeated until the engine no longer lists the attempt.
test.serial('a cancellation that fails is repeated, and the memory counts as held', async (t) => {
  const bench = await startBench(t, { capacityKvBytes: 100 });
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(50);
  bench.engine.faults.cancel = 'fails';
  stream.disconnect();
  await bench.clock.tickAsync(1000);
  t.is(heldKvBytes(bench), 100);
  t.true(bench.engine.calls.filter((call) => call === 'cancel a').length >= 3);
  bench.engine.faults.cancel = 'none';
  await bench.clock.tickAsync(500);
  t.is(heldKvBytes(bench), 0);
  t.is((await reserve(bench, 'b')).kind, 'granted');
});

// The cancellation takes effect, but its response is lost. The engine's list shows that the memory is free
// without waiting for the response.
test.serial(
  'a cancellation whose response is lost is confirmed by the list of the engine',
  async (t) => {
    const bench = await startBench(t);
    await reserve(bench, 'a');
    const stream = openStream(bench, 'a');
    await bench.clock.tickAsync(50);
    bench.engine.faults.cancel = 'answer-lost';
    stream.disconnect();
    await bench.clock.tickAsync(400);
    t.is(heldKvBytes(bench), 0);
  },
);

// The entry's machine fails during a response, so that no connection closes. The heartbeats stop, and the
// engine's memory has to be free within 2 s.
test.serial('memory is free within 2 s after the entry has failed', async (t) => {
  const bench = await startBench(t);
  const stopHeartbeats = startHeartbeats(bench);
  await reserve(bench, 'a', { maxOutputTokens: 900 });
  await reserve(bench, 'unused', { maxOutputTokens: 20 });
  void openStream(bench, 'a', { maxOutputTokens: 900 });
  await bench.clock.tickAsync(3000);
  t.is(bench.engine.holdings.size, 1);
  stopHeartbeats();
  await bench.clock.tickAsync(1990);
  t.is(bench.engine.heldKvBytes(), 0);
  t.is(heldKvBytes(bench), 0);
});

// The same, with an engine that does not respond to the first cancellation.
test.serial(
  'memory is free within 2 s even if the response to a cancellation is lost',
  async (t) => {
    const bench = await startBench(t);
    const stopHeartbeats = startHeartbeats(bench);
    await reserve(bench, 'a', { maxOutputTokens: 900 });
    void openStream(bench, 'a', { maxOutputTokens: 900 });
    await bench.clock.tickAsync(800);
    stopHeartbeats();
    bench.engine.faults.cancel = 'answer-lost';
    await bench.clock.tickAsync(1990);
    t.is(bench.engine.heldKvBytes(), 0);
    t.is(heldKvBytes(bench), 0);
  },
);

// After a restart of the agent the engine still runs streams of the earlier process that nobody reads. Their
// memory counts as held until they are cancelled, after a short grace period.
test.serial('streams of an earlier process are cancelled', async (t) => {
  const bench = await startBench(t, {
    capacityKvBytes: 100,
    prepareEngine: ({ holdings }) =>
      holdings.set('left', { attemptId: 'left', phase: 'decode', heldKvBytes: 60 }),
  });
  t.is(heldKvBytes(bench), 60);
  const waiting = reserve(bench, 'a');
  await bench.clock.tickAsync(200);
  t.is(bench.engine.heldKvBytes(), 60);
  await bench.clock.tickAsync(300);
  t.is(bench.engine.heldKvBytes(), 0);
  t.is((await waiting).kind, 'granted');
});

test.serial(
  'reconciliation finds a stream whose cancellation overtook its decode call',
  async (t) => {
    // The decode call reaches the engine after its cancellation: the engine then runs a stream that is not in
    // the lease table, and its memory is lost until the table is compared with the engine's list.
    const bench = await startBench(t);
    bench.engine.holdings.set('late', { attemptId: 'late', phase: 'decode', heldKvBytes: 50 });
    await bench.clock.tickAsync(1600);
    t.is(bench.engine.heldKvBytes(), 0);
    t.is(heldKvBytes(bench), 0);
  },
);

function isToken(frame: StreamFrame): boolean {
  return frame.kind === 'tokens';
}

test.serial('no frame follows a cancellation', async (t) => {
  const bench = await startBench(t);
  await reserve(bench, 'a');
  const stream = openStream(bench, 'a');
  await bench.clock.tickAsync(100);
  await cancel(bench, 'a');
  const tokensBefore = stream.frames.filter(isToken).length;
  await bench.clock.tickAsync(500);
  t.is(stream.frames.filter(isToken).length, tokensBefore);
});
