/**
 * Reads the engines' load reports at an even pace. An engine that does not answer is passed over until it
 * does: a request that is sent to one waits for a time-out, which costs it its target. Routers share the
 * engines among them and tell each other which are silent, so that an engine is asked as often in a large
 * fleet as in a small one.
 */
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  rendezvousOrder,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';
import type { BackendApi, EngineLoad } from './backendApi';
import type { EngineLoads } from './engineLoads';
import type { ServerPools } from './fleetPart';
import { stages, type BackendServer } from './model';
import type { ServerDirectory } from './serverDirectory';
import type { StreamSizes } from './streamSizes';

export interface LoadPollerOptions {
  backend: Pick<BackendApi, 'readLoad'>;
  directory: ServerDirectory;
  /** Services with engines. */
  services: () => readonly string[];
  pools: ServerPools;
  loads: EngineLoads;
  streamSizes: Pick<StreamSizes, 'observeRuns'>;
  /** An engine reports that it leaves: its entry may not say so yet. */
  onLeaving?: (server: BackendServer) => void;
  /** Each engine is read once in this time. */
  intervalMs: number;
  ownAddress: string;
  /** Routers that are heard and use the same engines. */
  livePeers: () => readonly string[];
  random?: Random;
}

/** An engine answers within milliseconds; a report that comes later is stale. */
const reportTimeoutMs = 400;
const longestPaceMs = 250;
/** A stream that begins now may last so long. */
const leavesSoonMs = 15_000;
/** Sharing out costs a hash for each engine and router. */
const shareOutMs = 500;

export function createLoadPoller(options: LoadPollerOptions): BackgroundLoop {
  const { backend, directory, pools, loads, streamSizes, intervalMs } = options;
  const { onLeaving = () => undefined, random = Math.random } = options;
  let readAtMs = new Map<string, number>();
  let own: BackendServer[] = [];
  let sharedOutAtMs = -Infinity;

  async function readOne(server: BackendServer): Promise<void> {
    const outcome = await backend.readLoad(server, reportTimeoutMs);
    if (outcome.kind === 'done') {
      takeReport(server, outcome.value);
    } else if (outcome.kind === 'lost' || outcome.cause.kind !== 'withheld') {
      loads.noteSilent(server.id);
    }
  }

  /** A report of another life tells nothing of this one; one of a newer life is the first news of it. */
  function takeReport(server: BackendServer, load: EngineLoad): void {
    const { bornAtMs = server.bornAtMs } = load;
    if (bornAtMs === server.bornAtMs) {
      if (isLeaving(load)) {
        onLeaving(server);
      }
      loads.report(server.id, load);
      streamSizes.observeRuns(server.id, load.runs);
    } else if (bornAtMs !== undefined) {
      directory.noteBorn(server, bornAtMs, load.stage);
    }
  }

  /** The engines that this process looks after. */
  function engines(): BackendServer[] {
    const nowMs = monotonicNowMs();
    if (nowMs >= sharedOutAtMs + shareOutMs) {
      sharedOutAtMs = nowMs;
      own = shareOut();
      readAtMs = new Map(own.map(({ id }) => [id, readAtMs.get(id) ?? -Infinity]));
    }
    return own.filter(({ id }) => directory.get(id)?.isDraining === false);
  }

  function shareOut(): BackendServer[] {
    const routers = [options.ownAddress, ...options.livePeers()];
    return options
      .services()
      .flatMap((service) => Object.values(stages).flatMap((stage) => pools.usable(service, stage)))
      .filter(
        ({ id }) => rendezvousOrder(id, routers, (router) => router)[0] === options.ownAddress,
      );
  }

  /** The engine whose report is the oldest, if any is due. */
  function nextDue(listed: readonly BackendServer[], nowMs: number): BackendServer | undefined {
    const readAt = ({ id }: BackendServer) => readAtMs.get(id) ?? -Infinity;
    return listed
      .filter((server) => readAt(server) + intervalMs <= nowMs)
      .sort((left, right) => readAt(left) - readAt(right))[0];
  }

  return createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      const listed = engines();
      const nowMs = monotonicNowMs();
      const next = nextDue(listed, nowMs);
      if (next !== undefined) {
        readAtMs.set(next.id, nowMs);
        void readOne(next);
      }
      const paceMs = Math.min(longestPaceMs, intervalMs / Math.max(1, listed.length));
      await delay(paceMs * (0.75 + 0.5 * random()), signal);
    }
  });
}

function isLeaving({ isDraining, leavesInMs = Infinity }: EngineLoad): boolean {
  return isDraining || leavesInMs < leavesSoonMs;
}
