import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { createCallerDepartures } from '@bluebellhitch/platform-standins';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createAttemptBudgetCheck } from '../src/attemptBudgetCheck';
import { createDisruptions } from '../src/disruptions';
import { createFindings } from '../src/findings';
import { createLedger, type Arrival, type RequestOutcome } from '../src/ledger';
import type { PresentedKey } from '../src/keyring';
import { createLimitChecks } from '../src/limitChecks';
import { createRequestChecks } from '../src/requestChecks';
import { createSilences } from '../src/silences';
import { createNoticeChecks } from '../src/noticeChecks';
import { createWorkspaceChecks } from '../src/workspaceChecks';

const bonds: PresentedKey = {
  key: 'k',
  workspaceName: 'bonds',
  givenAtMs: -Infinity,
  takenAtMs: Infinity,
};

/** The tests provoke violations, which the checks must report: a check that never fails would prove nothing. */
function createFixture() {
  const findings = createFindings(monotonicNowMs());
  const disruptions = createDisruptions({ contactMs: 1_000 });
  const ledger = createLedger({ onArrival: (arrival) => checks.onArrival(arrival) });
  const leaving = new Map<string, number>();
  const workspaces = createWorkspaceChecks({
    ledger,
    findings,
    revocationMs: 1_000,
    quotaSlack: { windowMs: 8_000, overageShare: 0.1, amount: 0 },
    modelTokens: 1_100,
    marginMs: 100,
  });
  const departures = createCallerDepartures();
  const silences = createSilences({
    ...{ ledger, disruptions, applyMs: 2_000, graceMs: 6_000 },
    configurationChangesMs: () => [],
  });
  const checks = createRequestChecks({
    silences,
    workspaces,
    departures,
    ledger,
    findings,
    disruptions,
    servers: () => ({ leavingSinceMs: (id: string) => leaving.get(id) }) as never,
    drainMs: 2_000,
    marginMs: 100,
  });

  const limits = createLimitChecks({ ledger, findings, disruptions, marginMs: 100 });

  const notices = createNoticeChecks({ ledger, findings, disruptions });
  const budget = createAttemptBudgetCheck({
    ...{ ledger, findings, routes: [] },
    bounds: { attemptRatio: 0.2, attemptAllowance: 3, attemptWindowMs: 1_000 },
  });

  function request(id: string, over: { isRepeatable?: boolean; shownKey?: PresentedKey } = {}) {
    return ledger.recordRequest({
      id,
      routerName: 'router-0',
      routeName: 'unsafe',
      routeKind: 'non-idempotent',
      isRepeatable: false,
      timeoutMs: 2_000,
      isProbe: false,
      isCrashing: false,
      shownKey: bonds,
      ...over,
    });
  }

  function end(id: string, outcome: RequestOutcome) {
    const sent = ledger.request(id);
    if (sent !== undefined) {
      sent.endedAtMs = monotonicNowMs();
      sent.end = outcome;
      checks.onEnded(sent);
    }
  }

  const arrive = (requestId: string, serverId = 'counter-1', over: Partial<Arrival> = {}) =>
    ledger.recordArrival({
      ...{ requestId, serverId, serviceName: 'counter', isPrefill: false, hasRun: true },
      ...{ workspaceName: 'bonds', waitedMs: 0, hasCredential: false },
      ...over,
    });
  const found = () => findings.all().map(({ promise }) => promise);
  return {
    ...{ request, end, arrive, found, checks, limits, notices, budget, leaving, disruptions },
    ...{ departures, silences },
  };
}

test('a second run, a refusal after a run and a run after a refusal are reported', (t) => {
  const fixture = createFixture();
  fixture.request('a');
  fixture.arrive('a');
  fixture.arrive('a');
  fixture.request('b');
  fixture.arrive('b');
  fixture.end('b', { kind: 'refused', status: 503 });
  fixture.request('c');
  fixture.end('c', { kind: 'refused', status: 503 });
  fixture.arrive('c');
  fixture.checks.checkAll();
  t.deepEqual(fixture.found(), ['at-most-once', 'true-refusal', 'true-refusal', 'true-refusal']);
});

