import test from 'ava';
import {
  createRouteTable,
  findMovedRoutes,
  routeKinds,
  type Configuration,
  type Route,
  type RouteTable,
} from '@bluebellhitch/routing';

const host = 'a.example';

function route(pathPrefix: string, services: readonly string[], weights = [1, 1]): Route {
  const targets = services.map((serviceName, index) => ({ serviceName, weight: weights[index] }));
  const stream = { name: pathPrefix, host, pathPrefix, kind: routeKinds.stream, targets };
  return stream as unknown as Route;
}

function table(...routes: Route[]): RouteTable {
  return createRouteTable({ version: 1, routes, services: [] } as unknown as Configuration);
}

test('a route that has other services is moved, one that has the same is not', (t) => {
  const before = table(route('/a/', ['x', 'y']), route('/b/', ['x']), route('/c/', ['z']));
  const after = table(route('/a/', ['y', 'x']), route('/b/', ['y']), route('/c/', ['z'], [9]));
  t.deepEqual(findMovedRoutes(before, after), [
    { host, pathPrefix: '/b/', from: ['x'], to: ['y'] },
  ]);
});

test('a service that has lost its share of a route has begun its streams', (t) => {
  const moved = findMovedRoutes(
    table(route('/a/', ['x', 'y'])),
    table(route('/a/', ['x', 'y'], [1, 0])),
  );
  t.deepEqual(moved, [{ host, pathPrefix: '/a/', from: ['x', 'y'], to: ['x'] }]);
});

test('paths move when a longer one comes or goes', (t) => {
  // Streams under the longer path are found by its route, which has no other service itself.
  const short = route('/a/', ['x']);
  const long = route('/a/b/', ['y']);
  const come = findMovedRoutes(table(short), table(short, long));
  t.deepEqual(come, [{ host, pathPrefix: '/a/b/', from: ['x'], to: ['y'] }]);
  const gone = findMovedRoutes(table(short, long), table(short));
  t.deepEqual(gone, [{ host, pathPrefix: '/a/b/', from: ['y'], to: ['x'] }]);
});

test('routes that are new or gone, or carry no streams, move nothing', (t) => {
  const plain = { ...route('/p/', ['x']), kind: routeKinds.idempotent };
  const moved = { ...route('/p/', ['y']), kind: routeKinds.idempotent };
  t.deepEqual(findMovedRoutes(table(plain, route('/a/', ['x'])), table(moved)), []);
  t.deepEqual(findMovedRoutes(table(plain), table(plain, route('/b/', ['x']))), []);
});
