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
import type { BackendApi } from './backendApi';
import type { EngineLoads } from './engineLoads';
import type { BackendServer } from './model';
import type { ServerDirectory } from './serverDirectory';

export interface LoadPollerOptions {
  backend: Pick<BackendApi, 'readLoad'>;
  directory: ServerDirectory;
  loads: EngineLoads;
  /** Each engine is read once in this time. */
  intervalMs: number;
  ownAddress: string;
  /** Routers that are heard. */
  livePeers: () => readonly string[];
  random?: Random;
}

/** An engine answers within milliseconds; a report that comes later is stale. */
const reportTimeoutMs = 400;
const longestPaceMs = 250;

export function createLoadPoller(options: LoadPollerOptions): BackgroundLoop {
  const { backend, directory, loads, intervalMs, random = Math.random } = options;
  const readAtMs = new Map<string, number>();

  async function readOne(server: BackendServer): Promise<void> {
    const outcome = await backend.readLoad(server, reportTimeoutMs);
    if (outcome.kind === 'done') {
      loads.report(server.id, outcome.value);
    } else {
      loads.noteSilent(server.id);
    }
  }

  /** The engines that this process looks after. */
  function engines(): BackendServer[] {
    const routers = [options.ownAddress, ...options.livePeers()];
    return directory
      .all()
      .filter(({ stage, isDraining }) => stage !== undefined && !isDraining)
      .filter(
        ({ id }) => rendezvousOrder(id, routers, (router) => router)[0] === options.ownAddress,
      );
  }

  return createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      const listed = engines();
      const nowMs = monotonicNowMs();
      const due = listed.filter(({ id }) => (readAtMs.get(id) ?? -Infinity) + intervalMs <= nowMs);
      const next = due.sort(
        (left, right) => (readAtMs.get(left.id) ?? 0) - (readAtMs.get(right.id) ?? 0),
      )[0];
      if (next !== undefined) {
        readAtMs.set(next.id, nowMs);
        void readOne(next);
      }
      const paceMs = Math.min(longestPaceMs, intervalMs / Math.max(1, listed.length));
      await delay(paceMs * (0.75 + 0.5 * random()), signal);
    }
  });
}
