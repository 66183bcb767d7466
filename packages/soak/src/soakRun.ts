/**
 * One run of a seed: routers as processes before stand-ins of the store and of backend servers, callers
 * under load, and a script of faults. Promises are checked while it runs; at its end everything is calm again
 * and must be served as before.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { PlatformBounds } from '@bluebellhitch/platform';
import { startStandinStore } from '@bluebellhitch/platform-standins';
import { createSeededRandom, delay, monotonicNowMs } from '@bluebellhitch/shared';
import { startBackendServers, type BackendServers } from './backendServers';
import { createCallers, modelTokens } from './callers';
import { createConfigurationPlan } from './configurationPlan';
import { createDisruptions } from './disruptions';
import { createBudgetCheck, createConfigurationCheck, servedShare } from './fleetChecks';
import { createFindings, promises, type Findings, type SoakFinding } from './findings';
import { createKeyring } from './keyring';
import { createLedger, type Ledger } from './ledger';
import { createLimitChecks } from './limitChecks';
import { createOperator, type Operator } from './operator';
import { createRequestChecks } from './requestChecks';
import { startRouterFleet, type RouterFleet } from './routerFleet';
import { createScript, type ScriptStep } from './script';
import { createStoreCopies } from './storeCopies';
import { createWordChecks } from './wordChecks';
import { createWorkspaceChecks } from './workspaceChecks';

export interface SoakOptions {
  seed: number;
  /** How long faults go on. */
  durationMs: number;
  routerCount: number;
  callerCount: number;
  /** First three numbers of the routers' addresses on loopback, such as `127.20.0`. */
  hostPrefix: string;
  /** The built router. */
  programPath: string;
  exitWithParentPath: string;
  /** Takes settings, logs, and the script with its findings. */
  directory: string;
  /** Added to each bound in time. */
  marginMs: number;
}

export interface SoakReport {
  seed: number;
  operations: number;
  requests: number;
  served: number;
  findings: readonly SoakFinding[];
  /** Longest time that the run itself was held up: beyond the margin its own clock is in doubt. */
  longestHoldUpMs: number;
}

