import { Readable } from 'node:stream';
import test from 'ava';
import { createMemoryAccount, createReadTurns } from '@bluebellhitch/ports';
import { delay } from '@bluebellhitch/shared';
import { createFakeAgent } from './support/fakeAgents';
import { startHarness } from './support/harness';

/** Statuses that promise that the request has not run and never will. */
const promises: readonly number[] = [408, 421, 429, 503];

test('a request whose body stops after it was passed on gets no promise that it has not run', async (t) => {
  // The backend server has read the head and a part of the body, and may have acted on them.
  const agent = createFakeAgent({ id: 'plain-1', service: 'counter-app', role: 'plain' });
  const received: string[] = [];
  agent.plain = async ({ body }) => {
    try {
      for await (const chunk of body as Readable) {
        received.push(String(chunk));
      }
    } catch (error) {
      return { kind: 'lost', detail: String(error) };
    }
    return { kind: 'lost', detail: 'not expected' };
  };
  const { address } = await startHarness(t, {
    agents: [agent],
    limits: { slowSenderTimeoutMs: 150 },
  });
  const body = Readable.from(
    (async function* stopping() {
      yield Buffer.from('first');
      await new Promise((resolve) => {
        setTimeout(resolve, 1_000);
      });
    })(),
  );
  const response = await fetch(`${address}/receipts`, {
    method: 'POST',
    headers: { 'idempotency-key': 'receipt-1' },
    body: Readable.toWeb(body) as ReadableStream,
    duplex: 'half',
  });
  t.deepEqual(received, ['first']);
  t.false(promises.includes(response.status), `${response.status} ${await response.text()}`);
});

test('a request that was passed on before memory ran out gets no promise that it has not run', async (t) => {
  const agent = createFakeAgent({ id: 'plain-1', service: 'counter-app', role: 'plain' });
  let receivedBytes = 0;
  agent.plain = async ({ body }) => {
    try {
      for await (const chunk of body as Readable) {
        receivedBytes += (chunk as Buffer).length;
      }
    } catch (error) {
      return { kind: 'lost', detail: String(error) };
    }
    return { kind: 'lost', detail: 'not expected' };
  };
  const memory = createMemoryAccount({ bodies: 20_000, connections: 10_000_000 });
  const { address } = await startHarness(t, {
    agents: [agent],
    resources: { memory, turns: createReadTurns(), maxConnections: 100 },
  });
  const body = Readable.from(
    (async function* growing() {
      for (let count = 0; count < 10; count += 1) {
        yield Buffer.alloc(5_000, 97);
        await delay(30);
      }
    })(),
  );
  const response = await fetch(`${address}/receipts`, {
    method: 'POST',
    headers: { 'idempotency-key': 'receipt-1' },
    body: Readable.toWeb(body) as ReadableStream,
    duplex: 'half',
  });
  t.true(receivedBytes > 0);
  t.false(promises.includes(response.status), `${response.status} ${await response.text()}`);
});
