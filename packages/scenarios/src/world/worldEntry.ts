/** A simulated entry without sockets, across all restarts of its process. */
import { acceptedDocumentSchema } from '@bluebellhitch/document';
import { createClaimStore, type PlatformApi, type PlatformInstance } from '@bluebellhitch/objects';
import { feedKinds, type FeedRecord, type Strike } from '@bluebellhitch/protocol';
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
  type Instances,
  type ModelRuns,
  type RequestContext,
  type ServiceTable,
  type Strikes,
} from '@bluebellhitch/entry';
import { createAgentLink, type AgentLinkOptions } from './agentLink';
import { gatePlatform } from './gates';
import { createGrantingClaimStore, createStreamTampering } from './safeguards';
import { createSimulatedProcess, type SimulatedProcess } from './simulatedProcess';
import { startMembership, type FeedHost, type MembershipLinks } from './worldMembership';

export interface WorldEntryOptions extends MembershipLinks, Pick<AgentLinkOptions, 'agentAt'> {
  id: string;
  dataCentre: string;
  onGeneration: (process: SimulatedProcess, service: string, generation: number) => void;
  /** Sends strikes to the other entries. */
  sendToPeers: (strikes: Strike[]) => void;
}

/** The components of one entry process. */
export interface EntryCore extends FeedHost {
  context: RequestContext & { ring: DecisionRing };
  runs: ModelRuns;
  services: ServiceTable;
  strikes: Strikes;
}

export interface WorldEntry {
  instance: PlatformInstance;
  core(): EntryCore;
  /** Incarnations of all processes so far, as in heartbeats; used to renew the leases of dead ones. */
  incarnations: readonly string[];
  /** Crashes the process; its connections close. */
  crash(): void;
  /** Crashes the process without closing its connections, as when the machine loses power. */
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
  const { id, dataCentre, isDisabled } = options;
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
    const platform = gatePlatform(process, options.platform, options.network);
    const services = createServiceTable();
    const strikes = createEntryStrikes(platform);
    const { directory, feed } = startMembership({
      ...options,
      ...{ process, platform },
      onRecord: (record) => applyRecord(process, services, strikes, record),
    });
    const context = createContext(process, platform, strikes, directory);
    return { process, feed, context, services, strikes, runs: createModelRuns(context) };
  }

  function applyRecord(
    process: SimulatedProcess,
    services: ServiceTable,
    strikes: Strikes,
    { kind, value }: FeedRecord,
  ): void {
    if (kind === feedKinds.quarantine) {
      if (!isDisabled('strike-sharing')) {
        strikes.mergeRecord(value);
      }
      return;
    }
    const { document, documentVersion } = acceptedDocumentSchema.parse(value);
    if (services.put(value)) {
      options.onGeneration(process, document.service, documentVersion);
    }
  }

  function createContext(
    process: SimulatedProcess,
    platform: PlatformApi,
    strikes: Strikes,
    instances: Instances,
  ): EntryCore['context'] {
    const { random, network, agentAt } = options;
    const entryIncarnation = incarnations.at(-1) as string;
    const agents = createAgentLink({
      caller: process,
      network,
      agentAt,
      reportsDisconnects: () => !hasVanished && !isDisabled('connection-close'),
      tamper: createStreamTampering(isDisabled),
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
      claims: isDisabled('claims')
        ? createGrantingClaimStore()
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
    const isShared = !isDisabled('strike-sharing');
    const strikes = createStrikes({
      platform: isShared ? platform : { get: down, create: down, update: down },
      sendToPeers: (list) => isShared && options.sendToPeers(list),
      logger: silentLogger,
    });
    return isDisabled('strikes') ? { ...strikes, report: () => undefined } : strikes;
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
