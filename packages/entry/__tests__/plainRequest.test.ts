import { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import test from 'ava';
import { delay } from '@bluebellhitch/shared';
import { createFakeAgent, never, plainAnswer, refusal, type FakeAgent } from './support/fakeAgents';
import { createOpenClaims, eventually, startHarness } from './support/harness';

const service = 'counter-app';
const agentIds = ['plain-1', 'plain-2'];
const pair = () => agentIds.map((id) => createFakeAgent({ id, service, role: 'plain' }));
const callCount = (agents: FakeAgent[]) =>
  agents.reduce((total, { plainCalls }) => total + plainCalls.length, 0);
const receipt = { method: 'POST', body: 'receipt', headers: { 'idempotency-key': 'receipt-1' } };

/** Whichever agent is asked first behaves as told. */
function firstCall(agents: FakeAgent[], plain: FakeAgent['plain']): void {
  let called = false;
  agents.forEach((agent) => {
    const usual = agent.plain;
    agent.plain = (call) => {
      const isFirst = !called;
      called = true;
      return isFirst ? plain(call) : usual(call);
    };
  });
}

const refusedAnswer = (reason: 'leaving' | 'queue-full' | 'backend-failed', notRun: boolean) => ({
  ...plainAnswer(503, 'refused'),
  refusal: refusal(reason, notRun ? true : 'unknown'),
});

test('tries another server after a proven not run, with the body from its start', async (t) => {
  const agents = pair();
  firstCall(agents, () => refusedAnswer('leaving', true));
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
  firstCall(agents, () => ({ kind: 'lost', detail: 'reset' }));
  const { address } = await startHarness(t, { agents });
  t.is((await fetch(`${address}/counter`)).status, 200);
  t.is(callCount(agents), 2);
});

// A plain server is paused: its kernel takes the call, and no answer comes. The caller would wait for the
// request's whole deadline of a minute. The lookup goes to another server once the head of the answer is
// later than the document allows; a receipt is answered as unknown then, since it may have been written.
test('a server that does not begin its answer is given up', async (t) => {
  const agents = pair();
  const stalled: FakeAgent['plain'] = async (call) => {
    await delay(Math.min(call.headTimeoutMs, 5_000));
    return { kind: 'timeout', detail: 'no response in time' };
  };
  firstCall(agents, stalled);
  const document = { limits: { firstByteTimeoutMs: 100 } };
  const { address } = await startHarness(t, { agents, document });
  const startedAtMs = performance.now();
  t.is((await fetch(`${address}/counter`)).status, 200);
  agents.forEach((agent) => Object.assign(agent, { plain: stalled }));
  const answer = await fetch(`${address}/receipts`, receipt);
  t.like(await answer.json(), { notRun: 'unknown' });
  t.true(performance.now() - startedAtMs < 4_000);
});

// The connection breaks after a receipt was sent to its server. It may have been written: a second one
// would charge the customer twice. The caller is told that it may have run.
test('never sends a receipt again after its dispatch', async (t) => {
  const agents = pair();
  firstCall(agents, () => ({ kind: 'lost', detail: 'reset' }));
  const { address } = await startHarness(t, { agents });
  const response = await fetch(`${address}/receipts`, receipt);
  t.is(response.status, 502);
  t.like(await response.json(), { notRun: 'unknown' });
  t.is(callCount(agents), 1);
});

// A server that leaves refuses the slot of a receipt. Nothing was dispatched yet, so that another
// server may run it, under the one claim.
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

test('passes a large body on as it comes', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = async ({ body }) => plainAnswer(200, String((await text(body as Readable)).length));
  const { address } = await startHarness(t, { agents: [agent] });
  const body = 'x'.repeat(1_000_000);
  const response = await fetch(`${address}/counter`, { method: 'POST', body });
  t.is(await response.text(), '1000000');
});

test('sends a streamed body again from its start while all of it is kept', async (t) => {
  const agents = pair();
  const seen: string[] = [];
  agents.forEach((agent) => {
    agent.plain = async ({ body }) => {
      seen.push(await text(body as Readable));
      return seen.length === 1 ? { kind: 'lost', detail: 'reset' } : plainAnswer(200, 'done');
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
  t.deepEqual(seen, ['first second', 'first second']);
});

test('does not try again once a streamed body is larger than what is kept', async (t) => {
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

// The server dies in the middle of its answer. A caller that sees a clean end would take half a balance
// list for the whole. Its connection is cut instead, which every HTTP client reports.
test('cuts the connection when an answer breaks off', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = () => ({
    ...plainAnswer(200, ''),
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

test('a caller that hangs up ends the call at the server', async (t) => {
  const [agent] = pair() as [FakeAgent];
  agent.plain = () => never();
  const { address, side } = await startHarness(t, { agents: [agent] });
  const caller = new AbortController();
  fetch(`${address}/counter`, { signal: caller.signal }).catch(() => undefined);
  await eventually(t, () => agent.plainCalls.length === 1);
  caller.abort();
  await eventually(t, () => agent.plainCalls[0]?.signal.aborted ?? false);
  await eventually(t, () => side.activeCount() === 0);
});

test('answers at the deadline with what is known', async (t) => {
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

test('prefers the server with fewer of its own calls', async (t) => {
  const agents = pair();
  const gates: (() => void)[] = [];
  agents.forEach((agent) => {
    agent.plain = () =>
      new Promise((resolve) => {
        gates.push(() => resolve(plainAnswer(200, 'done')));
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

// A server is gone while its agent lives and refuses at once, as not run. Asked again for each lookup
// it would use the retry budget up within seconds, and customers would see 503 beside an idle server.
test('leaves out a server whose agent says that it is gone', async (t) => {
  const agents = pair();
  (agents[0] as FakeAgent).plain = () => refusedAnswer('backend-failed', true);
  const { address } = await startHarness(t, { agents });
  const statuses: number[] = [];
  for (let count = 0; count < 20; count += 1) {
    statuses.push((await fetch(`${address}/counter`)).status);
  }
  t.deepEqual(statuses, Array(20).fill(200));
  t.true((agents[0] as FakeAgent).plainCalls.length <= 2);
});

test('asks a doubtful server where no other is left', async (t) => {
  const [agent] = pair() as [FakeAgent];
  firstCall([agent], () => refusedAnswer('backend-failed', true));
  const { address } = await startHarness(t, { agents: [agent] });
  t.is((await fetch(`${address}/counter`)).status, 502);
  t.is((await fetch(`${address}/counter`)).status, 200);
});
