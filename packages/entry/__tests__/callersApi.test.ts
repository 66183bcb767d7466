import test from 'ava';
import { createFakeAgent, words } from './support/fakeAgents';
import { chat, eventsOf, startHarness } from './support/harness';

const modelAgents = () => [
  createFakeAgent({ id: 'agent-1', service: 'draft-models' }),
  createFakeAgent({ id: 'agent-2', service: 'draft-models' }),
];

test('streams a chat completion that ends with the end marker', async (t) => {
  const agents = modelAgents();
  const { address } = await startHarness(t, { agents });
  const response = await chat(address, { stream: true, stream_options: { include_usage: true } });
  t.is(response.status, 200);
  t.is(response.headers.get('content-type'), 'text/event-stream; charset=utf-8');
  const events = eventsOf(await response.text());
  const texts = events.flatMap((event) => {
    const { choices = [] } = event as { choices?: { delta?: { content?: string } }[] };
    return choices[0]?.delta?.content ?? [];
  });
  t.deepEqual(texts, words);
  t.is(events.at(-1), '[DONE]');
  t.like(events.at(-2), { usage: { completion_tokens: 4 } });
  t.true(agents.every(({ held }) => held.size === 0));
});

test('returns a completion that is not streamed, with its usage', async (t) => {
  const { address } = await startHarness(t, { agents: modelAgents() });
  const response = await fetch(`${address}/v1/completions`, {
    method: 'POST',
    headers: { 'x-request-id': 'request-7' },
    body: JSON.stringify({ model: 'draft-models', prompt: 'hello', max_tokens: 9 }),
  });
  t.is(response.headers.get('x-request-id'), 'request-7');
  t.like(await response.json(), {
    object: 'text_completion',
    choices: [{ text: words.join(''), finish_reason: 'stop' }],
    usage: { prompt_tokens: 2, completion_tokens: 4, total_tokens: 6 },
  });
});

test('lists the models of the accepted documents', async (t) => {
  const { address } = await startHarness(t, { agents: [] });
  const response = await fetch(`${address}/v1/models`);
  t.like(await response.json(), { data: [{ id: 'draft-models' }] });
});

test('forwards a plain call to a server of its route, without hop-by-hop headers', async (t) => {
  const agent = createFakeAgent({ id: 'plain-1', service: 'counter-app', role: 'plain' });
  const { address } = await startHarness(t, { agents: [agent] });
  const response = await fetch(`${address}/counter/balance?id=4`, {
    method: 'PUT',
    headers: { 'x-note': 'kept', 'x-bluebell-entry': 'forged' },
    body: 'amount',
  });
  t.is(response.status, 200);
  t.is(await response.text(), 'plain answer');
  const [call] = agent.plainCalls;
  t.is(call?.method, 'PUT');
  t.is(call?.target, '/counter/balance?id=4');
  t.is(call?.headers['x-note'], 'kept');
  t.is(call?.headers['x-bluebell-entry'], 'entry-1');
  t.is(call?.headers.connection, undefined);
  t.is(String(call?.body), 'amount');
});
