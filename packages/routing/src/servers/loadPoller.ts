/**
 * Polls the engines' load reports at a steady rate. An engine that does not answer gets no requests until it does: a
 * request sent to it would wait for a time-out and miss its target. Routers divide the engines among themselves and
 * announce which are unresponsive, so that an engine is polled as often in a large fleet as in a small one.
 */
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  rendezvousOrder,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';
import type { BackendApi, EngineLoad } from '../backendApi';
import { stages, type BackendServer } from '../model';
import type { EngineLoads } from './engineLoads';
import type { ServerPools } from './fleetShard';
import type { ServerDirectory } from './serverDirectory';
import type { StreamSizes } from './streamSizes';
import { causeOfFailedReport } from './unresponsiveEngines';

export interface LoadPollerOptions {
  backend: Pick<BackendApi, 'readLoad'>;
  directory: ServerDirectory;
  /** Names of the services with engines. */
  services: () => readonly string[];
  pools: ServerPools;
  loads: EngineLoads;
  streamSizes: Pick<StreamSizes, 'observeRuns'>;
  /** Called when an engine reports that it is leaving; its directory entry may not say so yet. */
  onLeaving?: (server: BackendServer) => void;
  /** Each engine is polled once per interval. */
  intervalMs: number;
  ownAddress: string;
  /** Addresses of the live routers that use the same engines. */
  livePeers: () => readonly string[];
  random?: Random;
}

/** An engine answers within milliseconds; a report that takes longer is stale. */
const reportTimeoutMs = 400;
const maxPollDelayMs = 250;
/** A stream that begins now may last this long. */
const leavingThresholdMs = 15_000;
/** Assigning engines to routers costs a hash per engine and router, so the result is kept for this long. */
const assignmentIntervalMs = 500;

export function createLoadPoller(options: LoadPollerOptions): BackgroundLoop {
  const { backend, directory, pools, loads, streamSizes, intervalMs } = options;
  const { onLeaving = () => undefined, random = Math.random } = options;
  let polledAtMs = new Map<string, number>();
  let assignedEngines: BackendServer[] = [];
  let assignedAtMs = -Infinity;

  async function pollEngine(server: BackendServer): Promise<void> {
    const outcome = await backend.readLoad(server, reportTimeoutMs);
    if (outcome.kind === 'done') {
      applyReport(server, outcome.value);
      return;
    }
    const cause = causeOfFailedReport(outcome);
    // Meanwhile another router may have taken the engine over.
    if (cause !== undefined && polledAtMs.has(server.id)) {
      loads.noteUnresponsive(server.id, cause);
    }
  }

  /** A report from another incarnation is not applied, but the directory is told: it may not list a new one yet. */
  function applyReport(server: BackendServer, load: EngineLoad): void {
    const { bornAtMs = server.bornAtMs } = load;
    if (bornAtMs === server.bornAtMs) {
      if (isLeaving(load)) {
        onLeaving(server);
      }
      loads.report(server.id, load);
      streamSizes.observeRuns(server.id, load.runs);
    } else if (bornAtMs !== undefined) {
      directory.noteStarted(server, bornAtMs, load.stage);
    }
  }

  /** The engines that this router polls. */
  function activeEngines(): BackendServer[] {
    const nowMs = monotonicNowMs();
    if (nowMs >= assignedAtMs + assignmentIntervalMs) {
      assignedAtMs = nowMs;
      assignedEngines = assignEngines();
      setPolled(assignedEngines.map(({ id }) => id));
    }
    return assignedEngines.filter(({ id }) => directory.get(id)?.isDraining === false);
  }

  function setPolled(ids: readonly string[]): void {
    const previousIds = [...polledAtMs.keys()];
    polledAtMs = new Map(ids.map((id) => [id, polledAtMs.get(id) ?? -Infinity]));
    previousIds.filter((id) => !polledAtMs.has(id)).forEach(loads.noteNotPolled);
  }

  function assignEngines(): BackendServer[] {
    const routers = [options.ownAddress, ...options.livePeers()];
    return options
      .services()
      .flatMap((service) => Object.values(stages).flatMap((stage) => pools.usable(service, stage)))
      .filter(
        ({ id }) => rendezvousOrder(id, routers, (router) => router)[0] === options.ownAddress,
      );
  }

  /** The engine that was polled the longest time ago, if it is due. */
  function nextDue(engines: readonly BackendServer[], nowMs: number): BackendServer | undefined {
    const lastPollAtMs = ({ id }: BackendServer) => polledAtMs.get(id) ?? -Infinity;
    return engines
      .filter((server) => lastPollAtMs(server) + intervalMs <= nowMs)
      .sort((left, right) => lastPollAtMs(left) - lastPollAtMs(right))[0];
  }

  return createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      const engines = activeEngines();
      const nowMs = monotonicNowMs();
      const next = nextDue(engines, nowMs);
      if (next !== undefined) {
        polledAtMs.set(next.id, nowMs);
        void pollEngine(next);
      }
      const pollDelayMs = Math.min(maxPollDelayMs, intervalMs / Math.max(1, engines.length));
      await delay(pollDelayMs * (0.75 + 0.5 * random()), signal);
    }
  });
}

function isLeaving({ isDraining, leavesInMs = Infinity }: EngineLoad): boolean {
  return isDraining || leavesInMs < leavingThresholdMs;
}
