/** The end of a drain: what was read whole and cannot finish is answered before its connection closes. */
import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { json } from 'node:stream/consumers';
import test, { type ExecutionContext } from 'ava';
import FakeTimers from '@sinonjs/fake-timers';
import { ok, ResultAsync } from 'neverthrow';
import type { ClaimStore } from '@bluebellhitch/objects';
import { createFakeAgent, never, untilAborted, type FakeAgent } from './support/fakeAgents';
import { startHarness, type Harness } from './support/harness';

const drainMs = 1_000;
/** Longer than anything at the end of a drain is waited for. */
const endMs = 5_000;
const stepMs = 50;

interface Call {
  path: string;
  body: string;
  headers?: Record<string, string>;
}

interface Answer {
  status: number;
  retryAfter?: string;
  body: unknown;
}

const chatBody = { model: 'draft-models', messages: [{ role: 'user', content: 'hello' }] };
const plainCall: Call = { path: '/counter', body: 'amount' };
const chatCall: Call = { path: '/v1/chat/completions', body: JSON.stringify(chatBody) };
/** Servers of both kinds that never answer. */
function createSilentAgents(): FakeAgent[] {
  const plain = createFakeAgent({ id: 'plain-1', service: 'counter-app', role: 'plain' });
  plain.plain = () => never();
  const engine = createFakeAgent({ id: 'engine-1', service: 'draft-models' });
  engine.frames = (_request, signal) => untilAborted(signal);
  return [plain, engine];
}

const runCount = (agents: FakeAgent[]) =>
  agents.reduce((sum, { plainCalls, streamed }) => sum + plainCalls.length + streamed.length, 0);

function open({ address }: Harness, { path, body, headers }: Call): ClientRequest {
  return sendRequest(`${address}${path}`, {
    method: 'POST',
    agent: false,
    headers: { 'content-length': Buffer.byteLength(body), ...headers },
  });
}

/** Resolves with the response, or with undefined if the connection closed without one. */
function answerOf(request: ClientRequest): Promise<Answer | undefined> {
  return new Promise((resolve) => {
    request.on('error', () => resolve(undefined));
    request.on('response', (response: IncomingMessage) => {
      const { statusCode = 0, headers } = response;
      void json(response)
        .then((body) => resolve({ status: statusCode, retryAfter: headers['retry-after'], body }))
        .catch(() => resolve(undefined));
    });
  });
}

/** To be called after the start of the entry, as it is stopped once the clock runs again. */
function pauseClock(t: ExecutionContext) {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'],
  });
  t.teardown(() => clock.uninstall());
  const turn = () =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  return {
    async until(condition: () => boolean): Promise<void> {
      for (let turns = 0; !condition() && turns < 20_000; turns += 1) {
        await clock.tickAsync(turns % 100 === 0 ? 1 : 0);
        await turn();
      }
      t.true(condition());
    },
    async pass(durationMs: number): Promise<void> {
      for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        await clock.tickAsync(stepMs);
        await turn();
        await turn();
      }
    },
  };
}

const stop = async ({ callersApi }: Harness) => {
  await callersApi.drain(drainMs);
  await callersApi.close();
};

const refusedAnswer = (notRun: unknown) => ({ body: { reason: 'leaving', notRun } });

[plainCall, chatCall].forEach((call) => {
  test.serial(
    `a request to ${call.path} whose body ends after the drain is refused as not run`,
    async (t) => {
      // It was begun like any other, reached a server, and was cut off a second later without a response.
      const agents = createSilentAgents();
      const harness = await startHarness(t, { agents, limits: { slowSenderTimeoutMs: 60_000 } });
      const clock = pauseClock(t);
      const request = open(harness, call);
      request.write(call.body.slice(0, 1));
      const answered = answerOf(request);
      await clock.until(() => harness.callersApi.activeCount() === 1);
      const stopped = stop(harness);
      await clock.pass(drainMs + stepMs);
      request.end(call.body.slice(1));
      await clock.pass(endMs);
      t.like(await answered, { status: 503, retryAfter: '1', ...refusedAnswer(true) });
      t.is(runCount(agents), 0);
      await stopped;
    },
  );
});

