/** An entry without its sockets, over all restarts of its process. */
import { acceptedDocumentSchema } from '@bluebellhitch/document';
import {
  createClaimStore,
  objectKinds,
  type PlatformApi,
  type PlatformInstance,
} from '@bluebellhitch/platform';
import type { Strike } from '@bluebellhitch/protocol';
import type { Random } from '@bluebellhitch/shared';
import {
  createDecisionRing,
  createEntryMetrics,
  type DecisionRing,
  type Logger,
} from '@bluebellhitch/telemetry';
import { errAsync } from 'neverthrow';
import {
  createCancellations,
  createHeartbeats,
  createModelRuns,
  createServiceRuntimes,
  createServiceTable,
  createStrikes,
  defaultRequestTimeouts,
  type ModelRuns,
  type RequestContext,
  type ServiceTable,
  type Strikes,
} from '@bluebellhitch/entry';
import { createAgentLink, type AgentLinkOptions } from './agentLink';
import { gatePlatform } from './gates';
import { followAccepted, followInstances, followObjects } from './platformView';
import { createOpenClaims, createStreamTampering, type Safeguard } from './safeguards';
import { createSimulatedProcess, type SimulatedProcess } from './simulatedProcess';

export interface WorldEntryOptions extends Pick<AgentLinkOptions, 'network' | 'agentAt'> {
  id: string;
  dataCentre: string;
  platform: PlatformApi;
  random: Random;
  isWithout: (safeguard: Safeguard) => boolean;
  onGeneration: (process: SimulatedProcess, service: string, generation: number) => void;
  /** Sends strikes to the other entries. */
  tellPeers: (strikes: Strike[]) => void;
}

/** What one process of an entry holds. */
export interface EntryCore {
  process: SimulatedProcess;
  context: RequestContext & { ring: DecisionRing };
  runs: ModelRuns;
  services: ServiceTable;
  strikes: Strikes;
}

export interface WorldEntry {
  instance: PlatformInstance;
  core(): EntryCore;
  /** Identity in heartbeats of all processes so far, for those who renew leases of dead ones. */
  incarnations: readonly string[];
  /** Connections close, as when a process dies. */
  crash(): void;
  /** Nobody learns of it, as when a machine loses its power. */
  vanish(): void;
  restart(): void;
}

const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

export function createWorldEntry(options: WorldEntryOptions): WorldEntry {
  const { id, dataCentre, isWithout } = options;
  const incarnations: string[] = [];
  let hasVanished = false;
  let core: EntryCore;

  function start(): void {
    hasVanished = false;
    const process = createSimulatedProcess(id);
    incarnations.push(`${id}.${incarnations.length + 1}`);
    core = process.run(() => createCore(process));
  }

  function createCore(process: SimulatedProcess): EntryCore {
    const platform = gatePlatform(process, options.platform);
    const services = createServiceTable();
    const strikes = createEntryStrikes(platform);
    const context = createContext(process, platform, strikes);
    followDocuments(process, platform, services);
    void followObjects({
      platform,
      kind: objectKinds.quarantine,
      signal: process.gone,
      onValue: (value) => !isWithout('strike-sharing') && strikes.mergeRecord(value),
    });
    return { process, context, services, strikes, runs: createModelRuns(context) };
  }

  function createContext(
    process: SimulatedProcess,
    platform: PlatformApi,
    strikes: Strikes,
  ): EntryCore['context'] {
    const { random, network, agentAt } = options;
    const entryIncarnation = incarnations.at(-1) as string;
    const instances = followInstances(platform, process.gone);
    const agents = createAgentLink({
      caller: process,
      network,
      agentAt,
      tellsClosed: () => !hasVanished && !isWithout('connection-close'),
      tamper: createStreamTampering(isWithout),
    });
    let attemptCount = 0;
    return {
      entryId: id,
      entryIncarnation,
      agents,
      instances,
      runtimes: createServiceRuntimes({ entryId: id, dataCentre, instances, random }),
      heartbeats: createHeartbeats({ agents, entryId: id, entryIncarnation }),
      cancellations: createCancellations({ agents, entryId: id }),
      claims: isWithout('claims')
        ? createOpenClaims()
        : createClaimStore({ platform, ownerId: id }),
      strikes,
      metrics: createEntryMetrics(),
      ring: createDecisionRing(),
      logger: silentLogger,
      random,
      newAttemptId: () => {
        attemptCount += 1;
        return `${entryIncarnation}-${attemptCount}`;
      },
      timeouts: defaultRequestTimeouts,
    };
  }

  function createEntryStrikes(platform: PlatformApi): Strikes {
    const down = () => errAsync({ kind: 'unavailable' as const, detail: 'not shared' });
    const isShared = !isWithout('strike-sharing');
    const strikes = createStrikes({
      platform: isShared ? platform : { get: down, create: down, update: down },
      tellPeers: (list) => isShared && options.tellPeers(list),
      logger: silentLogger,
    });
    return isWithout('strikes') ? { ...strikes, report: () => undefined } : strikes;
  }

  function followDocuments(
    process: SimulatedProcess,
    platform: PlatformApi,
    services: ServiceTable,
  ): void {
    let seenCount = 0;
    followAccepted({
      platform,
      signal: process.gone,
      onValue: (value) => {
        const accepted = acceptedDocumentSchema.parse(value);
        seenCount += 1;
        const isTaken = services.put(
          isWithout('generation-check') ? { ...accepted, generation: seenCount } : accepted,
        );
        if (isTaken) {
          options.onGeneration(process, accepted.document.service, accepted.generation);
        }
      },
    });
  }

  start();
  return {
    instance: { id, kind: 'entry', dataCentre, innerAddress: `http://${id}`, state: 'live' },
    core: () => core,
    incarnations,
    crash: () => core.process.crash(),
    vanish: () => {
      hasVanished = true;
      core.process.crash();
    },
    restart: () => {
      core.process.crash();
      start();
    },
  };
}
