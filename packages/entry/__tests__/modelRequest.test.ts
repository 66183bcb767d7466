import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import type { ClaimStore } from '@bluebellhitch/objects';
import type { StreamFrame } from '@bluebellhitch/protocol';
import {
  createFakeAgent,
  never,
  endOf,
  refusal,
  tokenAt,
  tokens,
  completeResponse,
  words,
  type FakeAgent,
} from './support/fakeAgents';
import { chat, createOpenClaims, eventsOf, startHarness } from './support/harness';

const service = 'draft-models';
const atMostOnce = { headers: { 'x-no-repeat': 'true', 'idempotency-key': 'letter-1' } };
const longPrompt = { messages: [{ role: 'user', content: 'bond history '.repeat(200) }] };

const pair = (): [FakeAgent, FakeAgent] => [
  createFakeAgent({ id: 'agent-1', service }),
  createFakeAgent({ id: 'agent-2', service }),
];

/** Makes the agent that streams first produce the given frames; later streams are complete. */
function setFirstStream(agents: FakeAgent[], frames: FakeAgent['frames']): void {
  let started = false;
  agents.forEach((agent) => {
    agent.frames = (request, signal) => {
      const isFirst = !started;
      started = true;
      return isFirst ? frames(request, signal) : completeResponse(request);
    };
  });
}

const textOf = (text: string) =>
  eventsOf(text)
    .flatMap((event) => (event as { choices?: { delta: { content?: string } }[] }).choices ?? [])
    .map(({ delta }) => delta.content ?? '')
    .join('');

const heldCount = (agents: FakeAgent[]) => agents.reduce((total, { held }) => total + held.size, 0);

function recordClaims(overrides: Partial<ClaimStore> = {}) {
  const ends: string[] = [];
  const claims: ClaimStore = {
    ...createOpenClaims(),
    finish: (_claim, state) => {
      ends.push(state);
      return okAsync(undefined);
    },
    release: () => {
      ends.push('released');
      return okAsync(undefined);
    },
    ...overrides,
  };
  return { claims, ends };
}

test('prefills a long prompt on a prefill worker and has its KV cache transferred', async (t) => {
  const decode = createFakeAgent({ id: 'decode-1', service, role: 'decode' });
  const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
  let heldAfterFirstToken: number | undefined;
  decode.frames = async function* watched(request): AsyncGenerator<StreamFrame> {
    yield* tokens(request, 2);
    heldAfterFirstToken = prefill.held.size;
    yield* completeResponse({ ...request, emitted: { tokenCount: 2, text: '' } });
  };
  const { address } = await startHarness(t, { agents: [decode, prefill] });
  const response = await chat(address, longPrompt);
  t.is(response.status, 200);
  t.is(heldAfterFirstToken, 0, 'the export is released as soon as it has been used');
  t.like(decode.streamed[0]?.source, { kind: 'transfer', exportId: 'export' });
  t.is(heldCount([decode, prefill]), 0, 'the prefill worker is notified when its result was used');
  t.is(prefill.cancelled.length, 1);
});

test('prefills a short prompt on the decode worker', async (t) => {
  const decode = createFakeAgent({ id: 'decode-1', service, role: 'decode' });
  const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
  const { address } = await startHarness(t, { agents: [decode, prefill] });
  await chat(address);
  t.deepEqual(decode.streamed[0]?.source, { kind: 'local' });
});

// The worker dies after two tokens have reached the caller. Without a continuation the caller would have
// an incomplete response; with a restart it would get the first words twice. The entry lets another worker
// continue after the emitted tokens.
test('continues on another worker after the emitted tokens when a worker dies', async (t) => {
  const agents = pair();
  setFirstStream(agents, (request) => tokens(request, 2));
  const { address } = await startHarness(t, { agents });
  const response = await chat(address, { stream: true });
  const text = await response.text();
  t.is(textOf(text), words.join(''));
  t.is(eventsOf(text).at(-1), '[DONE]');
  const resumed = agents
    .flatMap(({ streamed }) => streamed)
    .find(({ emitted }) => emitted.tokenCount > 0);
  t.deepEqual(resumed?.emitted, { tokenCount: 2, text: 'one two ' });
  t.is(heldCount(agents), 0);
});

