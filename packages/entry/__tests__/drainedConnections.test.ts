/** Connections of callers at the end of a drain, while the entry waits for nothing but them. */
import { connect } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { delay } from '@bluebellhitch/shared';
import type { StreamFrame } from '@bluebellhitch/protocol';
import { completeResponse, createFakeAgent, tokens, type FakeAgent } from './support/fakeAgents';
import { eventually, startHarness, type Harness } from './support/harness';

const body = JSON.stringify({
  model: 'draft-models',
  stream: true,
  messages: [{ role: 'user', content: 'hello' }],
});
const head = ['POST /v1/chat/completions HTTP/1.1', 'Host: a', `Content-Length: ${body.length}`];
const request = `${head.join('\r\n')}\r\n\r\n${body}`;
const endOfStream = '0\r\n\r\n';

/** An agent whose streams end once the test releases them. */
function createGatedAgent() {
  const agent = createFakeAgent({ id: 'agent-1', service: 'draft-models' });
  let release: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    release = resolve;
  });
  agent.frames = async function* gated(streamed): AsyncGenerator<StreamFrame> {
    yield* tokens(streamed, 1);
    await gate;
    yield* completeResponse({ ...streamed, emitted: { tokenCount: 1, text: '' } });
  };
  return { agent, release: () => release() };
}

function openCaller(t: ExecutionContext, { address }: Harness) {
  const socket = connect({ port: Number(new URL(address).port), host: '127.0.0.1' });
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
  });
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  t.teardown(() => socket.destroy());
  return { socket, closed, text: () => text };
}

async function startStream(t: ExecutionContext, agent: FakeAgent) {
  const harness = await startHarness(t, { agents: [agent] });
  const caller = openCaller(t, harness);
  caller.socket.write(request);
  await eventually(t, () => caller.text().includes('one'));
  return { harness, caller };
}

const stop = async ({ callersApi }: Harness) => {
  await callersApi.drain(5_000);
  await callersApi.close();
};

test('a request sent as soon as the last stream of a stopping entry has ended is refused as not run', async (t) => {
  // The stream's head promised to keep the connection, so its caller sends the next request there. The entry took itself
  // for idle and closed all connections: its caller could not know whether the request had run.
  const { agent, release } = createGatedAgent();
  const { harness, caller } = await startStream(t, agent);
  const stopped = stop(harness);
  release();
  await eventually(t, () => caller.text().endsWith(endOfStream));
  await delay(20);
  caller.socket.write(request);
  await caller.closed;
  await stopped;
  const [, answer] = caller.text().split(endOfStream);
  t.regex(answer ?? '', /^HTTP\/1\.1 503 [^]*Connection: close[^]*"notRun":true/i);
  t.is(agent.streamed.length, 1);
});
