import test, { type ExecutionContext } from 'ava';
import { okAsync } from 'neverthrow';
import type { ClaimStore } from '@bluebellhitch/objects';
import type { AgentCallError } from '../src/agentApi';
import type { ProblemDocument } from '../src/problem';
import { createFakeAgent, plainResponse, refusal, type FakeAgent } from './support/fakeAgents';
import { chat, createOpenClaims, eventually, startHarness } from './support/harness';

const service = 'draft-models';
const longPrompt = { messages: [{ role: 'user', content: 'bond history '.repeat(200) }] };
/** They promise that the request has not run and never will. */
const promisingStatuses = [408, 421, 429, 503];
const lostReply: AgentCallError = { kind: 'lost', detail: 'the reply was lost' };

const streamCount = (agents: FakeAgent[]) => agents.flatMap(({ streamed }) => streamed).length;

/** Agents whose streams run and break off before their first frame. */
function createLosingAgents(count: number): FakeAgent[] {
  return Array.from({ length: count }, (_, index) => {
    const agent = createFakeAgent({ id: `agent-${index + 1}`, service });
    agent.frames = async function* lost() {
      yield* [];
    };
    return agent;
  });
}

async function problemOf(response: Response): Promise<ProblemDocument> {
  return (await response.json()) as ProblemDocument;
}

async function assertMayHaveRun(t: ExecutionContext, response: Response): Promise<void> {
  const problem = await problemOf(response);
  t.false(promisingStatuses.includes(response.status), `status ${response.status}`);
  t.is(problem.status, response.status);
  t.is(problem.notRun, 'unknown');
}

const declinedReservations: Record<string, FakeAgent['reserve']> = {
  'is refused': () => refusal('no-capacity'),
  'has no reply': () => lostReply,
};

// The prefill has ended and no answer can begin any more, but the refusal said both: 503, and that the request may have run.
(['random', 'prefill-first'] as const).forEach((policy) => {
  Object.entries(declinedReservations).forEach(([name, reserve]) => {
    test(`${policy}: a request whose decode reservation ${name} after its prefill has not run`, async (t) => {
      const decode = createFakeAgent({ id: 'decode-1', service, role: 'decode' });
      const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
      decode.reserve = reserve;
      const { address, context } = await startHarness(t, { agents: [decode, prefill] });
      context.runtimes.policy = policy;
      const response = await chat(address, longPrompt);
      t.is(response.status, 503);
      t.like(await problemOf(response), { status: 503, notRun: true });
      t.is(streamCount([decode, prefill]), 0);
      await eventually(t, () => decode.held.size + prefill.held.size === 0);
    });
  });
});

// The key of a request that was refused as not run was kept as that of one that may have run, so its repetition was refused.
test('the claim of a request that ended with its prefill is released', async (t) => {
  const decode = createFakeAgent({ id: 'decode-1', service, role: 'decode' });
  const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
  decode.reserve = () => refusal('no-capacity');
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
  };
  const { address, context } = await startHarness(t, { agents: [decode, prefill], claims });
  context.runtimes.policy = 'random';
  const headers = { 'x-no-repeat': 'true', 'idempotency-key': 'letter-1' };
  const response = await chat(address, longPrompt, { headers });
  t.is(response.status, 503);
  t.like(await problemOf(response), { notRun: true });
  t.deepEqual(ends, ['released']);
});

// The reply to the prefill is lost, so the engine may still be at work on the request.
test('a request whose prefill has no reply is not refused with a promise', async (t) => {
  const decode = createFakeAgent({ id: 'decode-1', service, role: 'decode' });
  const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
  prefill.prefill = () => lostReply;
  const { address } = await startHarness(t, { agents: [decode, prefill] });
  await assertMayHaveRun(t, await chat(address, longPrompt));
});

// Each attempt ran and lost its answer, and the last one was refused with 503 as its reason is the number of attempts.
test('a request is not refused with a promise when its last attempt has lost its answer', async (t) => {
  const agents = createLosingAgents(4);
  const { address } = await startHarness(t, { agents });
  const response = await chat(address);
  t.true(streamCount(agents) > 1);
  await assertMayHaveRun(t, response);
});

const secondAttempts: Record<string, (agent: FakeAgent) => void> = {
  'has no server with room': (agent) => {
    const { bid } = agent;
    agent.bid = () => ({ ...bid(), usableInMs: undefined });
  },
  'would come too late': (agent) => {
    agent.reserve = () => refusal('deadline-hopeless');
  },
  'gets no bid': (agent) => {
    agent.bid = () => lostReply;
  },
  'gets no reservation': (agent) => {
    agent.reserve = () => refusal('queue-full');
  },
  'finds servers that are leaving': (agent) => {
    agent.reserve = () => refusal('leaving');
  },
};

// The refusal of the second attempt was passed on as that of the request, which the first one had run.
Object.entries(secondAttempts).forEach(([name, changeAgent]) => {
  test(`a request that may have run is not refused with a promise if its second attempt ${name}`, async (t) => {
    const agents = createLosingAgents(3);
    agents.forEach((agent) => {
      agent.frames = async function* lost() {
        agents.forEach(changeAgent);
        yield* [];
      };
    });
    const { address } = await startHarness(t, { agents });
    const response = await chat(address);
    t.is(streamCount(agents), 1);
    await assertMayHaveRun(t, response);
  });
});

const laterPlainReplies: Record<string, FakeAgent['plain']> = {
  'is refused as not run': () => ({ ...plainResponse(503, ''), refusal: refusal('queue-full') }),
  'finds agents that are leaving': () => ({
    ...plainResponse(503, ''),
    refusal: refusal('leaving'),
  }),
  'cannot be sent': () => ({ kind: 'not-sent', detail: 'no connection' }),
};

// The first server ran the request and its answer was lost; what the next ones say holds for their attempts only.
Object.entries(laterPlainReplies).forEach(([name, reply]) => {
  test(`a plain request that may have run is not refused with a promise if its second attempt ${name}`, async (t) => {
    const agents = ['plain-1', 'plain-2', 'plain-3'].map((id) =>
      createFakeAgent({ id, service: 'counter-app', role: 'plain' }),
    );
    let ran = 0;
    agents.forEach((agent) => {
      agent.plain = (call) => {
        ran += 1;
        return ran === 1 ? lostReply : reply(call);
      };
    });
    const { address } = await startHarness(t, { agents });
    const response = await fetch(`${address}/counter`);
    t.true(ran > 1);
    await assertMayHaveRun(t, response);
  });
});
