/**
 * One soak run with a seed: router processes with stand-ins of the store and of backend servers, concurrent callers,
 * and a script of faults. Promises are checked during the run; after the last fault, requests must be served as before.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { PlatformBounds } from '@bluebellhitch/platform';
import { createCallerDepartures, startStandinStore } from '@bluebellhitch/platform-standins';
import { createSeededRandom, delay, monotonicNowMs } from '@bluebellhitch/shared';
import { createAttemptBudgetCheck, type FullestWindow } from './attemptBudgetCheck';
import { startBackendServers, type BackendServers } from './backendServers';
import { createCallers, modelTokens } from './callers';
import { createConfigurationPlan } from './configurationPlan';
import { createCrashingRequests, type CrashingRequests } from './crashingRequests';
import { createDisruptions } from './disruptions';
import { createConfigurationCheck, servedShare } from './fleetChecks';
import { createFindings, promises, type Findings, type SoakFinding } from './findings';
import { createKeyring } from './keyring';
import { createLedger, type Ledger } from './ledger';
import { countLeavers, type LeaverCounts } from './leaverCounts';
import { createLimitChecks } from './limitChecks';
import { createOperator, type Operator } from './operator';
import { createRequestChecks } from './requestChecks';
import { startRouterFleet, type RouterFleet } from './routerFleet';
import { createScript, type ScriptKind, type ScriptStep } from './script';
import { createSilences, type SilenceCount } from './silences';
import { createStoreBackups } from './storeBackups';
import { createStreamVersionChecks, type ResumedStreams } from './streamVersionChecks';
import { createNoticeChecks } from './noticeChecks';
import { createWorkspaceChecks } from './workspaceChecks';

export interface SoakOptions {
  seed: number;
  /** Duration of the fault script. */
  durationMs: number;
  routerCount: number;
  callerCount: number;
  /** First three numbers of the routers' addresses on loopback, such as `127.20.0`. */
  hostPrefix: string;
  /** Path of the built router. */
  programPath: string;
  exitWithParentPath: string;
  /** Directory for settings, logs, and the record of the run. */
  directory: string;
  /** Added to each time limit, in milliseconds. */
  marginMs: number;
  /** Kind of the fault script; chosen by the seed if absent. */
  script?: ScriptKind;
}

export interface SoakReport {
  seed: number;
  operations: number;
  requests: number;
  served: number;
  findings: readonly SoakFinding[];
  /** How close the run came to the budget of further attempts; far below 1 it proves little of it. */
  fullestBudget?: FullestWindow;
  /** Servers that crashed because of what they ran. */
  crashes: number;
  /** Streams that callers took up again. */
  resumed: ResumedStreams;
  /** How often the check of leaving servers applied. */
  leavers: LeaverCounts;
  /** Requests that were in progress at silent servers; without them the run proves nothing of silences. */
  silences: SilenceCount[];
  /** Callers that left before their response. */
  departed: number;
  /** Longest delay of this process's event loop; above `marginMs` the measured times are unreliable. */
  longestHoldUpMs: number;
}

