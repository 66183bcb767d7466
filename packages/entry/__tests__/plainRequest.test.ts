import { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import test from 'ava';
import { delay } from '@bluebellhitch/shared';
import {
  createFakeAgent,
  never,
  plainResponse,
  refusal,
  type FakeAgent,
} from './support/fakeAgents';
import { createOpenClaims, eventually, startHarness } from './support/harness';

const service = 'counter-app';
const agentIds = ['plain-1', 'plain-2'];
const pair = () => agentIds.map((id) => createFakeAgent({ id, service, role: 'plain' }));
const callCount = (agents: FakeAgent[]) =>
  agents.reduce((total, { plainCalls }) => total + plainCalls.length, 0);
const receipt = { method: 'POST', body: 'receipt', headers: { 'idempotency-key': 'receipt-1' } };

/** Makes the agent that is called first respond as given, once. */
function setFirstCall(agents: FakeAgent[], plain: FakeAgent['plain']): void {
  let called = false;
  agents.forEach((agent) => {
    const original = agent.plain;
    agent.plain = (call) => {
      const isFirst = !called;
      called = true;
      return isFirst ? plain(call) : original(call);
    };
  });
}

const refusedResponse = (reason: 'leaving' | 'queue-full' | 'backend-failed', notRun: boolean) => ({
  ...plainResponse(503, 'refused'),
  refusal: refusal(reason, notRun ? true : 'unknown'),
});

test('tries another server after a proven not run, with the complete body', async (t) => {
  const agents = pair();
  setFirstCall(agents, () => refusedResponse('leaving', true));
  const { address, left } = await startHarness(t, { agents });
  const response = await fetch(`${address}/counter`, { method: 'POST', body: 'amount' });
  t.is(response.status, 200);
  t.is(left.length, 1);
  t.deepEqual(
    agents.flatMap(({ plainCalls }) => plainCalls.map(({ body }) => String(body))),
    ['amount', 'amount'],
  );
});

test('tries another server when a connection broke and the route may be repeated', async (t) => {
  const agents = pair();
  setFirstCall(agents, () => ({ kind: 'lost', detail: 'reset' }));
  const { address } = await startHarness(t, { agents });
  t.is((await fetch(`${address}/counter`)).status, 200);
  t.is(callCount(agents), 2);
});

// A plain server is paused: its kernel accepts the call, but no response comes, and the caller would wait
// for the request's full deadline of a minute. When the response head is later than the document allows, a
// repeatable lookup goes to another server; a receipt is reported as unknown, since it may have been written.
test('a call whose response does not start in time is abandoned', async (t) => {
  const agents = pair();
  const stalled: FakeAgent['plain'] = async (call) => {
    await delay(Math.min(call.headTimeoutMs, 5_000));
    return { kind: 'timeout', detail: 'no response in time' };
  };
  setFirstCall(agents, stalled);
  const document = { limits: { firstByteTimeoutMs: 100 } };
  const { address } = await startHarness(t, { agents, document });
  const startedAtMs = performance.now();
  t.is((await fetch(`${address}/counter`)).status, 200);
  agents.forEach((agent) => Object.assign(agent, { plain: stalled }));
  const response = await fetch(`${address}/receipts`, receipt);
  t.like(await response.json(), { notRun: 'unknown' });
  t.true(performance.now() - startedAtMs < 4_000);
});

// The connection breaks after a receipt was sent to its server. The receipt may have been written, and a
// second one would charge the customer twice, so the caller gets an error that says it may have run.
test('never sends a receipt again after its dispatch', async (t) => {
  const agents = pair();
  setFirstCall(agents, () => ({ kind: 'lost', detail: 'reset' }));
  const { address } = await startHarness(t, { agents });
  const response = await fetch(`${address}/receipts`, receipt);
  t.is(response.status, 502);
  t.like(await response.json(), { notRun: 'unknown' });
  t.is(callCount(agents), 1);
});

// A leaving server refuses the slot for a receipt. Nothing has been dispatched yet, so another server may
// run it under the same claim.
test('asks another server for a slot before the dispatch of a receipt', async (t) => {
  const agents = pair();
  let claimCount = 0;
  const open = createOpenClaims();
  const claims = {
    ...open,
    take: (request: Parameters<typeof open.take>[0]) => {
      claimCount += 1;
      return open.take(request);
    },
  };
  let refused = false;
  agents.forEach((agent) => {
    const { reserve } = agent;
    agent.reserve = (attemptId) => {
      const isFirst = !refused;
      refused = true;
      return isFirst ? refusal('leaving') : reserve(attemptId);
    };
  });
  const { address } = await startHarness(t, { agents, claims });
  t.is((await fetch(`${address}/receipts`, receipt)).status, 200);
  t.is(claimCount, 1);
  t.is(callCount(agents), 1);
});

test('streams a large body to the server', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = async ({ body }) =>
    plainResponse(200, String((await text(body as Readable)).length));
  const { address } = await startHarness(t, { agents: [agent] });
  const body = 'x'.repeat(1_000_000);
  const response = await fetch(`${address}/counter`, { method: 'POST', body });
  t.is(await response.text(), '1000000');
});

