/** An entry: its ports, its view of configuration, and its graceful stop. */
import { randomUUID } from 'node:crypto';
import type { InstanceDirectory } from '@bluebellhitch/membership';
import type { PlatformApi, ClaimStore } from '@bluebellhitch/objects';
import { feedKinds, type FeedRecord } from '@bluebellhitch/protocol';
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
import { createCallersSide } from './callersSide';
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
  /** Absent: callers come without TLS. */
  callersTls?: CallersTls;
  logger: Logger;
  random?: Random;
}

export interface Entry {
  /** `http://ip:port` of each side. */
  callersAddress: string;
  innerAddress: string;
  adminAddress: string;
  services: ServiceTable;
  /** Graceful: callers are finished within the bound. Forced: leases are given up at once. */
  stop(kind: StopKind): Promise<void>;
}

const sweepIntervalMs = 60_000;
/** Cancels that are still on their way when the entry stops; later the agents' leases lapse. */
const lastCancelsMs = 1_000;

/** Starts all ports; rejects where one is taken. */
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
  let stopping = false;
  const isReady = () =>
    !stopping && services.list().length > 0 && directory.viewAgeMs() !== undefined;

  feed.start((record) => applyRecord({ record, services, strikes, metrics, context }));
  const inner = await startInnerServer({
    host: settings.innerHost,
    port: settings.innerPort,
    security,
    onUnauthenticated: metrics.countUnauthenticated,
    handlers: {
      feed: feed.serve,
      strike: (received) => Promise.resolve(strikes.receive(received)),
    },
  });
  const callers = await createCallersSide({
    context,
    services,
    host: settings.entryHost,
    port: settings.entryPort,
    tls: options.callersTls,
    maxHeaderBytes: settings.maxHeaderBytes,
    maxBodyBytes: settings.maxBodyBytes,
    maxConnections: settings.maxConnections,
    slowSenderTimeoutMs: settings.slowSenderTimeoutMs,
  });
  const admin = await startAdminServer({
    host: settings.adminHost,
    port: settings.adminPort,
    metrics,
    ring,
    isReady,
    routes: {
      '/debug/services': () => services.list(),
      '/debug/config': () => describeConfig(settings, services),
    },
  });
  const sweeper = setInterval(strikes.sweep, sweepIntervalMs);

  async function finishCallers(): Promise<void> {
    await delay(settings.settleMs);
    const ended = await callers.drain(settings.drainBoundMs);
    logger.info('callers finished', { ended, stillActive: callers.activeCount() });
  }

  async function release(): Promise<void> {
    clearInterval(sweeper);
    await callers.close();
    await Promise.race([context.cancellations.settled(), delay(lastCancelsMs)]);
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
      // Readiness fails first: the balancer stops sending before requests are refused.
      stopping = true;
      if (kind === 'graceful') {
        await finishCallers();
      }
      await release();
    },
  };
}

/** Which generation of each service is in force here. */
function describeConfig({ instanceId, dataCentre }: EntrySettings, services: ServiceTable) {
  const generations = services
    .list()
    .map(({ document, generation }) => [document.service, generation] as const);
  return { instanceId, dataCentre, generations: Object.fromEntries(generations) };
}

type ContextParts = Pick<RequestContext, 'agents' | 'metrics' | 'ring' | 'strikes'>;

function createContext(options: EntryOptions, parts: ContextParts): RequestContext {
  const { settings, directory: instances, claims, logger, random = Math.random } = options;
  const { instanceId: entryId, dataCentre, policy } = settings;
  const entryIncarnation = randomUUID();
  const runtimes = createServiceRuntimes({ entryId, dataCentre, instances, random, policy });
  return {
    ...parts,
    entryId,
    entryIncarnation,
    instances,
    runtimes,
    claims,
    logger,
    random,
    heartbeats: createHeartbeats({ agents: parts.agents, entryId, entryIncarnation }),
    cancellations: createCancellations({ agents: parts.agents, entryId }),
    newAttemptId: randomUUID,
    timeouts: defaultRequestTimeouts,
  };
}

interface RecordTarget {
  record: FeedRecord;
  services: ServiceTable;
  strikes: Strikes;
  metrics: EntryMetrics;
  context: RequestContext;
}

function applyRecord(target: RecordTarget): void {
  const { record, strikes } = target;
  switch (record.kind) {
    case feedKinds.accepted:
      applyAccepted(target);
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

function applyAccepted({ record, services, metrics, context }: RecordTarget): void {
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