/** As in the users' smaller deployments, but with a shorter grace period, which makes runs shorter. */
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
/** A separate seed for keys, so that they do not affect the other draws of a seed. */
const keySeedOffset = 7_919;
/** A separate seed for when crashing requests are repeated. */
const crashSeedOffset = 86_028_121;
const crashingRequestCount = 2;
const crashingPartCount = 2;
/** So that a request whose server was silent several times still has time. */
const silencesTimeoutFactor = 3;
const drainMs = 2_000;
const applyMs = 2_000;
const startTimeoutMs = 15_000;
/** Time after the last fault in which entries expire, servers recover trust, and routers return to rotation. */
const recoveryMs = 6_000;
const recoveredWindowMs = 3_000;
const minRecoveredShare = 0.95;
const lastResponsesTimeoutMs = 5_000;
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
  const departures = createCallerDepartures();
  let servers: BackendServers | undefined;
  let crashingRequests: CrashingRequests | undefined;
  const ledger = createLedger({ onArrival: (arrival) => requestChecks.onArrival(arrival) });
  const workspaceChecks = createWorkspaceChecks({
    ...{ ledger, findings, modelTokens, marginMs },
    revocationMs: bounds.revocationMs,
    quotaSlack: bounds.quotaSlack,
  });
  const silences = createSilences({
    ...{ ledger, disruptions, applyMs, graceMs: bounds.graceMs },
    configurationChangesMs: () => plan.changesMs(),
  });
  const requestChecks = createRequestChecks({
    ...{ ledger, findings, disruptions, drainMs, marginMs, workspaces: workspaceChecks },
    ...{ departures, silences },
    servers: () => servers,
  });
  const limitChecks = createLimitChecks({ ledger, findings, disruptions, marginMs });
  const noticeChecks = createNoticeChecks({ ledger, findings, disruptions });
  const streamVersionChecks = createStreamVersionChecks({
    ...{ ledger, findings, disruptions },
    engineCount: (softwareVersion) => servers?.engineCount(softwareVersion) ?? 0,
  });
  const keyring = createKeyring({
    random: createSeededRandom(seed + keySeedOffset),
    revocationMs: bounds.revocationMs,
  });
  const isOfSilences = options.script === 'silences';
  const plan = createConfigurationPlan(store, keyring, isOfSilences ? silencesTimeoutFactor : 1);
  servers = await startBackendServers({
    ...{ host: '127.0.0.1', store, ledger, disruptions, findings, random, drainMs, silences },
    departures: {
      noteArrival(...arrival) {
        departures.noteArrival(...arrival);
        silences.noteArrival(...arrival);
      },
      noteWorkEnded(...work) {
        departures.noteWorkEnded(...work);
        silences.noteWorkEnded(...work);
      },
    },
    onLeaving: noticeChecks.noteLeaving,
    onCrashed: (body) => crashingRequests?.noteCrash(body),
  });
  const fleet = await startRouterFleet({
    ...options,
    count: routerCount,
    storeAddress: store.address,
    bounds,
    onUnexpectedExit: (router, how) => findings.add(promises.ownEnd, `${router}: ${how}`),
  });
  const script = createScript({
    seed,
    durationMs: options.durationMs,
    routerCount,
    serverCount: servers.slotCount,
    kind: options.script,
  });
  const callers = createCallers({
    ...{ count: options.callerCount, routers: fleet.routers, routes: plan.baseRoutes },
    ...{ ledger, random, keyring, departures, onResumed: streamVersionChecks.onResumed },
    resumesStreams: script.kind === 'versions',
    leavesSilentStreams: isOfSilences,
    onEnded(request) {
      requestChecks.onEnded(request);
      streamVersionChecks.onEnded(request);
    },
  });
  const crashing = createCrashingRequests({
    ...{ ledger, findings, disruptions, callers, marginMs, routes: plan.baseRoutes },
    count: script.kind === 'crashes' ? crashingRequestCount : 0,
    partCount: script.kind === 'crashes' ? crashingPartCount : 0,
    random: createSeededRandom(seed + crashSeedOffset),
    contactMs: bounds.contactMs,
  });
  crashingRequests = crashing;
  const backups = createStoreBackups(store);
  const operator = createOperator({
    ...{ store, servers, routers: fleet.routers, callers, plan, disruptions, findings, marginMs },
    ...{ limits: limitChecks, notices: noticeChecks, backups },
    graceMs: bounds.graceMs,
  });
  const fleetCheckOptions = {
    ...{ routers: fleet.routers, plan, callers, ledger, findings, disruptions },
    ...{ applyMs, marginMs },
  };
  const budgetCheck = createAttemptBudgetCheck({
    ...{ ledger, findings, bounds, routes: plan.baseRoutes },
  });
  const loops = [
    ...callers.loops,
    createConfigurationCheck(fleetCheckOptions),
    keyring.rotation(plan.write),
    workspaceChecks.quotaLoop,
    backups,
  ];

  async function play() {
    await waitUntilReady(fleet);
    lag.enable();
    [...loops, ...crashing.loops].forEach((loop) => loop.start());
    await playScript(script.steps, operator, options.durationMs);
    await Promise.all(crashing.loops.map((loop) => loop.stop()));
    await checkRecovery({ fleet, ledger, findings });
    await Promise.race([
      Promise.all(loops.map((loop) => loop.stop())),
      delay(lastResponsesTimeoutMs),
    ]);
    requestChecks.checkAll();
    limitChecks.checkAll();
    noticeChecks.checkAll();
    const checked = {
      fullestBudget: budgetCheck.checkAll(),
      crashes: crashing.checkAll(),
      resumed: streamVersionChecks.checkAll(),
    };
    lag.disable();
    await Promise.all(
      fleet.routers.map((_router, router) =>
        operator.execute({ kind: 'stop-router', router, downMs: 0 }),
      ),
    );
    return checked;
  }

  /** Also if the run fails: routers left behind would answer the callers of the next run, whose addresses are the same. */
  async function end(): Promise<void> {
    await fleet.close();
    await servers?.close();
    store.stop();
  }

  const checked = await play().finally(end);
  const report: SoakReport = {
    seed,
    operations: script.steps.length,
    requests: [...ledger.requests()].length,
    served: servedShare(ledger, 0),
    findings: findings.all(),
    ...checked,
    leavers: countLeavers({
      ...{ servers, ledger, disruptions },
      routerNames: fleet.routers.map(({ name }) => name),
    }),
    silences: silences.counts(),
    departed: departures.leftCount(),
    longestHoldUpMs: Math.round(lag.max / nsPerMs),
  };
  writeRecord(options.directory, { report, script, ledger });
  return report;
}

async function waitUntilReady({ routers }: RouterFleet): Promise<void> {
  const endsAtMs = monotonicNowMs() + startTimeoutMs;
  while (!routers.every((router) => router.isInRotation())) {
    if (monotonicNowMs() > endsAtMs) {
      const names = routers.filter((router) => !router.isInRotation()).map(({ name }) => name);
      throw new Error(`routers not ready within ${startTimeoutMs} ms: ${names.join(', ')}`);
    }
    await delay(pollMs);
  }
}

/** Resolves when all operations have finished. */
async function playScript(
  steps: readonly ScriptStep[],
  operator: Operator,
  durationMs: number,
): Promise<void> {
  const operations = steps.map(async ({ atMs, operation }) => {
    await delay(atMs);
    await operator.execute(operation);
  });
  await Promise.all([delay(durationMs), ...operations]);
}

interface Recovery {
  fleet: RouterFleet;
  ledger: Ledger;
  findings: Findings;
}

async function checkRecovery({ fleet, ledger, findings }: Recovery): Promise<void> {
  await delay(recoveryMs);
  const fromMs = monotonicNowMs();
  await delay(recoveredWindowMs);
  const share = servedShare(ledger, fromMs);
  if (share < minRecoveredShare) {
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

/** Writes what is needed to trace findings: the script, and the requests and arrivals that they refer to. */
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
