import test from 'ava';
import type { StreamFrame } from '@bluebellhitch/protocol';
import { createFakeAgent, tokens, untilAborted, completeResponse } from './support/fakeAgents';
import { chat, eventsOf, eventually, startHarness } from './support/harness';

const service = 'draft-models';

// An entry is stopped while it streams a response: the response must be completed, and new requests must be
// refused, as other entries handle them.
test('a drain completes running responses and accepts no new request', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  let release: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    release = resolve;
  });
  agent.frames = async function* gated(request): AsyncGenerator<StreamFrame> {
    yield* tokens(request, 1);
    await gate;
    yield* completeResponse({ ...request, emitted: { tokenCount: 1, text: '' } });
  };
  const { address, callersApi } = await startHarness(t, { agents: [agent] });
  const running = await chat(address, { stream: true });
  const drained = callersApi.drain(5_000);
  const refused = await chat(address);
  t.is(refused.status, 503);
  t.like(await refused.json(), { reason: 'leaving', notRun: true });
  await t.throwsAsync(chat(address));
  release();
  t.is(eventsOf(await running.text()).at(-1), '[DONE]');
  t.true(await drained);
});

test('a drain ends the remaining responses with an error after its timeout', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  agent.frames = async function* endless(request, signal): AsyncGenerator<StreamFrame> {
    yield* tokens(request, 1);
    yield* untilAborted(signal);
  };
  const { address, callersApi, context } = await startHarness(t, { agents: [agent] });
  const running = await chat(address, { stream: true });
  t.false(await callersApi.drain(50));
  t.like(eventsOf(await running.text()).at(-1), { error: { reason: 'leaving', notRun: false } });
  await context.cancellations.settled();
  await eventually(t, () => agent.held.size === 0);
});
