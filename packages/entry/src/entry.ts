/** An entry: its servers, its configuration and its graceful shutdown. */
import { randomUUID } from 'node:crypto';
import type { InstanceDirectory } from '@bluebellhitch/membership';
import type { PlatformApi, ClaimStore } from '@bluebellhitch/objects';
import { feedKinds, type FeedRecord } from '@bluebellhitch/protocol';
import { createPortResources } from '@bluebellhitch/ports';
import type { InnerSecurity } from '@bluebellhitch/security';
import { assertNever, delay, type Random } from '@bluebellhitch/shared';
import {
  createDecisionRing,
  createEntryMetrics,
  startAdminServer,
  type EntryMetrics,
  type Logger,
  type StopKind,
} from '@bluebellhitch/telemetry';
import { createCallersApi } from './callersApi';
import type { CallersTls } from './callersTls';
import { createCancellations } from './cancellations';
import type { ConfigurationFeed } from './configurationFeed';
import type { EntrySettings } from './entrySettings';
import { createHeartbeats } from './heartbeats';
import { createHttpAgentClient } from './httpAgentClient';
import { startInnerServer } from './innerServer';
import { createPeerStrikes } from './peerStrikes';
import { defaultRequestTimeouts, type RequestContext } from './requestContext';
import { createServiceRuntimes } from './serviceRuntimes';
import { createServiceTable, type ServiceTable } from './serviceTable';
import { createStrikes, type Strikes } from './strikes';

export interface EntryOptions {
  settings: EntrySettings;
  platform: PlatformApi;
  claims: ClaimStore;
  directory: Pick<
    InstanceDirectory,
    'agents' | 'entries' | 'markLeaving' | 'markDown' | 'viewAgeMs'
  >;
  feed: ConfigurationFeed;
  security: InnerSecurity;
  /** Certificate and key for callers; plain HTTP if omitted. */
  callersTls?: CallersTls;
  logger: Logger;
  random?: Random;
}

export interface Entry {
  /** Addresses of the three servers, `http://ip:port`; `https` for callers with TLS. */
  callersAddress: string;
  innerAddress: string;
  adminAddress: string;
  services: ServiceTable;
  /** Graceful: running requests get `drainBoundMs` to finish. Forced: requests end and release their leases at once. */
  stop(kind: StopKind): Promise<void>;
}

const sweepIntervalMs = 60_000;
/** Time that pending cancellations get at shutdown; leases that are not cancelled by then expire at the agents. */
const finalCancelsTimeoutMs = 1_000;

const bytesPerMegabyte = 1_048_576;

