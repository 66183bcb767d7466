import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { createDisruptions } from '../src/disruptions';
import { createFindings } from '../src/findings';
import { createLedger, type Arrival, type RequestEnd } from '../src/ledger';
import type { ShownKey } from '../src/keyring';
import { createLimitChecks } from '../src/limitChecks';
import { createRequestChecks } from '../src/requestChecks';
import { createWordChecks } from '../src/wordChecks';
import { createWorkspaceChecks } from '../src/workspaceChecks';

const bonds: ShownKey = {
  key: 'k',
  workspaceName: 'bonds',
  givenAtMs: -Infinity,
  takenAtMs: Infinity,
};

/** A check that never fails proves nothing: each of these must be found. */
function createWorld() {
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
  const checks = createRequestChecks({
    workspaces,
    ledger,
    findings,
    disruptions,
    servers: () => ({ leavingSinceMs: (id: string) => leaving.get(id) }) as never,
    drainMs: 2_000,
    marginMs: 100,
  });

  const limits = createLimitChecks({ ledger, findings, disruptions, marginMs: 100 });

  const words = createWordChecks({ ledger, findings, disruptions });

  function request(id: string, over: { isRepeatable?: boolean; shownKey?: ShownKey } = {}) {
    return ledger.send({
      id,
      routerName: 'router-0',
      routeName: 'unsafe',
      routeKind: 'non-idempotent',
      isRepeatable: false,
      timeoutMs: 2_000,
      isProbe: false,
      shownKey: bonds,
      ...over,
    });
  }

  function end(id: string, how: RequestEnd) {
    const sent = ledger.request(id);
    if (sent !== undefined) {
      sent.endedAtMs = monotonicNowMs();
      sent.end = how;
      checks.onEnded(sent);
    }
  }

  const arrive = (requestId: string, serverId = 'counter-1', over: Partial<Arrival> = {}) =>
    ledger.arrive({
      ...{ requestId, serverId, serviceName: 'counter', isPrefill: false, hasRun: true },
      ...{ workspaceName: 'bonds', hasCredential: false },
      ...over,
    });
  const found = () => findings.all().map(({ promise }) => promise);
  return { request, end, arrive, found, checks, limits, words, leaving, disruptions };
}

test('a second run, a false refusal and one that runs later are found', (t) => {
  const world = createWorld();
  world.request('a');
  world.arrive('a');
  world.arrive('a');
  world.request('b');
  world.arrive('b');
  world.end('b', { kind: 'refused', status: 503 });
  world.request('c');
  world.end('c', { kind: 'refused', status: 503 });
  world.arrive('c');
  world.checks.checkAll();
  t.deepEqual(world.found(), ['at-most-once', 'true-refusal', 'true-refusal', 'true-refusal']);
});

test('another request’s answer and a stream with a missing event are found', (t) => {
  const world = createWorld();
  world.request('a');
  world.arrive('a');
  world.end('a', { kind: 'whole', status: 200, body: 'b at counter-1' });
  t.deepEqual(world.found(), ['whole-answer']);
  world.request('c');
  world.arrive('c');
  world.end('c', { kind: 'whole', status: 200, body: 'c at counter-1' });
  t.is(world.found().length, 1);
});

test('a request to a server that has left is found, unless its router was out of touch', (t) => {
  const world = createWorld();
  world.leaving.set('counter-1', monotonicNowMs() - 2_500);
  world.request('a');
  world.arrive('a');
  t.deepEqual(world.found(), ['drain']);
  world.disruptions.begin({ kind: 'router', name: 'router-0' }, 'frozen')();
  world.request('b');
  world.arrive('b');
  t.is(world.found().length, 1);
});

test('an answer that breaks beside planned work is found, one beside a crash is not', (t) => {
  const world = createWorld();
  world.disruptions.begin({ kind: 'router', name: 'router-0' }, 'stopped', { isPlanned: true });
  world.request('a');
  world.end('a', { kind: 'broken', status: 200, body: '' });
  t.deepEqual(world.found(), ['leaving']);
  world.disruptions.begin({ kind: 'server', id: 'counter-1' }, 'crash');
  world.request('b');
  world.end('b', { kind: 'broken', status: 200, body: '' });
  t.is(world.found().length, 1);
});

