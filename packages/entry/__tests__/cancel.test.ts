import test from 'ava';
import { ResultAsync } from 'neverthrow';
import type { ReserveReply, StreamFrame } from '@bluebellhitch/protocol';
import { createFakeAgent, never, tokens, untilAborted, type FakeAgent } from './support/fakeAgents';
import { chat, createOpenClaims, eventually, startHarness } from './support/harness';

const service = 'draft-models';
const longPrompt = { messages: [{ role: 'user', content: 'bond history '.repeat(200) }] };

interface Stage {
  /** Makes the request wait at this stage. */
  arrange: (decode: FakeAgent, prefill: FakeAgent) => void;
  /** Whether the request has reached this stage. */
  isReached: (decode: FakeAgent, prefill: FakeAgent) => boolean;
  body?: Record<string, unknown>;
  headers?: Record<string, string>;
}

let bidCount = 0;
let claimCount = 0;
let prefillCount = 0;

const stages: Record<string, Stage> = {
  'while bids are requested': {
    arrange: (decode) => {
      decode.bid = () => {
        bidCount += 1;
        return never() as never;
      };
    },
    isReached: () => bidCount > 0,
  },
  'while it waits for a reservation': {
    arrange: (decode) => {
      decode.reserve = () => never<ReserveReply>();
    },
    isReached: (decode) => decode.held.size === 1,
  },
  'during prefill': {
    arrange: (_decode, prefill) => {
      prefill.prefill = () => {
        prefillCount += 1;
        return never();
      };
    },
    isReached: () => prefillCount > 0,
    body: longPrompt,
  },
  'while the claim is taken': {
    arrange: () => undefined,
    isReached: () => claimCount > 0,
    headers: { 'x-no-repeat': 'true', 'idempotency-key': 'letter-1' },
  },
  'before the first token': {
    arrange: (decode) => {
      decode.frames = (_request, signal) => untilAborted(signal);
    },
    isReached: (decode) => decode.streamed.length === 1,
  },
  'before the first token after a transfer': {
    arrange: (decode) => {
      decode.frames = (_request, signal) => untilAborted(signal);
    },
    isReached: (decode) => decode.streamed.length === 1,
    body: longPrompt,
  },
  'in the middle of the stream': {
    arrange: (decode) => {
      decode.frames = async function* half(request, signal): AsyncGenerator<StreamFrame> {
        yield* tokens(request, 2);
        yield* untilAborted(signal);
      };
    },
    isReached: (decode) => decode.streamed.length === 1,
  },
};

// The caller disconnects while its request is at some stage. Without a cancel, a slot or a prefill result
// would stay reserved for a response that nobody reads. The entry must cancel at each agent that may hold
// something, also if the agent's grant has not arrived yet.
Object.entries(stages).forEach(([name, stage]) => {
  test.serial(`a caller that disconnects ${name} leaves nothing held`, async (t) => {
    const decode = createFakeAgent({ id: 'decode-1', service, role: 'decode' });
    const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
    stage.arrange(decode, prefill);
    const caller = new AbortController();
    const claims = createOpenClaims();
    const slowClaims = {
      ...claims,
      take: (request: Parameters<typeof claims.take>[0]) => {
        claimCount += 1;
        // Not before the caller has disconnected, however busy the machine is.
        const late = new Promise<void>((resolve) => {
          caller.signal.addEventListener('abort', () => setTimeout(resolve, 50));
        });
        return ResultAsync.fromSafePromise(late).andThen(() => claims.take(request));
      },
    };
    const harness = await startHarness(t, { agents: [decode, prefill], claims: slowClaims });
    const { headers, body = {} } = stage;
    const response = chat(
      harness.address,
      { stream: true, ...body },
      { signal: caller.signal, headers },
    );
    response.catch(() => undefined);
    await eventually(t, () => stage.isReached(decode, prefill));
    caller.abort();
    await eventually(t, () => harness.callersApi.activeCount() === 0);
    await eventually(t, () => harness.ring.recent(1)[0]?.outcome === 'cancelled');
    await harness.context.cancellations.settled();
    t.is(decode.held.size + prefill.held.size, 0);
    t.deepEqual(harness.context.heartbeats.addresses(), []);
  });
});

// The first cancels do not reach the agent. Heartbeats for other work would keep the lease of the
// cancelled attempt alive, so the cancel must be repeated until the agent confirms it.
test.serial('a cancel that fails is repeated', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  agent.frames = (_request, signal) => untilAborted(signal);
  let failures = 3;
  agent.cancel = () => {
    failures -= 1;
    return failures >= 0 ? { kind: 'lost', detail: 'reset' } : undefined;
  };
  const harness = await startHarness(t, { agents: [agent] });
  const caller = new AbortController();
  chat(harness.address, {}, { signal: caller.signal }).catch(() => undefined);
  await eventually(t, () => agent.streamed.length === 1);
  caller.abort();
  await eventually(t, () => agent.held.size === 0);
  t.is(agent.cancelled.length, 1);
});

test.serial('a reservation whose reply was lost is cancelled', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  agent.reserve = () => ({ kind: 'lost', detail: 'reset' });
  const harness = await startHarness(t, { agents: [agent] });
  const response = await chat(harness.address);
  t.like(await response.json(), { notRun: true });
  await eventually(t, () => agent.held.size === 0);
});

test.serial('a run continues while one of its callers still waits', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  let release: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    release = resolve;
  });
  const { frames } = agent;
  agent.frames = async function* gated(request, signal): AsyncGenerator<StreamFrame> {
    await gate;
    yield* frames(request, signal);
  };
  const harness = await startHarness(t, { agents: [agent] });
  const headers = { 'idempotency-key': 'draft-1' };
  const caller = new AbortController();
  chat(harness.address, {}, { headers, signal: caller.signal }).catch(() => undefined);
  const other = chat(harness.address, {}, { headers });
  await eventually(t, () => harness.callersApi.activeCount() === 2);
  caller.abort();
  await eventually(t, () => harness.callersApi.activeCount() === 1);
  release();
  t.is((await other).status, 200);
});