/** Starts all servers; rejects if a port is in use. */
export async function startEntry(options: EntryOptions): Promise<Entry> {
  const { settings, feed, logger, directory, security } = options;
  const metrics = createEntryMetrics();
  const ring = createDecisionRing();
  const services = createServiceTable();
  const agents = createHttpAgentClient({
    credentials: security,
    onControlBytes: metrics.countControlBytes,
    onMalformedFrame: () => metrics.countDroppedFrame('malformed'),
  });
  const peers = createPeerStrikes({
    entryId: settings.instanceId,
    instances: directory,
    logger,
    credentials: security,
    onControlBytes: metrics.countControlBytes,
  });
  const strikes = createStrikes({ platform: options.platform, sendToPeers: peers.send, logger });
  const context = createContext(options, { agents, metrics, ring, strikes });
  const resources = createPortResources(settings.memoryMb * bytesPerMegabyte);
  let stopping = false;
  const isReady = () =>
    !stopping && services.list().length > 0 && directory.viewAgeMs() !== undefined;

  feed.start((record) => applyRecord({ record, services, strikes, metrics, context }));
  const inner = await startInnerServer({
    host: settings.innerHost,
    port: settings.innerPort,
    resources,
    security,
    onUnauthenticated: metrics.countUnauthenticated,
    handlers: {
      feed: feed.serve,
      strike: (received) => Promise.resolve(strikes.receive(received)),
    },
  });
  const callers = await createCallersApi({
    context,
    services,
    host: settings.entryHost,
    port: settings.entryPort,
    tls: options.callersTls,
    resources,
    maxHeaderBytes: settings.maxHeaderBytes,
    maxBodyBytes: settings.maxBodyBytes,
    maxConnections: settings.maxConnections,
    slowSenderTimeoutMs: settings.slowSenderTimeoutMs,
  });
  const admin = await startAdminServer({
    host: settings.adminHost,
    port: settings.adminPort,
    resources,
    metrics,
    ring,
    isReady,
    routes: {
      '/debug/services': () => services.list(),
      '/debug/config': () => describeConfig(settings, services),
    },
  });
  const sweepTimer = setInterval(strikes.sweep, sweepIntervalMs);

  async function drainCallers(): Promise<void> {
    await delay(settings.settleMs);
    const ended = await callers.drain(settings.drainBoundMs);
    logger.info('drain of caller requests finished', { ended, stillActive: callers.activeCount() });
  }

  async function closeAll(): Promise<void> {
    clearInterval(sweepTimer);
    await callers.close();
    await Promise.race([context.cancellations.settled(), delay(finalCancelsTimeoutMs)]);
    context.heartbeats.stop();
    await Promise.all([options.claims.settle(), feed.stop(), inner.close(), admin.close()]);
    await Promise.all([agents.close(), peers.close()]);
  }

  return {
    callersAddress: callers.address,
    innerAddress: inner.address,
    adminAddress: admin.address,
    services,
    async stop(kind) {
      // Readiness fails first, so that the load balancer stops sending requests before they are refused.
      stopping = true;
      if (kind === 'graceful') {
        await drainCallers();
      }
      await closeAll();
    },
  };
}

/** The active generation of each service. */
function describeConfig({ instanceId, dataCentre }: EntrySettings, services: ServiceTable) {
  const generations = services
    .list()
    .map(({ document, generation }) => [document.service, generation] as const);
  return { instanceId, dataCentre, generations: Object.fromEntries(generations) };
}

type ContextDependencies = Pick<RequestContext, 'agents' | 'metrics' | 'ring' | 'strikes'>;

function createContext(options: EntryOptions, deps: ContextDependencies): RequestContext {
  const { settings, directory: instances, claims, logger, random = Math.random } = options;
  const { instanceId: entryId, dataCentre, policy } = settings;
  const entryIncarnation = randomUUID();
  const runtimes = createServiceRuntimes({ entryId, dataCentre, instances, random, policy });
  return {
    ...deps,
    entryId,
    entryIncarnation,
    instances,
    runtimes,
    claims,
    logger,
    random,
    heartbeats: createHeartbeats({ agents: deps.agents, entryId, entryIncarnation }),
    cancellations: createCancellations({ agents: deps.agents, entryId }),
    newAttemptId: randomUUID,
    timeouts: defaultRequestTimeouts,
  };
}

interface RecordUpdate {
  record: FeedRecord;
  services: ServiceTable;
  strikes: Strikes;
  metrics: EntryMetrics;
  context: RequestContext;
}

function applyRecord(update: RecordUpdate): void {
  const { record, strikes } = update;
  switch (record.kind) {
    case feedKinds.accepted:
      applyAccepted(update);
      return;
    case feedKinds.quarantine:
      if (!record.removed) {
        strikes.mergeRecord(record.value);
      }
      return;
    default:
      assertNever(record.kind);
  }
}

function applyAccepted({ record, services, metrics, context }: RecordUpdate): void {
  if (record.removed) {
    services.remove(record.key, record.generation);
    metrics.removeServiceLabels(record.key);
    context.runtimes.remove(record.key);
    return;
  }
  if (!services.put(record.value)) {
    return;
  }
  const entry = services.get(record.key);
  if (entry === undefined) {
    return;
  }
  const { document, generation } = entry;
  metrics.addServiceLabels({
    service: document.service,
    institution: document.institution,
    classNames: document.classes.map(({ name }) => name),
  });
  metrics.setConfigurationGeneration(document.service, generation);
  context.logger.info('document in force', { service: document.service, generation });
}
