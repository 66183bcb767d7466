/** A small deployment: the platform's store, workers of an engine service and of a plain one, and the routers. */
import { randomInt } from 'node:crypto';
import { startStandinStore, startStandinWorker } from './standins.mjs';
import { smallBounds, startFleet } from './fleet.mjs';
import { startWatchCutter } from './watchCutter.mjs';

export const host = 'ficu95.example';
export const engineService = 'draft-models';
export const plainService = 'counter-app';
/** As often as the settings of the site say. */
const heartbeatMs = 1_200;

const routeDefaults = { host, timeout_ms: 14_000, target_latency_ms: 900, priority: 1 };

export function configurationOf(version, overrides = {}) {
  return {
    version,
    routes: [
      {
        ...routeDefaults,
        name: 'letters',
        path_prefix: '/letters/',
        kind: 'stream',
        service: engineService,
        target_gap_ms: 300,
        max_attempts: 1,
        allow_resume: false,
      },
      {
        ...routeDefaults,
        name: 'summaries',
        path_prefix: '/summaries/',
        kind: 'stream',
        service: engineService,
        target_gap_ms: 300,
        max_attempts: 2,
        allow_resume: true,
      },
      {
        ...routeDefaults,
        name: 'balances',
        path_prefix: '/balances/',
        kind: 'non_idempotent',
        service: plainService,
        timeout_ms: 4_000,
        max_attempts: 1,
      },
      {
        ...routeDefaults,
        name: 'receipts',
        path_prefix: '/receipts/',
        kind: 'idempotent',
        service: plainService,
        timeout_ms: 4_000,
        max_attempts: 2,
      },
    ],
    services: [
      {
        name: engineService,
        max_connections: 360,
        health_path: '/health',
        engine: { slots: 64, kv_tokens: 54_104, hold_ms: 2_000, handle_ttl_s: 0.5, switch_s: 6 },
      },
      { name: plainService, max_connections: 96, health_path: '/health' },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
    ...overrides,
  };
}

/**
 * `workers` are options of stand-ins for workers, each with an `id` and a `service`; `startWorker` starts one of them.
 * Default: the project's stand-in.
 */
export async function startDeployment({
  routerCount,
  workers,
  bounds = smallBounds,
  configuration = configurationOf(1),
  limits,
  useCutter = false,
  startWorker = startStandinWorker,
}) {
  const store = await startStandinStore();
  store.put('config', 'main', configuration);
  const started = await Promise.all(workers.map((options) => startWorker(options)));
  started.forEach(({ id, entry }) => store.put('servers', id, entry));
  const listed = new Set(started);
  const heartbeat = setInterval(() => {
    listed.forEach((worker) => {
      store.refresh('servers', worker.id, worker.entryAt(worker.address));
    });
  }, heartbeatMs);
  const cutter = useCutter
    ? await startWatchCutter({ host: '127.0.0.1', target: store.address })
    : undefined;
  const hostPrefix = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
  const fleet = await startFleet({
    count: routerCount,
    hostPrefix,
    storeAddress: cutter?.address ?? store.address,
    bounds,
    limits,
  });
  return {
    store,
    cutter,
    workers: started,
    routers: fleet.routers,
    directory: fleet.directory,
    /** The worker writes its entry no more. */
    stopHeartbeat: (worker) => listed.delete(worker),
    async close() {
      clearInterval(heartbeat);
      await fleet.close();
      cutter?.close();
      await Promise.all(started.map((worker) => worker.stop()));
      store.stop();
    },
  };
}
