/** Router processes that get no processor time for a while, with servers that count work for callers that have left. */
import { randomInt } from 'node:crypto';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import {
  callRouter,
  createCallerDepartures,
  encodeConfiguration,
  startStandinStore,
  startStandinWorker,
  type CallerDepartures,
  type StandinWorker,
  type StandinWorkerOptions,
} from '@bluebellhitch/platform-standins';
import { routeKinds } from '@bluebellhitch/routing';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { serviceNames } from '../../src/serverSlots';
import { callerLimits, callersHost, plainRoute, streamRoute } from '../../src/configurationPlan';
import { startRouterFleet, type RouterProcessHandle } from '../../src/routerFleet';

const repositoryRoot = join(import.meta.dirname, '..', '..', '..', '..');
const startTimeoutMs = 30_000;
const pollMs = 50;
/** So long that only its deadline or its caller ends a stream. */
const streamTimeoutMs = 60_000;
const bounds = {
  contactMs: 3_000,
  graceMs: 6_000,
  attemptRatio: 0.2,
  attemptAllowance: 160,
  // So short that further attempts are always available.
  attemptWindowMs: 10,
  leaseMs: 1_000,
};

export interface HeldUpRouters {
  routers: readonly RouterProcessHandle[];
  workers: readonly StandinWorker[];
  departures: CallerDepartures;
  /** Starts and lists one more server. */
  startWorker(options: WorkerOptions): Promise<StandinWorker>;
}

export type WorkerOptions = Omit<Partial<StandinWorkerOptions>, 'id' | 'service' | 'departures'>;

/** Starts routers and servers, and resolves once each router serves plain requests and streams. */
export async function startHeldUpRouters(
  t: ExecutionContext,
  routerCount: number,
  workerOptions: readonly WorkerOptions[],
): Promise<HeldUpRouters> {
  const departures = createCallerDepartures();
  const store = await startStandinStore();
  t.teardown(store.stop);
  store.put('config', 'main', encodeConfiguration(configuration));
  let workerCount = 0;
  const startWorker = async (options: WorkerOptions) => {
    const service = options.stage === undefined ? serviceNames.counter : serviceNames.letters;
    const id = `s${workerCount}`;
    workerCount += 1;
    const worker = await startStandinWorker({ ...options, id, service, departures });
    t.teardown(worker.stop);
    store.put('servers', worker.id, worker.entry);
    return worker;
  };
  const workers = await Promise.all(workerOptions.map(startWorker));
  const fleet = await startRouterFleet({
    count: routerCount,
    hostPrefix: `127.${randomInt(64, 255)}.${randomInt(1, 255)}`,
    storeAddress: store.address,
    bounds,
    programPath: join(repositoryRoot, 'target', 'bluebell-router.mjs'),
    exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
    directory: mkdtempSync(join(tmpdir(), 'bluebell-held-up-')),
    onUnexpectedExit(name, how) {
      try {
        t.fail(`${name} ended: ${how}`);
      } catch {
        // The test has failed; thrown from here, the error would end the test process without naming the test.
      }
    },
  });
  t.teardown(fleet.close);
  const paths = workers.some(({ entry }) => entry.stage !== undefined)
    ? ['/safe/', '/resumed/']
    : ['/safe/'];
  await untilAllServe(fleet.routers, paths);
  return { routers: fleet.routers, workers, departures, startWorker };
}

/** Stops the process while `meanwhile` runs. */
export async function whileStopped(
  router: RouterProcessHandle,
  meanwhile: () => Promise<void>,
): Promise<void> {
  router.freeze();
  try {
    await meanwhile();
  } finally {
    router.resume();
  }
}

async function untilAllServe(
  routers: readonly RouterProcessHandle[],
  paths: readonly string[],
): Promise<void> {
  const endsAtMs = monotonicNowMs() + startTimeoutMs;
  await Promise.all(
    routers.flatMap((router) => paths.map((path) => untilServed(router, path, endsAtMs))),
  );
}

async function untilServed(
  router: RouterProcessHandle,
  path: string,
  endsAtMs: number,
): Promise<void> {
  const prompt = path === '/safe/' ? undefined : { promptTokens: 1_000, maxOutputTokens: 100 };
  const isServed = async () => {
    const outcome = await callRouter({
      ...{ address: router.callersAddress, host: callersHost, target: `${path}ready`, prompt },
      ...{ requestId: `ready-${router.name}`, deadlineMs: 2_000, method: 'GET' },
    });
    return outcome.kind === 'answered' && outcome.response.status === 200;
  };
  while (!(await isServed())) {
    if (monotonicNowMs() > endsAtMs) {
      throw new Error(`${router.name} does not serve ${path}`);
    }
    await delay(pollMs);
  }
}

const configuration = {
  version: 1,
  routes: [
    { ...streamRoute('resumed', true, 1), timeoutMs: streamTimeoutMs },
    streamRoute('once', false, 1),
    plainRoute('safe', routeKinds.idempotent, serviceNames.counter),
    plainRoute('unsafe', routeKinds.nonIdempotent, serviceNames.counter),
  ],
  services: [serviceNames.letters, serviceNames.counter].map((name) => ({
    name,
    maxConnections: 600,
    engine:
      name === serviceNames.letters
        ? { kvTokens: 200_000, reservationLimitMs: 4_000, stageSwitchMs: 100 }
        : undefined,
  })),
  limits: callerLimits,
};
