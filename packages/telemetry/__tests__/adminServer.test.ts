import test from 'ava';
import { createDecisionRing, createEntryMetrics, startAdminServer } from '@bluebellhitch/telemetry';

test('the admin server serves health, metrics, decisions and additional routes', async (t) => {
  const ring = createDecisionRing();
  ring.record({
    requestId: 'request-1',
    service: 'draft-models',
    institution: 'halloran-voss',
    className: 'clerk',
    startedAt: '2026-01-01T00:00:00.000Z',
    steps: [{ atMs: 2, kind: 'bid', detail: { instanceId: 'agent-1' } }],
    outcome: 'completed',
  });
  const health = { ready: false, live: true };
  const server = await startAdminServer({
    host: '127.0.0.1',
    port: 0,
    metrics: createEntryMetrics(),
    ring,
    isReady: () => health.ready,
    isLive: () => health.live,
    routes: { '/debug/config': () => ({ generation: 3 }) },
  });
  t.teardown(() => server.close());
  const get = (path: string) => fetch(`${server.address}${path}`);

  t.is((await get('/readyz')).status, 503);
  health.ready = true;
  t.is((await get('/readyz')).status, 200);
  t.is((await get('/livez')).status, 200);
  health.live = false;
  t.is((await get('/livez')).status, 503);
  const metrics = await get('/metrics');
  t.regex(metrics.headers.get('content-type') ?? '', /^text\/plain/);
  t.regex(await metrics.text(), /bluebell_requests_total/);
  t.like(await (await get('/debug/decisions')).json(), { length: 1 });
  t.like(await (await get('/debug/decisions/request-1')).json(), { outcome: 'completed' });
  t.is((await get('/debug/decisions/none')).status, 404);
  t.deepEqual(await (await get('/debug/config')).json(), { generation: 3 });
});

test('starting fails if the port is in use', async (t) => {
  const options = {
    host: '127.0.0.1',
    metrics: createEntryMetrics(),
    ring: createDecisionRing(),
    isReady: () => true,
  };
  const server = await startAdminServer({ ...options, port: 0 });
  t.teardown(() => server.close());

  const error = await t.throwsAsync(
    startAdminServer({ ...options, port: Number(new URL(server.address).port) }),
  );
  t.regex(error?.message ?? '', /EADDRINUSE/);
});
