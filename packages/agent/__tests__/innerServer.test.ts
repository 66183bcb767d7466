import { request, type IncomingMessage } from 'node:http';
import test from 'ava';
import type { EngineChunk } from '@bluebellhitch/engine';
import { delay } from '@bluebellhitch/shared';
import { parseFrames, startModelBench, waitUntil } from './helpers/innerBench';
import { reservation } from './helpers/agentBench';

function streamBody(attemptId: string, maxOutputTokens = 90): string {
  return JSON.stringify({
    entryId: 'entry-1',
    attemptId,
    model: 'draft-models',
    prompt: 'x'.repeat(40),
    source: { kind: 'local' },
    maxOutputTokens,
    emitted: { tokenCount: 0, text: '' },
    priority: 5,
  });
}

test('streams a response as events', async (t) => {
  const { client, server } = await startModelBench(t);
  t.is((await client.reserve.mutate(reservation('a'))).kind, 'granted');
  const response = await fetch(`${server.address}/streams`, {
    method: 'POST',
    body: streamBody('a'),
  });
  t.is(response.headers.get('content-type'), 'text/event-stream');
  const frames = parseFrames(await response.text());
  t.is(frames.length, 91);
  t.like(frames.at(-1), { kind: 'end', offset: 90 });
});

test('refuses a body that is not a stream request', async (t) => {
  const { server } = await startModelBench(t);
  const bodies = ['{', '{"entryId":"e"}', ''];
  const statuses = await Promise.all(
    bodies.map(async (body) =>
      fetch(`${server.address}/streams`, { method: 'POST', body }).then(({ status }) => status),
    ),
  );
  t.deepEqual(statuses, [400, 400, 400]);
});

// The entry's connection breaks during a response. The engine's memory must be freed at once, without a
// message and before the lease lapses.
test('a closed connection cancels the stream', async (t) => {
  const { client, server, engine } = await startModelBench(t);
  await client.reserve.mutate(reservation('a', { maxOutputTokens: 900 }));
  const connection = new AbortController();
  const response = await fetch(`${server.address}/streams`, {
    method: 'POST',
    body: streamBody('a', 900),
    signal: connection.signal,
  });
  await response.body?.getReader().read();
  t.is(engine.holdings.size, 1);
  connection.abort();
  t.true(await waitUntil(() => engine.holdings.size === 0, 1000));
});

// The same for a queued request, which must not keep its place in the queue.
test('a closed connection removes its request from the queue', async (t) => {
  const { agent, client } = await startModelBench(t, { capacityKvBytes: 100 });
  await client.reserve.mutate(reservation('running'));
  const connection = new AbortController();
  const waiting = client.reserve.mutate(reservation('a'), { signal: connection.signal });
  t.true(await waitUntil(() => agent.load().queuedCount === 1));
  connection.abort();
  await t.throwsAsync(waiting);
  t.true(await waitUntil(() => agent.load().queuedCount === 0, 500));
});

// A receiver that does not read must not make the agent buffer the response without limit: the engine's
// stream is read only as fast as the receiver takes it.
test('a slow receiver slows the engine down', async (t) => {
  const { client, server, engine, agent } = await startModelBench(t);
  let produced = 0;
  engine.faults.chunks = (function* bigChunks(): Generator<EngineChunk> {
    while (produced < 2000) {
      yield { kind: 'token', attemptId: 'a', offset: produced, text: 'x'.repeat(65_536) };
      produced += 1;
    }
  })();
  await client.reserve.mutate(reservation('a'));
  const call = request(`${server.address}/streams`, { method: 'POST' });
  call.end(streamBody('a'));
  const response = await new Promise<IncomingMessage>((resolve) => {
    call.on('response', resolve);
  });
  response.pause();
  t.true(await waitUntil(() => produced > 0));
  let producedUnread = 0;
  while (produced > producedUnread && produced < 1000) {
    producedUnread = produced;
    await delay(100);
  }
  t.is(produced, producedUnread);
  t.true(producedUnread < 1000);
  call.destroy();
  t.true(await waitUntil(() => engine.holdings.size === 0));
  t.true(await waitUntil(() => agent.load().activeCount === 0));
});

// The process stops while the last part of a response is still in transit to the entry.
test('closing lets responses in progress complete', async (t) => {
  const { client, server } = await startModelBench(t);
  await client.reserve.mutate(reservation('a'));
  const response = await fetch(`${server.address}/streams`, {
    method: 'POST',
    body: streamBody('a'),
  });
  const closed = server.close(5000);
  t.like(parseFrames(await response.text()).at(-1), { kind: 'end', offset: 90 });
  await closed;
  await t.throwsAsync(fetch(`${server.address}/streams`, { method: 'POST' }));
});

test('closing aborts responses that exceed the grace period', async (t) => {
  const { client, server, engine } = await startModelBench(t, { stepMs: 100 });
  await client.reserve.mutate(reservation('a'));
  const response = await fetch(`${server.address}/streams`, {
    method: 'POST',
    body: streamBody('a'),
  });
  await server.close(50);
  await t.throwsAsync(response.text());
  t.true(await waitUntil(() => engine.holdings.size === 0));
});
