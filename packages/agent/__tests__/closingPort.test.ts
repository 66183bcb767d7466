/** Calls of entries that reach an agent while it closes its inner port at the end of a stop. */
import { Agent, request } from 'node:http';
import test, { type ExecutionContext } from 'ava';
import { innerHeaders } from '@bluebellhitch/protocol';
import { delay } from '@bluebellhitch/shared';
import { plainHeaders, startPlainBench, waitUntil } from './helpers/innerBench';

const roundCount = 10;
const callerCount = 8;
/** Calls before the stop, once each caller has a connection that was accepted. */
const servedMs = 50;
const maxPauseMs = 3;
const stopMs = 2_000;
const startMs = 10_000;

type Outcome = 'served' | 'not run' | 'port closed' | 'unknown';

/** Sends a plain call as an entry does, on a kept connection. */
function call(address: string, agent: Agent, attemptId: string): Promise<Outcome> {
  const headers = plainHeaders(attemptId);
  return new Promise((resolve) => {
    const outgoing = request(`${address}/plain/x`, { method: 'POST', agent, headers });
    outgoing.on('error', ({ code }: NodeJS.ErrnoException) =>
      resolve(code === 'ECONNREFUSED' ? 'port closed' : 'unknown'),
    );
    outgoing.on('response', (response) => {
      const answer = response.headers[innerHeaders.notRun] === 'true' ? 'not run' : 'served';
      response.resume();
      response.on('close', () => resolve(response.complete ? answer : 'unknown'));
    });
    outgoing.end('body');
  });
}

/** Stops an agent while entries call it, and returns how their calls ended. */
async function stopUnderCalls(t: ExecutionContext, round: number): Promise<Outcome[]> {
  const { server, agent } = await startPlainBench(t, (_incoming, outgoing) => {
    outgoing.end('whole');
  });
  const outcomes: Outcome[] = [];
  const servedCallers = new Set<number>();
  const callers = Array.from({ length: callerCount }, async (_none, caller) => {
    const connection = new Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => connection.destroy());
    while (outcomes.at(-1) !== 'port closed') {
      outcomes.push(
        await call(server.address, connection, `${round}-${caller}-${outcomes.length}`),
      );
      servedCallers.add(caller);
      await delay((caller / callerCount) * maxPauseMs);
    }
  });
  t.true(await waitUntil(() => servedCallers.size === callerCount, startMs));
  await delay(servedMs);
  agent.leave();
  await agent.drain(stopMs);
  await server.close(stopMs);
  await Promise.all(callers);
  return outcomes;
}

test('a call that reaches an agent while it closes its port is answered', async (t) => {
  // Kept connections were closed as soon as they were idle, under calls on their way: a call that had not run looked like
  // one that may have, and a request that may not be repeated was given up.
  const outcomes: Outcome[] = [];
  for (let round = 0; round < roundCount; round += 1) {
    outcomes.push(...(await stopUnderCalls(t, round)));
  }
  const count = (kind: Outcome) => outcomes.filter((outcome) => outcome === kind).length;
  t.log(`${count('served')} served, ${count('not run')} not run`);
  t.true(count('served') > 0 && count('not run') > 0);
  t.is(count('unknown'), 0);
});

test('a call on a connection that an agent has not accepted when it closes its port is answered', async (t) => {
  // The port counted as idle before it counted the call that it waited for, and closed its connection.
  const { server, agent } = await startPlainBench(t, (_incoming, outgoing) => {
    outgoing.end('whole');
  });
  agent.leave();
  const called = call(server.address, new Agent(), 'queued');
  // Once the runtime has begun to connect, which the kernel completes at once on loopback.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  await Promise.all([server.close(stopMs), called]);
  t.is(await called, 'not run');
});
