/** One router process on a small machine, as the deploy file starts it, with a plain server that answers at once. */
import { randomInt } from 'node:crypto';
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import {
  callRouter,
  encodeConfiguration,
  startStandinStore,
  startStandinWorker,
} from '@bluebellhitch/platform-standins';
import { routeKinds, type Configuration } from '@bluebellhitch/routing';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { watchProcess, type ProcessUse } from '@bluebellhitch/standins';
import { callersHost, plainRoute } from '../../src/configurationPlan';
import { startRouterFleet, type RouterProcessHandle } from '../../src/routerFleet';
import { serviceNames } from '../../src/serverSlots';

export interface CrowdedRouter {
  router: RouterProcessHandle;
  use: ProcessUse;
  /** How the process ended by itself; undefined if it did not. */
  ownEnd(): string | undefined;
  /** Calls as an ordinary caller does, who comes back while the answers promise that the request has not run. */
  call(request: OrdinaryRequest): Promise<number>;
}

/** Services beside the ordinary one, with the entries of their servers by name. */
export interface FurtherServices {
  routes: Configuration['routes'];
  services: Configuration['services'];
  entries: Record<string, Record<string, unknown>>;
}

export interface OrdinaryRequest {
  path?: string;
  method?: string;
  body?: string;
}

const repositoryRoot = join(import.meta.dirname, '..', '..', '..', '..');
/** The smallest machine and the limits of the users' pages. */
export const machine = { memoryBytes: 178 * 1_048_576, maxDescriptors: 1_400 } as const;
export const callerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
} as const;
/** So long that no speed of the machine decides whether a request is answered. */
export const patientMs = 60_000;
export const graceMs = 8_000;
const pollMs = 100;
const notRunStatuses = [408, 421, 429, 503];
const bounds = {
  contactMs: 3_000,
  graceMs,
  attemptRatio: 0.2,
  attemptAllowance: 160,
  // So short that further attempts are always available.
  attemptWindowMs: 10,
  leaseMs: 1_000,
};

/** Starts the router, and resolves once it has answered a request and its admin server has started. */
export async function startCrowdedRouter(
  t: ExecutionContext,
  { routes, services, entries }: FurtherServices = { routes: [], services: [], entries: {} },
): Promise<CrowdedRouter> {
  const store = await startStandinStore();
  t.teardown(store.stop);
  const allRoutes = [...configuration.routes, ...routes];
  const allServices = [...configuration.services, ...services];
  store.put(
    'config',
    'main',
    encodeConfiguration({ ...configuration, routes: allRoutes, services: allServices }),
  );
  Object.entries(entries).forEach(([name, entry]) => store.put('servers', name, entry));
  const server = await startStandinWorker({
    id: 's1',
    service: serviceNames.counter,
    textOf: (requestId) => (requestId.startsWith('long-') ? 'x'.repeat(200_000) : 'short'),
  });
  t.teardown(server.stop);
  store.put('servers', server.id, server.entry);
  let ownEnd: string | undefined;
  const fleet = await startRouterFleet({
    count: 1,
    hostPrefix: `127.${randomInt(64, 255)}.${randomInt(1, 255)}`,
    storeAddress: store.address,
    bounds,
    ...machine,
    nodeArguments: deployedNodeArguments(),
    programPath: join(repositoryRoot, 'target', 'bluebell-router.mjs'),
    exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
    directory: mkdtempSync(join(tmpdir(), 'bluebell-crowd-')),
    onUnexpectedExit(_name, how) {
      ownEnd = how;
    },
  });
  t.teardown(fleet.close);
  const [router] = fleet.routers as [RouterProcessHandle];
  const use = watchProcess(router.pid() as number);
  t.teardown(use.stop);

  let requestNumber = 0;
  async function call({ path = '/safe/', method = 'GET', body }: OrdinaryRequest): Promise<number> {
    const endsAtMs = monotonicNowMs() + patientMs;
    let status = 0;
    while (monotonicNowMs() < endsAtMs && ownEnd === undefined) {
      requestNumber += 1;
      const outcome = await callRouter({
        ...{ address: router.callersAddress, host: callersHost, target: `${path}ordinary` },
        ...{ requestId: `ordinary-${requestNumber}`, deadlineMs: patientMs, method, body },
        signal: AbortSignal.timeout(patientMs),
      });
      status = outcome.kind === 'answered' ? outcome.response.status : 0;
      if (status !== 0 && !notRunStatuses.includes(status)) {
        return status;
      }
      await delay(pollMs);
    }
    return status;
  }

  if ((await call({})) !== 200) {
    throw new Error('the router does not serve');
  }
  await untilAdminServes(router);
  return { router, use, ownEnd: () => ownEnd, call };
}

/** The admin server starts last. */
async function untilAdminServes({ adminAddress }: RouterProcessHandle): Promise<void> {
  const endsAtMs = monotonicNowMs() + patientMs;
  const isServed = () =>
    fetch(`http://${adminAddress}/livez`).then(
      ({ ok }) => ok,
      () => false,
    );
  while (!(await isServed())) {
    if (monotonicNowMs() > endsAtMs) {
      throw new Error('the admin server does not serve');
    }
    await delay(pollMs);
  }
}

/** The arguments of Node.js in the deploy file. */
function deployedNodeArguments(): string[] {
  const text = readFileSync(join(repositoryRoot, 'deploy', 'system.toml'), 'utf8');
  const line = /^run = "node (.*) target\/bluebell-router\.mjs"$/m.exec(text)?.[1] ?? '';
  return line.split(' ').filter((argument) => argument !== '');
}

const configuration = {
  version: 1,
  routes: [
    plainRoute('safe', routeKinds.idempotent, serviceNames.counter),
    plainRoute('unsafe', routeKinds.nonIdempotent, serviceNames.counter),
  ].map((route) => ({ ...route, timeoutMs: patientMs })),
  services: [{ name: serviceNames.counter, maxConnections: 96 }],
  limits: callerLimits,
};