test('sends a streamed body again from its start while all of it is buffered', async (t) => {
  const agents = pair();
  const receivedBodies: string[] = [];
  agents.forEach((agent) => {
    agent.plain = async ({ body }) => {
      receivedBodies.push(await text(body as Readable));
      return receivedBodies.length === 1
        ? { kind: 'lost', detail: 'reset' }
        : plainResponse(200, 'done');
    };
  });
  const { address } = await startHarness(t, { agents });
  const body = Readable.from([Buffer.from('first '), Buffer.from('second')]);
  const response = await fetch(`${address}/counter`, {
    method: 'POST',
    body: Readable.toWeb(body) as ReadableStream,
    duplex: 'half',
  });
  t.is(await response.text(), 'done');
  t.deepEqual(receivedBodies, ['first second', 'first second']);
});

test('does not retry once a streamed body is larger than the replay buffer', async (t) => {
  const agents = pair();
  agents.forEach((agent) => {
    agent.plain = async ({ body }) => {
      await text(body as Readable);
      return { kind: 'lost', detail: 'reset' };
    };
  });
  const { address } = await startHarness(t, { agents });
  const body = Readable.from([Buffer.alloc(200_000)]);
  const response = await fetch(`${address}/counter`, {
    method: 'POST',
    body: Readable.toWeb(body) as ReadableStream,
    duplex: 'half',
  });
  t.is(response.status, 502);
  t.is(callCount(agents), 1);
});

// The server dies in the middle of its response. On a clean end, the caller would take the partial response
// as complete. Its connection is aborted instead, which every HTTP client reports as an error.
test('aborts the connection when a response breaks', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = () => ({
    ...plainResponse(200, ''),
    body: Readable.from(
      (async function* half() {
        yield 'half of ';
        throw new Error('the server died');
      })(),
    ),
  });
  const { address, ring } = await startHarness(t, { agents: [agent] });
  const response = await fetch(`${address}/counter`);
  await t.throwsAsync(response.text());
  await eventually(t, () => ring.recent(1)[0]?.outcome.startsWith('cut') ?? false);
});

test('a caller that disconnects ends the call at the server', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = () => never();
  const { address, callersApi } = await startHarness(t, { agents: [agent] });
  const caller = new AbortController();
  fetch(`${address}/counter`, { signal: caller.signal }).catch(() => undefined);
  await eventually(t, () => agent.plainCalls.length === 1);
  caller.abort();
  await eventually(t, () => agent.plainCalls[0]?.signal.aborted ?? false);
  await eventually(t, () => callersApi.activeCount() === 0);
});

test('responds at the deadline with the known state', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = () => never();
  const { address } = await startHarness(t, {
    agents: [agent],
    document: { limits: { requestTimeoutMs: 100 } },
  });
  const response = await fetch(`${address}/counter`);
  t.is(response.status, 504);
  t.like(await response.json(), { reason: 'deadline-exceeded', notRun: 'unknown' });
});

test('prefers the server with fewer calls from this entry', async (t) => {
  const agents = pair();
  const gates: (() => void)[] = [];
  agents.forEach((agent) => {
    agent.plain = () =>
      new Promise((resolve) => {
        gates.push(() => resolve(plainResponse(200, 'done')));
      });
  });
  const { address } = await startHarness(t, { agents });
  const responses = [fetch(`${address}/counter`)];
  await eventually(t, () => callCount(agents) === 1);
  responses.push(fetch(`${address}/counter`));
  await eventually(t, () => callCount(agents) === 2);
  t.deepEqual(
    agents.map(({ plainCalls }) => plainCalls.length),
    [1, 1],
  );
  gates.forEach((open) => open());
  await Promise.all(responses);
});

// A server has died while its agent runs and refuses each call at once, as not run. If it were tried for
// each lookup, it would exhaust the retry budget within seconds, and callers would get 503 responses while
// another server is idle.
test('skips a server whose agent reports that it has died', async (t) => {
  const agents = pair();
  (agents[0] as FakeAgent).plain = () => refusedResponse('backend-failed', true);
  const { address } = await startHarness(t, { agents });
  const statuses: number[] = [];
  for (let count = 0; count < 20; count += 1) {
    statuses.push((await fetch(`${address}/counter`)).status);
  }
  t.deepEqual(statuses, Array(20).fill(200));
  t.true((agents[0] as FakeAgent).plainCalls.length <= 2);
});

test('uses an unhealthy server if no other is left', async (t) => {
  const [agent] = pair() as [FakeAgent];
  setFirstCall([agent], () => refusedResponse('backend-failed', true));
  const { address } = await startHarness(t, { agents: [agent] });
  t.is((await fetch(`${address}/counter`)).status, 502);
  t.is((await fetch(`${address}/counter`)).status, 200);
});
