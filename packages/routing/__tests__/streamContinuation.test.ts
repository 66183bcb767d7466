import test from 'ava';
import type { StreamOrigin } from '@bluebellhitch/protocol';
import { routeKinds, type CallerRequest, type Route } from '@bluebellhitch/routing';
import type { OriginLookup } from '../src/fleet/originStore';
import { isResumption, planResumption } from '../src/request/streamContinuation';

const route = {
  kind: routeKinds.stream,
  targets: [
    { serviceName: 'a', weight: 1 },
    { serviceName: 'b', weight: 1 },
  ],
} as unknown as Route;
const request = { lastEventId: 3, resumedRequestId: 'r1' } as CallerRequest;

interface Knowledge {
  origin?: StreamOrigin;
  stored?: OriginLookup;
  onlyVersion?: string;
}

const plan = (
  { origin, stored = { kind: 'missing' }, onlyVersion }: Knowledge,
  resuming: CallerRequest = request,
  resumedRoute: Route = route,
) =>
  planResumption(resumedRoute, resuming, {
    streamOrigins: { find: async () => origin },
    originStore: { find: async () => stored },
    serviceVersions: {
      onlyVersion: async () =>
        onlyVersion === undefined
          ? { kind: 'unknown', reason: 'several-recorded' }
          : { kind: 'known', softwareVersion: onlyVersion },
    },
    random: () => 0.9,
  });

test('a stream goes on at the service and the version that began it, whatever else serves', async (t) => {
  // A route may be split over services, and a service over versions.
  const origin = { serviceName: 'a', softwareVersion: 'v1' };
  t.deepEqual(await plan({ origin, onlyVersion: 'v2' }), {
    target: { serviceName: 'a', weight: 1 },
    resumed: { source: 'remembered', softwareVersion: 'v1' },
  });
});

test('a stream whose route was moved goes on at the new service, at the version that began it', async (t) => {
  // The old service may no longer run requests of the route.
  const origin = { serviceName: 'gone', softwareVersion: 'v1' };
  const { target, resumed } = await plan({ origin });
  t.is(target?.serviceName, 'b');
  t.deepEqual(resumed, { source: 'remembered', softwareVersion: 'v1' });
});

test('a stream that nobody knows goes on only where one service with one version can have begun it', async (t) => {
  // Among several any choice would be a guess.
  const single = { ...route, targets: [{ serviceName: 'b', weight: 1 }] };
  const only = await plan({ onlyVersion: 'v1' }, request, single);
  t.deepEqual(only.resumed, { source: 'only-version', softwareVersion: 'v1' });
  const several = await plan({}, request, single);
  t.deepEqual(several.resumed, {
    ...{ source: 'unknown', reason: 'several-recorded', stored: 'missing' },
  });
  const split = await plan({ onlyVersion: 'v1' });
  t.deepEqual(split.resumed, {
    ...{ source: 'unknown', reason: 'several-services', stored: 'missing' },
  });
});

test('a service without a share of the route is not taken for the one that began a stream', async (t) => {
  // Its streams are not put on record for such a service, so that they could not be found.
  const targets = [
    { serviceName: 'a', weight: 0 },
    { serviceName: 'b', weight: 1 },
  ];
  t.deepEqual(await plan({ onlyVersion: 'v1' }, request, { ...route, targets }), {
    target: { serviceName: 'b', weight: 1 },
    resumed: { source: 'only-version', softwareVersion: 'v1' },
  });
});

test('a stream on record goes on at the service and the version that began it', async (t) => {
  // After an end of all routers nothing else ties a stream to its version.
  const stored: OriginLookup = {
    kind: 'found',
    origin: { serviceName: 'a', softwareVersion: 'v1' },
  };
  t.deepEqual(await plan({ stored }), {
    target: { serviceName: 'a', weight: 1 },
    resumed: { source: 'stored', softwareVersion: 'v1' },
  });
});

test('a caller that names no earlier request is not taken for one that does', async (t) => {
  // Its stream cannot be looked up.
  const origin = { serviceName: 'a', softwareVersion: 'v1' };
  const unnamed = { lastEventId: 3 } as CallerRequest;
  const { resumed } = await plan({ origin }, unnamed);
  t.deepEqual(resumed, { source: 'unknown', reason: 'several-services' });
});

test('only streams that a caller has events of are resumed', (t) => {
  t.true(isResumption(route, request));
  t.false(isResumption(route, { resumedRequestId: 'r1' } as CallerRequest));
  t.false(isResumption({ ...route, kind: routeKinds.idempotent }, request));
});
