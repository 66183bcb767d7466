import test from 'ava';
import type { StreamFrame } from '@bluebellhitch/protocol';
import { createFakeAgent, tokens, untilAborted, completeResponse } from './support/fakeAgents';
import { chat, eventsOf, eventually, startHarness } from './support/harness';

const service = 'draft-models';

// Operators stop an entry while it streams a letter. The letter must arrive whole; new requests belong
// to the other entries.
test('a drain finishes running answers and takes no new request', async (t) => {
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
  const { address, side } = await startHarness(t, { agents: [agent] });
  const running = await chat(address, { stream: true });
  const drained = side.drain(5_000);
  await t.throwsAsync(chat(address));
  release();
  t.is(eventsOf(await running.text()).at(-1), '[DONE]');
  t.true(await drained);
});

test('a drain ends what is left at its bound, explicitly', async (t) => {
  const agent = createFakeAgent({ id: 'agent-1', service });
  agent.frames = async function* endless(request, signal): AsyncGenerator<StreamFrame> {
    yield* tokens(request, 1);
    yield* untilAborted(signal);
  };
  const { address, side, context } = await startHarness(t, { agents: [agent] });
  const running = await chat(address, { stream: true });
  t.false(await side.drain(50));
  t.like(eventsOf(await running.text()).at(-1), { error: { reason: 'leaving', notRun: false } });
  await context.cancellations.settled();
  await eventually(t, () => agent.held.size === 0);
});