test('a body of another request is reported, a correct one is not', (t) => {
  const fixture = createFixture();
  fixture.request('a');
  fixture.arrive('a');
  fixture.end('a', { kind: 'whole', status: 200, body: 'b at counter-1' });
  t.deepEqual(fixture.found(), ['whole-answer']);
  fixture.request('c');
  fixture.arrive('c');
  fixture.end('c', { kind: 'whole', status: 200, body: 'c at counter-1' });
  t.is(fixture.found().length, 1);
});

test('a request to a server that has left is reported, unless its router had no contact', (t) => {
  const fixture = createFixture();
  fixture.leaving.set('counter-1', monotonicNowMs() - 2_500);
  fixture.request('a');
  fixture.arrive('a');
  t.deepEqual(fixture.found(), ['drain']);
  fixture.disruptions.begin({ kind: 'router', name: 'router-0' }, 'frozen')();
  fixture.request('b');
  fixture.arrive('b');
  t.is(fixture.found().length, 1);
});

test('a response broken during planned work is reported, one broken during a crash is not', (t) => {
  const fixture = createFixture();
  fixture.disruptions.begin({ kind: 'router', name: 'router-0' }, 'stopped', { isPlanned: true });
  fixture.request('a');
  fixture.end('a', { kind: 'broken', status: 200, body: '' });
  t.deepEqual(fixture.found(), ['leaving']);
  fixture.disruptions.begin({ kind: 'server', id: 'counter-1' }, 'crash');
  fixture.request('b');
  fixture.end('b', { kind: 'broken', status: 200, body: '' });
  t.is(fixture.found().length, 1);
});

test('a request that a router cuts while its server is only silent is reported, with or without planned work', (t) => {
  const fixture = createFixture();
  const goOn = fixture.silences.begin({ id: 'counter-1' });
  fixture.request('a');
  fixture.silences.noteArrival('a', 'counter-1');
  fixture.end('a', { kind: 'no-answer', detail: 'socket hang up', isNewConnection: false });
  fixture.request('b');
  fixture.end('b', { kind: 'broken', status: 200, body: '' });
  t.deepEqual(fixture.found(), ['silence', 'silence']);
  // A complete response is none of this, but counted.
  fixture.request('c');
  fixture.silences.noteArrival('c', 'counter-1');
  fixture.end('c', { kind: 'failed', status: 502 });
  goOn();
  t.is(fixture.found().length, 2);
  t.like(fixture.silences.counts(), [
    { routeName: 'unsafe', beside: 'none', met: 2, whole: 0, gatewayErrors: 1, cut: 1 },
  ]);
});

test('a request cut at its time-out, or in the last sixth of the grace period, is not reported', (t) => {
  const fixture = createFixture();
  fixture.silences.begin({ id: 'counter-1' });
  fixture.request('a').sentAtMs -= 2_000;
  fixture.end('a', { kind: 'broken', status: 200, body: '' });
  const stopped = { kind: 'router', name: 'router-0' } as const;
  fixture.disruptions.begin(stopped, 'stopped', { isPlanned: true });
  Object.assign(fixture.disruptions.all()[0] ?? {}, { fromMs: monotonicNowMs() - 5_000 });
  fixture.request('b').sentAtMs -= 1_000;
  fixture.end('b', { kind: 'broken', status: 200, body: '' });
  t.deepEqual(fixture.found(), ['silence']);
  Object.assign(fixture.request('d'), { sentAtMs: monotonicNowMs() - 3_000, timeoutMs: 9_000 });
  fixture.end('d', { kind: 'broken', status: 200, body: '' });
  t.deepEqual(fixture.found(), ['silence']);
});

