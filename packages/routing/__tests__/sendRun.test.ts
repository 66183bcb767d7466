/** Which responses of servers a request that may run once can get, and what is counted of its sending. */
import test from 'ava';
import type { BackendResponse, CallOutcome } from '../src/backendApi';
import type { CallerExchange } from '../src/callerApi';
import { routeKinds, type CallerRequest, type Route } from '../src/model';
import { createRequestState } from '../src/request/requestState';
import type { RouterDependencies } from '../src/request/routerDependencies';
import { sendRun } from '../src/request/sendRun';
import { decodeServer } from './support/decodeServer';

const plainRoute: Route = {
  ...{ name: 'r', host: 'bank.example', pathPrefix: '/r/', kind: routeKinds.nonIdempotent },
  ...{ timeoutMs: 500, targetLatencyMs: 40, targetGapMs: 0, priority: 2, maxAttempts: 2 },
  ...{ allowsResume: false, targets: [] },
};
const streamRoute: Route = { ...plainRoute, kind: routeKinds.stream };
const routesOfOneRun = { 'a plain request': plainRoute, 'a stream': streamRoute };
const repeatableRoutes = {
  'a plain request': { ...plainRoute, kind: routeKinds.idempotent },
  'a stream': { ...streamRoute, allowsResume: true },
};

type Outcome = CallOutcome<BackendResponse>;

function answerWith(status: number): Outcome {
  const nothing = () => undefined;
  const body = { read: ({ onEnd }: { onEnd(): void }) => onEnd(), pause: nothing, resume: nothing };
  return {
    kind: 'done',
    value: { status, headers: [], isSealed: true, body: { ...body, abandon: nothing } },
  };
}

async function send(t: { teardown(end: () => void): void }, route: Route, outcome: Outcome) {
  const request = { id: 'q1', arrivedAtMs: performance.now(), deadlineAtMs: Infinity };
  const { state, end } = createRequestState({
    exchange: {
      request: request as CallerRequest,
      signal: new AbortController().signal,
    } as CallerExchange,
    service: { name: 's', maxConnections: 1 },
    route,
  });
  t.teardown(end);
  const backend = { run: () => Promise.resolve(outcome) };
  const deps = { backend } as unknown as RouterDependencies;
  const read = await sendRun(decodeServer('e'), state, deps, { signal: state.signal });
  return { read, state };
}

Object.entries(routesOfOneRun).forEach(([name, route]) => {
  [408, 421, 429, 503].forEach((status) => {
    test(`${name} that may run once is lost to a ${status} that does not state that nothing ran`, async (t) => {
      // The caller would take the status for a promise, and send again what may have run.
      const { read } = await send(t, route, answerWith(status));
      t.deepEqual(read, {
        ...{ kind: 'lost', detail: `answer ${status} without proof`, isOurs: false },
      });
    });
  });

  test(`${name} that may run once gets all other outcomes as they are`, async (t) => {
    const outcomes: Outcome[] = [
      ...[200, 400, 404, 500, 502, 504].map(answerWith),
      { kind: 'not-run', cause: { kind: 'rejected', status: 503 } },
      { kind: 'not-run', cause: { kind: 'other-server' } },
      { kind: 'lost', detail: 'read ECONNRESET', isOurs: false },
    ];
    for (const outcome of outcomes) {
      t.is((await send(t, route, outcome)).read, outcome);
    }
  });
});

Object.entries(repeatableRoutes).forEach(([name, route]) => {
  test(`${name} that may be repeated gets its server's response unchanged`, async (t) => {
    for (const status of [408, 421, 429, 503]) {
      const outcome = answerWith(status);
      t.is((await send(t, route, outcome)).read, outcome);
    }
  });
});

test('a request that is sent counts as one that has reached a server', async (t) => {
  const { state } = await send(t, plainRoute, answerWith(200));
  t.is(state.sentCount, 1);
  t.true(state.lastSentAtMs !== undefined);
});
