import test from 'ava';
import { createScript } from '@bluebellhitch/soak';

const options = { durationMs: 20_000, routerCount: 3, serverCount: 10 };

test('the same seed gives the same script, another seed a different one', (t) => {
  const scripts = [7, 7, 8].map((seed) => createScript({ ...options, seed }));
  t.deepEqual(scripts[0], scripts[1]);
  t.notDeepEqual(scripts[0], scripts[2]);
});

test('steps are ordered, within the duration, and refer to existing routers and servers', (t) => {
  Array.from({ length: 200 }, (_none, seed) => createScript({ ...options, seed })).forEach(
    ({ steps }) => {
      const times = steps.map(({ atMs }) => atMs);
      t.deepEqual(
        times,
        [...times].sort((left, right) => left - right),
      );
      t.true(times.every((atMs) => atMs >= 0 && atMs <= options.durationMs));
      steps.forEach(({ operation }) => {
        t.true(!('router' in operation) || operation.router < options.routerCount);
        t.true(!('server' in operation) || operation.server < options.serverCount);
      });
    },
  );
});

test('all kinds of operations occur, and some scripts contain only planned work', (t) => {
  const scripts = Array.from({ length: 200 }, (_none, seed) => createScript({ ...options, seed }));
  const kinds = new Set(
    scripts.flatMap(({ steps }) => steps.map(({ operation }) => operation.kind)),
  );
  t.is(kinds.size, 22);
  const planned = scripts.filter(({ kind }) => kind === 'planned');
  t.true(planned.length > 20);
  const unplanned = planned
    .flatMap(({ steps }) => steps)
    .filter(({ operation }) =>
      /kill|freeze|starve|crash|fault|errors|link|reset|limit|restore|rest-|unlisted|slow|silence/.test(
        operation.kind,
      ),
    );
  t.deepEqual(unplanned, []);
});

test('a script of kind attempts disturbs all servers and kills all routers', (t) => {
  const { kind, steps } = createScript({ ...options, seed: 7, kind: 'attempts' });
  t.is(kind, 'attempts');
  const operations = steps.map(({ operation }) => operation);
  const targets = (name: string) =>
    new Set(
      operations.flatMap((one) =>
        one.kind === name ? (JSON.stringify(one).match(/"(server|router)":\d+/)?.[0] ?? []) : [],
      ),
    );
  t.is(targets('server-errors').size, options.serverCount);
  t.is(targets('kill-router').size, options.routerCount);
});

test('a script of kind silences has only planned work beside silences of one to all servers, each of which answers in between', (t) => {
  const kind = 'silences';
  const scripts = Array.from({ length: 50 }, (_none, seed) =>
    createScript({ ...options, seed, kind }),
  );
  const steps = scripts.flatMap((script) => script.steps);
  t.deepEqual([...new Set(steps.map(({ operation }) => operation.kind))].sort(), [
    ...['change-configuration', 'reload-router', 'silence-server', 'slow-server', 'stop-router'],
  ]);
  const spans = scripts.flatMap((script, index) =>
    script.steps.flatMap(({ atMs, operation }) =>
      operation.kind === 'silence-server'
        ? [{ ...operation, atMs, key: `${index} ${operation.server}` }]
        : [],
    ),
  );
  t.true(spans.every(({ forMs }) => forMs >= 200 && forMs <= 3_000));
  const pairs = spans.flatMap((one) =>
    spans
      .filter(({ key, atMs }) => key === one.key && atMs > one.atMs)
      .map((later) => ({ one, later })),
  );
  t.true(pairs.every(({ one, later }) => later.atMs >= one.atMs + one.forMs + 1_000));
  t.is(new Set(spans.map(({ server }) => server)).size, options.serverCount);
});