test('a refusal while a silent server could run the request yet is reported, after a prefill it is not', (t) => {
  const fixture = createFixture();
  fixture.silences.begin({ id: 'counter-1' });
  fixture.request('a');
  fixture.silences.noteArrival('a', 'counter-1');
  fixture.end('a', { kind: 'refused', status: 503 });
  fixture.request('b');
  fixture.silences.noteArrival('b', 'counter-1', true);
  fixture.end('b', { kind: 'refused', status: 503 });
  t.deepEqual(fixture.found(), ['true-refusal']);
});

test('runs with a revoked or unknown key, a forwarded key, a wrong workspace and a wrong 401 are reported', (t) => {
  const fixture = createFixture();
  const nowMs = monotonicNowMs();
  fixture.request('late', { shownKey: { ...bonds, takenAtMs: nowMs - 1_200 } });
  fixture.arrive('late');
  fixture.request('unknown', { shownKey: { key: 'x', givenAtMs: Infinity, takenAtMs: Infinity } });
  fixture.arrive('unknown', 'counter-1', { workspaceName: undefined });
  fixture.request('shown');
  fixture.arrive('shown', 'counter-1', { hasCredential: true });
  fixture.request('other');
  fixture.arrive('other', 'counter-1', { workspaceName: 'letters' });
  fixture.request('refused');
  fixture.end('refused', { kind: 'failed', status: 401 });
  t.deepEqual(fixture.found(), ['keys', 'keys', 'keys', 'keys', 'keys']);
});

test('a run soon after a key was revoked and a 401 for a key just issued are not reported', (t) => {
  const fixture = createFixture();
  const nowMs = monotonicNowMs();
  fixture.request('soon', { shownKey: { ...bonds, takenAtMs: nowMs - 900 } });
  fixture.arrive('soon');
  fixture.request('new', { shownKey: { ...bonds, givenAtMs: nowMs - 500 } });
  fixture.end('new', { kind: 'failed', status: 401 });
  t.deepEqual(fixture.found(), []);
});

test('a request that arrives long after its caller disconnected is reported, unless its link was disturbed', (t) => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  t.teardown(() => clock.uninstall());
  const fixture = createFixture();
  ['a', 'b'].forEach((id) => {
    fixture.request(id);
    fixture.end(id, { kind: 'caller-left' });
  });
  clock.tick(700);
  fixture.arrive('a');
  t.deepEqual(fixture.found(), ['in-time']);
  fixture.disruptions.begin({ kind: 'server', id: 'counter-1' }, 'one-way')();
  fixture.arrive('b');
  t.is(fixture.found().length, 1);
});

test.serial(
  'requests sent late at routers that were held up are reported if they are many',
  (t) => {
    const clock = FakeTimers.install();
    t.teardown(() => clock.uninstall());
    const fixture = createFixture();
    fixture.disruptions.begin({ kind: 'router', name: 'router-0' }, 'starved');
    ['a', 'b', 'c', 'd'].forEach((id) => {
      fixture.request(id);
      fixture.departures.noteLeft(id);
    });
    clock.tick(700);
    ['a', 'b', 'c'].forEach((id) => fixture.departures.noteArrival(id, 'counter-1'));
    fixture.checks.checkAll();
    t.deepEqual(fixture.found(), []);
    fixture.departures.noteArrival('d', 'counter-1');
    fixture.checks.checkAll();
    t.deepEqual(fixture.found(), ['in-time']);
  },
);

test.serial(
  'more requests than an announced limit are reported, except those that were in flight',
  (t) => {
    const clock = FakeTimers.install();
    try {
      const fixture = createFixture();
      let sent = 0;
      const send = (serverId: string, count: number) =>
        Array.from({ length: count }).forEach(() => {
          sent += 1;
          fixture.request(`q${sent}`);
          fixture.arrive(`q${sent}`, serverId);
          clock.tick(100);
        });
      const endLimits = ['kept', 'passed'].map((id) => fixture.limits.begin(id, 1));
      send('kept', 5);
      send('kept', 11);
      send('passed', 5);
      clock.tick(1_000);
      send('passed', 12);
      endLimits.forEach((end) => end());
      send('kept', 20);
      fixture.limits.checkAll();
      t.deepEqual(fixture.found(), ['server-limit']);
    } finally {
      clock.uninstall();
    }
  },
);