const key = { 'idempotency-key': 'key-1', 'x-no-repeat': 'true' };
const keyedCall: Call = { ...chatCall, headers: key };
const receiptCall: Call = { path: '/receipts', body: 'amount', headers: key };

/** Sends a call, and stops the entry once it has begun; resolves at the end of the drain. */
async function stopDuring(
  t: ExecutionContext,
  {
    call,
    options,
    hasBegun,
  }: { call: Call; options: Parameters<typeof startHarness>[1]; hasBegun: () => boolean },
) {
  const harness = await startHarness(t, options);
  const clock = pauseClock(t);
  const request = open(harness, call);
  const answered = answerOf(request);
  request.end(call.body);
  await clock.until(hasBegun);
  const stopped = stop(harness);
  await clock.pass(drainMs + endMs);
  return { answered, clock, stopped };
}

[plainCall, chatCall, keyedCall].forEach((call) => {
  const kind = call.headers === undefined ? 'a request' : 'a request with a key';
  test.serial(
    `${kind} to ${call.path} that a server has is answered as one that may run`,
    async (t) => {
      // Its status was 503, after which callers and proxies send a request again.
      const agents = createSilentAgents();
      const hasBegun = () => runCount(agents) === 1;
      const { answered, stopped } = await stopDuring(t, { call, options: { agents }, hasBegun });
      t.like(await answered, { status: 504, ...refusedAnswer('unknown') });
      await stopped;
    },
  );
});

/** Claims of a store that does not answer one kind of call before `answer` is called. */
function createHeldClaims(held: 'take' | 'settle') {
  const released: string[] = [];
  let answer: () => void = () => undefined;
  const answers = new Promise<void>((resolve) => {
    answer = resolve;
  });
  const whenAnswered = (kind: typeof held) => (kind === held ? answers : Promise.resolve());
  const reply = <Value>(kind: typeof held, value: Value) =>
    new ResultAsync<Value, never>(whenAnswered(kind).then(() => ok(value)));
  let takeCount = 0;
  const claims: ClaimStore = {
    take(request) {
      takeCount += 1;
      const claim = { ...request, dispatchBeforeMs: Infinity };
      return reply('take', { kind: 'taken' as const, claim });
    },
    finish: () => reply('settle', undefined),
    release(claim) {
      released.push(claim.key);
      return reply('settle', undefined);
    },
    settle: () => Promise.resolve(),
  };
  return { claims, released, answer: () => answer(), takeCount: () => takeCount };
}

[receiptCall, keyedCall].forEach((call) => {
  test.serial(
    `a request to ${call.path} whose claim is not taken yet is refused as not run`,
    async (t) => {
      // Its connection was closed without a response, and its key stayed claimed.
      const agents = createSilentAgents();
      const store = createHeldClaims('take');
      const options = { agents, claims: store.claims };
      const hasBegun = () => store.takeCount() === 1;
      const { answered, clock, stopped } = await stopDuring(t, { call, options, hasBegun });
      t.like(await answered, { status: 503, ...refusedAnswer(true) });
      store.answer();
      await clock.until(() => store.released.length === 1);
      t.is(runCount(agents), 0);
      await stopped;
    },
  );

  test.serial(`a request to ${call.path} whose claim is not settled yet is answered`, async (t) => {
    const agents = createSilentAgents();
    const store = createHeldClaims('settle');
    const options = { agents, claims: store.claims };
    const hasBegun = () => runCount(agents) === 1;
    const { answered, stopped } = await stopDuring(t, { call, options, hasBegun });
    t.like(await answered, { status: 504, ...refusedAnswer('unknown') });
    await stopped;
  });
});
