/** Plain requests whose server is late: when the caller gets the response. */
import test from 'ava';
import { delay } from '@bluebellhitch/shared';
import type { BackendResponse, CallOutcome } from '../src/backendApi';
import type { CallerExchange, CompleteResponse } from '../src/callerApi';
import { routeKinds, type CallerRequest, type Route } from '../src/model';
import { servePlain } from '../src/request/plainRequest';
import { createRequestState } from '../src/request/requestState';
import type { RouterDependencies } from '../src/request/routerDependencies';
import { decodeServer } from './support/decodeServer';

/** Counts as late after 200 ms. */
const route: Route = {
  ...{ name: 'page', host: 'bank.example', pathPrefix: '/page/', kind: routeKinds.idempotent },
  ...{ timeoutMs: 500, targetLatencyMs: 40, targetGapMs: 0, priority: 2, maxAttempts: 2 },
  ...{ allowsResume: false, targets: [] },
};

/** Much longer than it takes to pass a response on. */
const passedOnMs = 100;

const answer: CallOutcome<BackendResponse> = {
  kind: 'done',
  value: {
    ...{ status: 200, headers: [], isSealed: true },
    body: {
      read: ({ onEnd }) => onEnd(),
      ...{ pause: () => undefined, resume: () => undefined, abandon: () => undefined },
    },
  },
};

/**
 * The first server is late, and answers once a permit for the other one is asked for, which states a rate limit; no router
 * answers for that.
 */
function createFixture() {
  const nothing = () => undefined;
  const responses: CompleteResponse[] = [];
  let notePermitAsked: () => void = nothing;
  const permitAsked = new Promise<void>((resolve) => {
    notePermitAsked = resolve;
  });
  const request = { id: 'r1', arrivedAtMs: performance.now(), deadlineAtMs: Infinity };
  const exchange = {
    request: request as CallerRequest,
    signal: new AbortController().signal,
    respond: (response: CompleteResponse) => responses.push(response),
  } as unknown as CallerExchange;
  const deps = {
    pools: { usable: () => ['late', 'limited'].map((id) => decodeServer(id)) },
    health: { ejected: () => new Set(), beginAttempt: nothing, record: nothing },
    limits: {
      mayTake: (id: string) => id === 'late',
      take: () => true,
      request() {
        notePermitAsked();
        return new Promise(nothing);
      },
    },
    serverLoads: { running: () => 0, begin: () => nothing },
    budget: { reserve: () => ({ release: nothing }), tryTake: () => true },
    backend: {
      async run() {
        await permitAsked;
        return answer;
      },
    },
    quarantine: { noteCompleted: nothing },
    metrics: { countFurtherAttempt: nothing },
    random: () => 0,
  } as unknown as RouterDependencies;
  const service = { name: 's', maxConnections: 1 };
  const { state, end } = createRequestState({ exchange, route, service });
  return { state, end, deps, permitAsked, responses };
}

test('a late server’s answer is passed on at once while a permit for another server is asked for', async (t) => {
  // It was held until all other routers had been asked: with many servers and silent routers beyond the time-out.
  const { state, end, deps, permitAsked, responses } = createFixture();
  t.teardown(end);
  void servePlain(state, deps);
  await permitAsked;
  await delay(passedOnMs);
  t.deepEqual(
    responses.map(({ status }) => status),
    [200],
  );
});