const faults: Record<string, FakeAgent['frames']> = {
  'ends without its end marker': (request) => tokens(request, 2),
  'skips a token': async function* gap(request): AsyncGenerator<StreamFrame> {
    yield tokenAt(request.attemptId, 0);
    yield tokenAt(request.attemptId, 2);
    yield endOf(request);
  },
  'has a wrong total in its end marker': async function* mismatch(
    request,
  ): AsyncGenerator<StreamFrame> {
    yield tokenAt(request.attemptId, 0);
    yield endOf(request);
  },
};

// A worker's response is broken and no other worker is left. The caller has received a part of it already
// and must get an explicit error instead of the end marker, or it would take that part as complete.
Object.entries(faults).forEach(([name, frames]) => {
  test(`a response that ${name} ends in an error event`, async (t) => {
    const agent = createFakeAgent({ id: 'agent-1', service });
    agent.frames = frames;
    const { address } = await startHarness(t, { agents: [agent] });
    const text = await (await chat(address, { stream: true })).text();
    const events = eventsOf(text);
    t.false(events.includes('[DONE]'));
    t.like(events.at(-1), { error: { reason: 'incomplete-answer', notRun: false } });
    t.is(heldCount([agent]), 0);
  });
});

// Late frames of another attempt arrive within this response, and frames are repeated. If forwarded, they
// would put another caller's words into it. They are dropped by attempt id and offset.
test('drops foreign and repeated frames', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  agent.frames = async function* noisy(request): AsyncGenerator<StreamFrame> {
    yield { ...tokenAt('another-attempt', 0), text: 'FOREIGN' } as StreamFrame;
    yield tokenAt(request.attemptId, 0);
    yield tokenAt(request.attemptId, 0);
    yield tokenAt(request.attemptId, 1);
    yield tokenAt(request.attemptId, 2);
    yield tokenAt(request.attemptId, 3);
    yield endOf(request);
    yield { ...tokenAt(request.attemptId, 4), text: 'LATE' } as StreamFrame;
  };
  const { address } = await startHarness(t, { agents: [agent] });
  t.is(textOf(await (await chat(address, { stream: true })).text()), words.join(''));
});

// A worker starts a graceful stop while the instance list still shows it as live. Each further request
// sent to it would cost a round trip, so the first refusal removes it from the entry's view.
test('drops a leaving worker on its first refusal and serves the request on another worker', async (t) => {
  const agents = pair();
  agents[0].reserve = () => refusal('leaving');
  agents[1].bid = () => ({ ...bidOf(agents[1]), usableInMs: 50 });
  const { address, left } = await startHarness(t, { agents });
  const response = await chat(address);
  t.is(response.status, 200);
  t.deepEqual(left, ['agent-1']);
  t.is(agents[1].streamed.length, 1);
});

function bidOf(agent: FakeAgent) {
  return {
    ...createFakeAgent({ id: agent.instance.id, service }).bid(),
    cachedPrefixTokens: 0,
  } as Extract<ReturnType<FakeAgent['bid']>, { incarnation: string }>;
}

test('refuses at once, as not run, when no worker takes the request', async (t) => {
  const agents = pair();
  agents.forEach((agent) => {
    agent.reserve = () => refusal('queue-full');
  });
  const { address } = await startHarness(t, { agents });
  const response = await chat(address);
  t.is(response.status, 503);
  t.is(response.headers.get('content-type'), 'application/problem+json');
  t.truthy(response.headers.get('retry-after'));
  t.like(await response.json(), { reason: 'queue-full', notRun: true });
});

test('never sends the request again to a server that failed it', async (t) => {
  const agents = pair();
  agents.forEach((agent) => {
    agent.frames = (request) => tokens(request, 0);
  });
  const { address } = await startHarness(t, { agents });
  const response = await chat(address);
  t.like(await response.json(), { notRun: 'unknown' });
  t.true(agents.every(({ streamed }) => streamed.length <= 1));
});

test('takes the claim of at-most-once work after the reservation and before the dispatch', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  const order: string[] = [];
  const open = createOpenClaims();
  const { claims, ends } = recordClaims({
    take: (request) => {
      order.push(`claim, ${agent.held.size} reserved, ${agent.streamed.length} dispatched`);
      return open.take(request);
    },
  });
  const { address } = await startHarness(t, { agents: [agent], claims });
  const response = await chat(address, {}, atMostOnce);
  t.is(response.status, 200);
  t.deepEqual(order, ['claim, 1 reserved, 0 dispatched']);
  t.deepEqual(ends, ['ran']);
});

