import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import type { OrderReply, OrderRequest } from '@bluebellhitch/protocol';
import { startBench, type AgentBench } from './helpers/agentBench';

function send(
  { agent }: AgentBench,
  fencingNumber: number,
  overrides: Partial<OrderRequest> = {},
): Promise<OrderReply> {
  return agent.handlers.order({
    service: 'draft-models',
    holderId: `holder-${fencingNumber}`,
    fencingNumber,
    validForMs: 5000,
    order: { kind: 'load-adapter', model: 'draft-models', adapter: `adapter-${fencingNumber}` },
    ...overrides,
  });
}

function platform(number: number | undefined) {
  const state = { number };
  return {
    state,
    readFencingNumber: () =>
      state.number === undefined ? errAsync({ kind: 'unavailable' }) : okAsync(state.number),
  };
}

// The agent starts while the platform is down, and an earlier holder sends an order. The agent cannot know
// whether its fencing number is current, so no order is accepted until the platform responds.
test.serial('accepts no order before the current fencing number is known', async (t) => {
  const { state, readFencingNumber } = platform(undefined);
  const bench = await startBench(t, { readFencingNumber });
  t.is((await send(bench, 3)).kind, 'not-ready');
  state.number = 4;
  await bench.clock.tickAsync(1000);
  t.deepEqual(await send(bench, 3), { kind: 'stale', highestFencingNumber: 4 });
  const reply = send(bench, 4);
  await bench.clock.tickAsync(10);
  t.is((await reply).kind, 'done');
  t.deepEqual(
    bench.engine.orders.map(({ fencingNumber }) => fencingNumber),
    [4],
  );
});

// A holder loses its lease while its order waits behind a slow one. The engine ignores fencing numbers: only
// the check right before sending keeps the stale order from taking effect.
test.serial('an order that became stale while it waited is not sent', async (t) => {
  const { state, readFencingNumber } = platform(1);
  const bench = await startBench(t, { readFencingNumber });
  bench.engine.faults.orderMs = 300;
  const first = send(bench, 1);
  const second = send(bench, 1);
  await bench.clock.tickAsync(100);
  state.number = 2;
  await bench.clock.tickAsync(1000);
  t.is((await first).kind, 'done');
  t.deepEqual(await second, { kind: 'stale', highestFencingNumber: 2 });
});

test.serial('an order whose validity ended while it waited is not sent', async (t) => {
  const bench = await startBench(t);
  bench.engine.faults.orderMs = 800;
  const first = send(bench, 1);
  const second = send(bench, 1, { validForMs: 500 });
  await bench.clock.tickAsync(2000);
  t.is((await first).kind, 'done');
  t.is((await second).kind, 'expired');
  t.is(bench.engine.orders.length, 1);
});

test.serial('orders reach the engine one at a time', async (t) => {
  const bench = await startBench(t);
  bench.engine.faults.orderMs = 200;
  const replies = [send(bench, 1), send(bench, 2)];
  await bench.clock.tickAsync(250);
  t.is(bench.engine.orders.length, 1);
  await bench.clock.tickAsync(250);
  t.deepEqual(
    (await Promise.all(replies)).map(({ kind }) => kind),
    ['stale', 'done'],
  );
});

// The agent was paused while an earlier holder's order waited in its socket. The order's validity counts from
// when it is read, and the agent has not seen the higher number, so it reads the number before each order.
test.serial('reads the fencing number from the platform before each order', async (t) => {
  const { state, readFencingNumber } = platform(1);
  const bench = await startBench(t, { readFencingNumber });
  state.number = 9;
  const stale = send(bench, 1);
  await bench.clock.tickAsync(10);
  t.deepEqual(await stale, { kind: 'stale', highestFencingNumber: 9 });
  state.number = undefined;
  const unconfirmed = send(bench, 9);
  await bench.clock.tickAsync(10);
  t.is((await unconfirmed).kind, 'not-ready');
  t.deepEqual(bench.engine.orders, []);
});

test.serial('reports the loaded models and the highest fencing number', async (t) => {
  const bench = await startBench(t, { readFencingNumber: () => okAsync(6) });
  await bench.clock.tickAsync(10);
  t.deepEqual(await bench.agent.handlers.workerState(), {
    incarnation: 'agent-first',
    role: 'both',
    models: [{ model: 'draft-models', version: '1' }],
    adapters: [],
    highestFencingNumber: 6,
    leaving: false,
  });
});
