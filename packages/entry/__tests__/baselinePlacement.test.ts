import test from 'ava';
import type { PlacementPolicy } from '@bluebellhitch/decisions';
import { createFakeAgent, refusal, type FakeAgent } from './support/fakeAgents';
import { chat, startHarness } from './support/harness';

const service = 'draft-models';
const longPrompt = { messages: [{ role: 'user', content: 'bond history '.repeat(200) }] };

interface RecordingFleet {
  agents: FakeAgent[];
  decode: FakeAgent[];
  prefill: FakeAgent;
  steps: string[];
}

/** Two decode workers and a prefill worker that record the calls they get. */
function createRecordingFleet(): RecordingFleet {
  const steps: string[] = [];
  const decode = ['decode-1', 'decode-2'].map((id) =>
    createFakeAgent({ id, service, role: 'decode' }),
  );
  const prefill = createFakeAgent({ id: 'prefill-1', service, role: 'prefill' });
  const agents = [...decode, prefill];
  agents.forEach((agent) => {
    const { bid, reserve, prefill: runPrefill } = agent;
    agent.bid = () => {
      steps.push('bid');
      return bid();
    };
    agent.reserve = (attemptId) => {
      steps.push(agent === prefill ? 'reserve prefill' : 'reserve decode');
      return reserve(attemptId);
    };
    agent.prefill = (attemptId) => {
      steps.push('prefill');
      return runPrefill(attemptId);
    };
  });
  return { agents, decode, prefill, steps };
}

const expectedSteps: Record<PlacementPolicy, string[]> = {
  default: ['bid', 'bid', 'bid', 'reserve decode', 'reserve prefill', 'prefill'],
  random: ['reserve prefill', 'prefill', 'reserve decode'],
  'least-loaded': ['reserve decode', 'reserve prefill', 'prefill'],
  'prefill-first': ['bid', 'bid', 'bid', 'reserve prefill', 'prefill', 'reserve decode'],
};

Object.entries(expectedSteps).forEach(([policy, expected]) => {
  test(`${policy} takes its steps in order and holds nothing afterwards`, async (t) => {
    const { agents, decode, steps } = createRecordingFleet();
    const { address, context } = await startHarness(t, { agents });
    context.runtimes.policy = policy as PlacementPolicy;
    const response = await chat(address, longPrompt);
    t.is(response.status, 200);
    t.deepEqual(steps, expected);
    const [used] = decode.flatMap(({ streamed }) => streamed);
    t.is(used?.source.kind, 'transfer');
    t.is(
      agents.reduce((total, { held }) => total + held.size, 0),
      0,
    );
  });
});

// The prefill completes, then both decode workers refuse the reservation, and the caller gets a refusal.
// The unused prefill must be counted as wasted, and its memory at the prefill worker released.
test('a prefill without decode memory is released and counted as wasted', async (t) => {
  const { agents, decode, prefill, steps } = createRecordingFleet();
  decode.forEach((agent) => {
    agent.reserve = () => {
      steps.push('reserve decode');
      return refusal('no-capacity');
    };
  });
  const { address, context } = await startHarness(t, { agents });
  context.runtimes.policy = 'random';
  const response = await chat(address, longPrompt);
  t.is(response.status, 503);
  t.deepEqual(steps.slice(0, 4), [
    'reserve prefill',
    'prefill',
    'reserve decode',
    'reserve decode',
  ]);
  t.is(prefill.held.size, 0);
  t.regex(await context.metrics.render(), /wasted_prefill_tokens_total\{cause="no-decode-slot"/);
});