/** Those of the users' smaller deployments; a shorter grace makes runs shorter. */
const bounds = {
  contactMs: 3_000,
  graceMs: 6_000,
  attemptRatio: 0.2,
  attemptAllowance: 52,
  attemptWindowMs: 10_000,
  leaseMs: 1_000,
  revocationMs: 4_000,
  quotaSlack: { windowMs: 8_000, overageShare: 0.1, amount: 6_000 },
} as const satisfies PlatformBounds;
/** So that keys do not change what else a seed draws. */
const keySeedOffset = 7_919;
const drainMs = 2_000;
const applyMs = 2_000;
const startBoundMs = 15_000;
/** After the last fault: entries lapse, servers are trusted again, routers are in rotation. */
const recoverMs = 6_000;
const recoveredWindowMs = 3_000;
const leastRecoveredShare = 0.95;
const lastAnswersMs = 5_000;
const pollMs = 50;
const nsPerMs = 1e6;

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, routerCount, marginMs } = options;
  mkdirSync(options.directory, { recursive: true });
  const lag = monitorEventLoopDelay({ resolution: 20 });
  const random = createSeededRandom(seed + 1);
  const store = await startStandinStore();
  const disruptions = createDisruptions({ contactMs: bounds.contactMs });
  const findings = createFindings(monotonicNowMs());
  let servers: BackendServers | undefined;
  const ledger = createLedger({ onArrival: (arrival) => checks.onArrival(arrival) });
  const workspaces = createWorkspaceChecks({
    ...{ ledger, findings, modelTokens, marginMs },
    revocationMs: bounds.revocationMs,
    quotaSlack: bounds.quotaSlack,
  });
  const checks = createRequestChecks({
    ...{ ledger, findings, disruptions, drainMs, marginMs, workspaces },
    servers: () => servers,
  });
  const limits = createLimitChecks({ ledger, findings, disruptions, marginMs });
  const words = createWordChecks({ ledger, findings, disruptions });
  const keyring = createKeyring({
    random: createSeededRandom(seed + keySeedOffset),
    revocationMs: bounds.revocationMs,
  });
  const plan = createConfigurationPlan(store, keyring);
  servers = await startBackendServers({
    ...{ host: '127.0.0.1', store, ledger, disruptions, findings, random, drainMs },
    onLeaving: words.leaves,
  });
  const fleet = await startRouterFleet({
    ...options,
    count: routerCount,
    storeAddress: store.address,
    bounds,
    onOwnEnd: (router, how) => findings.add(promises.ownEnd, `${router}: ${how}`),
  });
  const callers = createCallers({
    ...{ count: options.callerCount, routers: fleet.routers, routes: plan.baseRoutes },
    ...{ ledger, random, keyring, onEnded: checks.onEnded },
  });
  const script = createScript({
    seed,
    durationMs: options.durationMs,
    routerCount,
    serverCount: servers.placeCount,
  });
  const copies = createStoreCopies(store);
  const operator = createOperator({
    ...{ store, servers, routers: fleet.routers, callers, plan, disruptions, findings, marginMs },
    ...{ limits, words, copies },
    graceMs: bounds.graceMs,
  });
  const fleetChecks = {
    ...{ routers: fleet.routers, plan, callers, ledger, findings, disruptions },
    ...{ bounds, applyMs, marginMs },
  };
  const loops = [
    ...callers.loops,
    createBudgetCheck(fleetChecks),
    createConfigurationCheck(fleetChecks),
    keyring.rotation(plan.write),
    workspaces.quotaLoop,
    copies,
  ];

  await untilReady(fleet);
  lag.enable();
  loops.forEach((loop) => loop.start());
  await playScript(script.steps, operator, options.durationMs);
  await checkRecovery({ fleet, ledger, findings });
  await Promise.race([Promise.all(loops.map((loop) => loop.stop())), delay(lastAnswersMs)]);
  checks.checkAll();
  limits.checkAll();
  words.checkAll();
  lag.disable();
  await Promise.all(
    fleet.routers.map((_router, router) =>
      operator.carryOut({ kind: 'stop-router', router, downMs: 0 }),
    ),
  );
  await fleet.close();
  await servers.close();
  store.stop();

  const report: SoakReport = {
    seed,
    operations: script.steps.length,
    requests: [...ledger.requests()].length,
    served: servedShare(ledger, 0),
    findings: findings.all(),
    longestHoldUpMs: Math.round(lag.max / nsPerMs),
  };
  writeRecord(options.directory, { report, script, ledger });
  return report;
}

async function untilReady({ routers }: RouterFleet): Promise<void> {
  const endsAtMs = monotonicNowMs() + startBoundMs;
  while (!routers.every((router) => router.isInRotation())) {
    if (monotonicNowMs() > endsAtMs) {
      throw new Error(`the routers were not ready within ${startBoundMs} ms`);
    }
    await delay(pollMs);
  }
}

/** Resolves when all operations are over. */
async function playScript(
  steps: readonly ScriptStep[],
  operator: Operator,
  durationMs: number,
): Promise<void> {
  const operations = steps.map(async ({ atMs, operation }) => {
    await delay(atMs);
    await operator.carryOut(operation);
  });
  await Promise.all([delay(durationMs), ...operations]);
}

interface Recovery {
  fleet: RouterFleet;
  ledger: Ledger;
  findings: Findings;
}

async function checkRecovery({ fleet, ledger, findings }: Recovery): Promise<void> {
  await delay(recoverMs);
  const fromMs = monotonicNowMs();
  await delay(recoveredWindowMs);
  const share = servedShare(ledger, fromMs);
  if (share < leastRecoveredShare) {
    findings.add(promises.recovery, `${(share * 100).toFixed(1)}% served after all faults`);
  }
  fleet.routers
    .filter((router) => !router.isInRotation())
    .forEach(({ name }) => findings.add(promises.recovery, `${name} is not ready again`));
}

interface SoakRecord {
  report: SoakReport;
  script: unknown;
  ledger: Ledger;
}

/** What a reader needs to trace a finding: the script, and the requests and arrivals that it names. */
function writeRecord(directory: string, { report, script, ledger }: SoakRecord): void {
  const ids = new Set(report.findings.flatMap(({ requestId }) => requestId ?? []));
  const record = {
    report,
    script,
    requests: [...ledger.requests()].filter(({ id }) => ids.has(id)),
    arrivals: ledger.arrivals().filter(({ requestId }) => ids.has(requestId)),
  };
  writeFileSync(join(directory, 'run.json'), `${JSON.stringify(record, undefined, 2)}\n`);
}
