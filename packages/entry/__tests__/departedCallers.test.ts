/** Requests whose callers have left by the time at which the process reads them. */
import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { delay } from '@bluebellhitch/shared';
import { createFakeAgent } from './support/fakeAgents';
import { startHarness } from './support/harness';

const callerCount = 10;
const settleMs = 200;

/** Keeps the process from reading, as a stop or a lack of processor time does. */
function holdUp(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}

test.serial(
  'a request is not served if its caller left while the process was held up',
  async (t) => {
    // The end of the connection is read a turn of the event loop after the request that lies before it.
    const agent = createFakeAgent({ id: 'plain-1', service: 'counter-app', role: 'plain' });
    const { address } = await startHarness(t, { agents: [agent] });
    const { hostname, port, host } = new URL(address);
    const callers = Array.from({ length: callerCount }, () =>
      connect({ host: hostname, port: Number(port) }),
    );
    await Promise.all(callers.map((caller) => once(caller, 'connect')));
    callers.forEach((caller) => {
      caller.on('error', () => undefined);
      caller.end(`GET /counter/balance HTTP/1.1\r\nHost: ${host}\r\n\r\n`);
    });
    holdUp(100);
    await delay(settleMs);
    t.is(agent.plainCalls.length, 0);
    const response = await fetch(`${address}/counter/balance`);
    t.is(response.status, 200);
    t.is(agent.plainCalls.length, 1);
  },
);