test('a run of a key that was taken away, was never given, or went on, and a false 401 are found', (t) => {
  const world = createWorld();
  const nowMs = monotonicNowMs();
  world.request('late', { shownKey: { ...bonds, takenAtMs: nowMs - 1_200 } });
  world.arrive('late');
  world.request('unknown', { shownKey: { key: 'x', givenAtMs: Infinity, takenAtMs: Infinity } });
  world.arrive('unknown', 'counter-1', { workspaceName: undefined });
  world.request('shown');
  world.arrive('shown', 'counter-1', { hasCredential: true });
  world.request('other');
  world.arrive('other', 'counter-1', { workspaceName: 'letters' });
  world.request('refused');
  world.end('refused', { kind: 'failed', status: 401 });
  t.deepEqual(world.found(), ['keys', 'keys', 'keys', 'keys', 'keys']);
});

test('a run within the time of a key, and a 401 for one that was just given, are right', (t) => {
  const world = createWorld();
  const nowMs = monotonicNowMs();
  world.request('soon', { shownKey: { ...bonds, takenAtMs: nowMs - 900 } });
  world.arrive('soon');
  world.request('new', { shownKey: { ...bonds, givenAtMs: nowMs - 500 } });
  world.end('new', { kind: 'failed', status: 401 });
  t.deepEqual(world.found(), []);
});

test('a request that arrives long after its caller has left is found, unless a link held it up', (t) => {
  const clock = FakeTimers.install({ toFake: ['performance'] });
  t.teardown(() => clock.uninstall());
  const world = createWorld();
  ['a', 'b'].forEach((id) => {
    world.request(id);
    world.end(id, { kind: 'caller-left' });
  });
  clock.tick(700);
  world.arrive('a');
  t.deepEqual(world.found(), ['in-time']);
  world.disruptions.begin({ kind: 'server', id: 'counter-1' }, 'one-way')();
  world.arrive('b');
  t.is(world.found().length, 1);
});

test.serial(
  'a server that gets more than the limit that it named is found, but for what was on its way',
  (t) => {
    const clock = FakeTimers.install();
    try {
      const world = createWorld();
      let sent = 0;
      const send = (serverId: string, count: number) =>
        Array.from({ length: count }).forEach(() => {
          sent += 1;
          world.request(`q${sent}`);
          world.arrive(`q${sent}`, serverId);
          clock.tick(100);
        });
      const ended = ['kept', 'passed'].map((id) => world.limits.begin(id, 1));
      send('kept', 5);
      send('kept', 11);
      send('passed', 5);
      clock.tick(1_000);
      send('passed', 12);
      ended.forEach((end) => end());
      send('kept', 20);
      world.limits.checkAll();
      t.deepEqual(world.found(), ['server-limit']);
    } finally {
      clock.uninstall();
    }
  },
);

test.serial(
  'a router that sends to a server after its word that it leaves, or rests, is found',
  (t) => {
    const clock = FakeTimers.install();
    try {
      const world = createWorld();
      let sent = 0;
      const send = (serverId: string, how: RequestEnd) => {
        sent += 1;
        world.request(`q${sent}`);
        world.arrive(`q${sent}`, serverId, { hasRun: how.kind === 'whole' });
        clock.tick(10);
        world.end(`q${sent}`, how);
        clock.tick(10);
        return `q${sent}`;
      };
      const whole = (): RequestEnd => ({ kind: 'whole', status: 500, body: '' });
      const refused: RequestEnd = { kind: 'refused', status: 503 };
      const foundAll = () => {
        world.words.checkAll();
        return world.found().filter((promise) => promise.endsWith('-word'));
      };
      // Each word is told once, and the rest is over before the next request.
      send('leaves', whole());
      world.words.leaves('leaves');
      send('leaves', whole());
      const ended = world.words.rests('rests', 1_000);
      send('rests', refused);
      ended();
      clock.tick(1_000);
      send('rests', whole());
      t.deepEqual(foundAll(), []);
      // A router that was killed since has forgotten.
      world.disruptions.begin({ kind: 'router', name: 'router-0' }, 'killed')();
      clock.tick(10);
      send('leaves', whole());
      t.deepEqual(foundAll(), []);
      clock.tick(10);
      send('leaves', whole());
      t.deepEqual(foundAll(), ['leaving-word']);
      const endedLater = world.words.rests('rests', 1_000);
      send('rests', refused);
      send('rests', refused);
      endedLater();
      t.deepEqual(foundAll().slice(1), ['leaving-word', 'rest-word']);
    } finally {
      clock.uninstall();
    }
  },
);
