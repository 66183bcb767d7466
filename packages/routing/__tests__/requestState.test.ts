import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { CallerExchange } from '../src/callerApi';
import { createRequestState, createLostRefusal } from '../src/request/requestState';
import { routeKinds, type CallerRequest, type Route } from '../src/model';

const route: Route = {
  name: 'page',
  host: 'bank.example',
  pathPrefix: '/page/',
  kind: routeKinds.idempotent,
  timeoutMs: 300,
  targetLatencyMs: 100,
  targetGapMs: 0,
  priority: 2,
  maxAttempts: 1,
  allowsResume: false,
  targets: [],
};

function refusalAfter(afterMs: number) {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  const request = { id: 'r1', arrivedAtMs: 0, deadlineAtMs: 10_000 } as CallerRequest;
  const exchange = { request, signal: new AbortController().signal } as CallerExchange;
  const service = { name: 'counter', maxConnections: 1 };
  const { state, end } = createRequestState({ exchange, route, service });
  clock.setSystemTime(0);
  clock.tick(afterMs);
  const refusal = createLostRefusal(state, 'reset');
  end();
  clock.uninstall();
  return refusal;
}

test('a response lost at the route’s time-out is reported as a time-out, whichever timer fires first', (t) => {
  // Otherwise the caller of a server that hangs would be told of a lost response: the call's own time-out ends at the
  // same moment as the request's and may fire slightly earlier.
  t.deepEqual(refusalAfter(299), { kind: 'timed-out' });
  t.deepEqual(refusalAfter(300), { kind: 'timed-out' });
});

test('a response lost before the time-out is reported as lost', (t) => {
  t.deepEqual(refusalAfter(200), { kind: 'answer-lost', detail: 'reset' });
});