// The worker dies while it runs a request that must run at most once. Another run could repeat its effect
// (a letter sent twice), so the caller gets an error that says it may have run, and the claim is kept.
test('never runs at-most-once work again after its dispatch', async (t) => {
  const agents = pair();
  setFirstStream(agents, (request) => tokens(request, 0));
  const { claims, ends } = recordClaims();
  const { address } = await startHarness(t, { agents, claims });
  const response = await chat(address, {}, atMostOnce);
  t.is(response.status, 502);
  t.like(await response.json(), { notRun: 'unknown' });
  t.is(agents[0].streamed.length + agents[1].streamed.length, 1);
  t.deepEqual(ends, ['unknown']);
});

test('releases the claim of at-most-once work that the worker proved not run', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  agent.frames = async function* refuse({ attemptId }): AsyncGenerator<StreamFrame> {
    yield {
      ...refusal('no-capacity'),
      kind: 'failed',
      attemptId,
      backendDied: false,
    };
  };
  const { claims, ends } = recordClaims();
  const { address } = await startHarness(t, { agents: [agent], claims });
  const response = await chat(address, {}, atMostOnce);
  t.like(await response.json(), { notRun: true });
  t.deepEqual(ends, ['released']);
});

test('answers a duplicate of at-most-once work with its known state and does not run it', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  const { claims, ends } = recordClaims({
    take: () => okAsync({ kind: 'held', state: 'ran', requestId: 'request-0' }),
  });
  const { address } = await startHarness(t, { agents: [agent], claims });
  const response = await chat(address, {}, atMostOnce);
  t.is(response.status, 409);
  const problem = (await response.json()) as { detail: string; notRun: unknown };
  t.regex(problem.detail, /request-0 .* has run/);
  t.false(problem.notRun);
  t.is(agent.streamed.length, 0);
  t.is(heldCount([agent]), 0);
  t.deepEqual(ends, []);
});

test('refuses at-most-once work as not run while claims cannot be taken', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  const { claims } = recordClaims({
    take: () => errAsync({ kind: 'unavailable', detail: 'platform down', claimMayStay: false }),
  });
  const { address } = await startHarness(t, { agents: [agent], claims });
  const response = await chat(address, {}, atMostOnce);
  t.is(response.status, 503);
  t.like(await response.json(), { reason: 'claim-unavailable', notRun: true });
  t.is((await chat(address)).status, 200, 'other requests are still served');
});

// The entry is paused after it took the claim, for longer than claims last, and another entry may have run
// the request meanwhile. By the entry's own clock the claim is too old, so it must not dispatch.
test('does not dispatch under a claim that is too old', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  const { claims } = recordClaims({
    take: ({ key, requestId, attemptId }) =>
      okAsync({ kind: 'taken', claim: { key, requestId, attemptId, dispatchBeforeMs: 0 } }),
  });
  const { address } = await startHarness(t, { agents: [agent], claims });
  const response = await chat(address, {}, atMostOnce);
  t.like(await response.json(), { notRun: true });
  t.is(agent.streamed.length, 0);
});

test('repeatable requests with one key share a run, and both get the complete response', async (t) => {
  const agents = pair();
  let release: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    release = resolve;
  });
  agents.forEach((agent) => {
    agent.frames = async function* gated(request): AsyncGenerator<StreamFrame> {
      yield* tokens(request, 1);
      await gate;
      yield* completeResponse({ ...request, emitted: { tokenCount: 1, text: '' } });
    };
  });
  const { address } = await startHarness(t, { agents });
  const init = { headers: { 'idempotency-key': 'draft-1' } };
  const first = await chat(address, { stream: true }, init);
  const second = await chat(address, { stream: true }, init);
  release();
  t.is(textOf(await first.text()), words.join(''));
  t.is(textOf(await second.text()), words.join(''));
  t.is(agents[0].streamed.length + agents[1].streamed.length, 1);
});

// A request crashes each server that runs it; with unlimited retries it would take down the whole pool.
// After two strikes it is not sent to a third server, and its caller's next try is refused at admission.
test('stops a request that crashes servers after two strikes', async (t) => {
  const agents = ['agent-1', 'agent-2', 'agent-3'].map((id) => createFakeAgent({ id, service }));
  agents.forEach((agent) => {
    agent.frames = async function* crash({ attemptId }): AsyncGenerator<StreamFrame> {
      yield {
        ...refusal('backend-failed', 'unknown'),
        kind: 'failed',
        attemptId,
        backendDied: true,
      };
    };
  });
  const { address } = await startHarness(t, { agents });
  const first = await chat(address);
  t.like(await first.json(), { notRun: 'unknown' });
  const again = await chat(address);
  t.is(again.status, 422);
  t.like(await again.json(), { reason: 'quarantined', notRun: true });
  t.is(agents.filter(({ streamed }) => streamed.length > 0).length, 2);
});