test.serial('a request to a server after its leaving or backoff notice is reported', (t) => {
  const clock = FakeTimers.install();
  try {
    const fixture = createFixture();
    let sent = 0;
    const send = (serverId: string, outcome: RequestOutcome) => {
      sent += 1;
      fixture.request(`q${sent}`);
      fixture.arrive(`q${sent}`, serverId, { hasRun: outcome.kind === 'whole' });
      clock.tick(10);
      fixture.end(`q${sent}`, outcome);
      clock.tick(10);
      return `q${sent}`;
    };
    const whole = (): RequestOutcome => ({ kind: 'whole', status: 500, body: '' });
    const refused: RequestOutcome = { kind: 'refused', status: 503 };
    const foundNoticeViolations = () => {
      fixture.notices.checkAll();
      return fixture.found().filter((promise) => promise.endsWith('-word'));
    };
    // Each notice is sent once, and the backoff has expired before the next request.
    send('leaves', whole());
    fixture.notices.noteLeaving('leaves');
    send('leaves', whole());
    const endBackoff = fixture.notices.beginBackoff('rests', 1_000);
    send('rests', refused);
    endBackoff();
    clock.tick(1_000);
    send('rests', whole());
    t.deepEqual(foundNoticeViolations(), []);
    // A router that was killed since then has lost the notice.
    fixture.disruptions.begin({ kind: 'router', name: 'router-0' }, 'killed')();
    clock.tick(10);
    send('leaves', whole());
    t.deepEqual(foundNoticeViolations(), []);
    clock.tick(10);
    send('leaves', whole());
    t.deepEqual(foundNoticeViolations(), ['leaving-word']);
    const endLaterBackoff = fixture.notices.beginBackoff('rests', 1_000);
    send('rests', refused);
    send('rests', refused);
    endLaterBackoff();
    t.deepEqual(foundNoticeViolations().slice(1), ['leaving-word', 'rest-word']);
  } finally {
    clock.uninstall();
  }
});

test.serial('further attempts beyond the budget of some window are reported', (t) => {
  const clock = FakeTimers.install();
  try {
    const fixture = createFixture();
    // Five requests allow one further attempt, and the allowance allows three.
    ['a', 'b', 'c', 'd', 'e'].forEach((id) => {
      fixture.request(id);
      fixture.arrive(id);
    });
    const repeat = (ids: string[]) =>
      ids.forEach((id) => fixture.arrive(id, 'counter-1', { hasRun: false }));
    repeat(['a', 'b', 'c', 'd']);
    clock.tick(1_001);
    repeat(['a', 'b', 'c', 'd']);
    const fullest = fixture.budget.checkAll();
    t.deepEqual(fixture.found(), []);
    t.like(fullest, { furtherAttempts: 4, allowed: 4, share: 1 });
    clock.tick(700);
    repeat(['e']);
    fixture.budget.checkAll();
    t.deepEqual(fixture.found(), ['budget']);
  } finally {
    clock.uninstall();
  }
});

test('the first prefill that a server accepts is no further attempt, a rejected one is', (t) => {
  const fixture = createFixture();
  fixture.request('a');
  const prefill = (hasRun: boolean) => fixture.arrive('a', 'engine-1', { isPrefill: true, hasRun });
  prefill(true);
  fixture.arrive('a', 'engine-2');
  t.is(fixture.budget.checkAll(), undefined);
  fixture.request('b');
  fixture.arrive('b', 'engine-1', { isPrefill: true, hasRun: false });
  t.is(fixture.budget.checkAll()?.furtherAttempts, 1);
});
