import test from 'ava';
import { createRouteTable, type Configuration, type Route } from '@bluebellhitch/routing';
import { chooseTarget } from '../src/routeTable';

const route = (overrides: Partial<Route>): Route => ({
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'idempotent',
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetGapMs: 0,
  priority: 0,
  maxAttempts: 1,
  allowsResume: false,
  targets: [{ serviceName: 's', weight: 1 }],
  ...overrides,
});

const configuration = (routes: Route[]): Configuration => ({
  version: 1,
  routes,
  services: [{ name: 's', maxConnections: 10 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

test('the longest prefix of the host wins, whatever the order', (t) => {
  const table = createRouteTable(
    configuration([
      route({ name: 'short', pathPrefix: '/a/' }),
      route({ name: 'long', pathPrefix: '/a/b/' }),
      route({ name: 'other', host: 'b.example', pathPrefix: '/a/b/c/' }),
    ]),
  );
  t.is(table.match('a.example', '/a/b/c')?.name, 'long');
  t.is(table.match('A.example:80', '/a/x?y=/a/b/')?.name, 'short');
  t.is(table.match('b.example', '/a/b/')?.name, undefined);
  t.is(table.match('c.example', '/a/'), undefined);
});

test('a prefix matches whole path segments only', (t) => {
  const table = createRouteTable(configuration([route({ pathPrefix: '/a/' })]));
  t.is(table.match('a.example', '/ab/'), undefined);
  t.is(table.match('a.example', '/a'), undefined);
});

test('targets are chosen by weight, and none of weight 0', (t) => {
  const targets = [
    { serviceName: 'none', weight: 0 },
    { serviceName: 'most', weight: 90 },
    { serviceName: 'few', weight: 10 },
  ];
  t.is(chooseTarget(targets, 0)?.serviceName, 'most');
  t.is(chooseTarget(targets, 0.89)?.serviceName, 'most');
  t.is(chooseTarget(targets, 0.91)?.serviceName, 'few');
  t.is(chooseTarget([], 0.5), undefined);
});