// A server dies with four requests in flight, so all four get a strike; two servers are left. Any of the
// four may be the cause, so no two may run on the same server. Refusing those without a free server would
// fail up to three requests that did nothing wrong; instead they wait for each other.
test('requests with strikes wait for a server without another one', async (t) => {
  const agents = ['agent-1', 'agent-2', 'agent-3'].map((id) => createFakeAgent({ id, service }));
  const [first, ...others] = agents as [FakeAgent, FakeAgent, FakeAgent];
  let crashServer: () => void = () => undefined;
  const serverCrashed = new Promise<void>((resolve) => {
    crashServer = resolve;
  });
  first.frames = async function* dying(request): AsyncGenerator<StreamFrame> {
    yield* tokens(request, 1);
    await serverCrashed;
    yield {
      ...refusal('backend-failed', false),
      kind: 'failed',
      attemptId: request.attemptId,
      backendDied: true,
    };
  };
  let maxConcurrent = 0;
  others.forEach((agent) => {
    const { bid } = agent;
    agent.bid = () => ({
      ...(bid() as Extract<ReturnType<typeof bid>, { load: object }>),
      usableInMs: 100,
    });
    let running = 0;
    agent.frames = async function* slow(request): AsyncGenerator<StreamFrame> {
      running += 1;
      maxConcurrent = Math.max(maxConcurrent, running);
      try {
        await new Promise((resolve) => {
          setTimeout(resolve, 30);
        });
        yield* completeResponse(request);
      } finally {
        running -= 1;
      }
    };
  });
  const { address } = await startHarness(t, { agents });
  const prompts = ['a', 'b', 'c', 'd'];
  const responses = await Promise.all(
    prompts.map((content) =>
      chat(address, { stream: true, messages: [{ role: 'user', content }] }),
    ),
  );
  t.is(first.streamed.length, 4);
  crashServer();
  const texts = await Promise.all(responses.map((response) => response.text()));
  t.deepEqual(texts.map(textOf), Array(4).fill(words.join('')));
  t.is(maxConcurrent, 1);
});

// The engines of the two workers that this entry prefers restart, and their agents reply that they cannot
// serve now. The other workers must be asked before the request is refused.
test('asks other workers if those asked first cannot serve', async (t) => {
  const agents = ['agent-1', 'agent-2'].map((id) => createFakeAgent({ id, service }));
  const remote = createFakeAgent({ id: 'agent-3', service, dataCentre: 'salem-hall' });
  agents.forEach((agent) => {
    const { bid } = agent;
    agent.bid = () => ({
      ...(bid() as Extract<ReturnType<typeof bid>, { load: object }>),
      usableInMs: undefined,
    });
  });
  const { address } = await startHarness(t, { agents: [...agents, remote] });
  t.is((await chat(address)).status, 200);
  t.is(remote.streamed.length, 1);
});

// The workers of this data centre are paused: they accept connections but never reply. No request was
// dispatched, so asking others is not a retry, and six concurrent callers must not exhaust the retry budget.
test('asks other workers if none replies in time', async (t) => {
  const paused = pair();
  paused.forEach((agent) => {
    agent.bid = () => never() as never;
  });
  const remote = createFakeAgent({ id: 'agent-3', service, dataCentre: 'salem-hall' });
  const { address } = await startHarness(t, { agents: [...paused, remote] });
  const responses = await Promise.all(Array.from({ length: 6 }, () => chat(address)));
  t.deepEqual(
    responses.map(({ status }) => status),
    Array(6).fill(200),
  );
});

// A burst reaches busy machines, and every bid takes longer than the normal wait. If late bids were treated
// as missing, nearly all requests would be refused while engines are idle (96 of 100 in a trial). Late bids
// count as long as there are no earlier ones.
test('serves requests whose bids are all late', async (t) => {
  const agents = pair();
  agents.forEach((agent) => {
    const { bid } = agent;
    agent.bid = () =>
      new Promise((resolve) => {
        setTimeout(() => resolve(bid()), 300);
      }) as never;
  });
  const { address } = await startHarness(t, { agents });
  const responses = await Promise.all(Array.from({ length: 6 }, () => chat(address)));
  t.deepEqual(
    responses.map(({ status }) => status),
    Array(6).fill(200),
  );
});
