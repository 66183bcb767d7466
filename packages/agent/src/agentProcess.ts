/** Runs an agent from its settings: clients, inner port, admin port and graceful stop. */
import { randomUUID } from 'node:crypto';
import { createHttpEngineClient } from '@bluebellhitch/engine';
import { createHttpPlatformClient } from '@bluebellhitch/objects';
import { createPortResources } from '@bluebellhitch/ports';
import type { InnerSecurity } from '@bluebellhitch/security';
import {
  createAgentMetrics,
  createDecisionRing,
  createLogger,
  startAdminServer,
  type Logger,
} from '@bluebellhitch/telemetry';
import { createAgent, type AgentBackend } from './agent';
import type { AgentConfig } from './agentConfig';
import { createDocumentFeed } from './documentFeed';
import { createAgentTelemetry, reportDocument, reportLeases } from './agentTelemetry';
import { readFencingNumber } from './fencingNumber';
import { startInnerServer } from './innerServer';
import { createPlainProxy } from './plainProxy';
import type { AgentSettings } from './settings';

export interface AgentProcess {
  innerAddress: string;
  adminAddress: string;
  logger: Logger;
  /** Refuses new work, waits for running work up to the document's `drain.boundMs`, and closes. */
  stop(): Promise<void>;
  /** Closes without waiting for running work. */
  stopNow(): Promise<void>;
}

const bytesPerMegabyte = 1_048_576;
/** Leases end with the engine's work, when the last bytes may still be in transit to an entry. */
const responseGraceMs = 2000;

export async function startAgentProcess(
  settings: AgentSettings,
  security: InnerSecurity,
): Promise<AgentProcess> {
  const { instanceId, service, backendUrl } = settings;
  const logger = createLogger({
    binary: 'bluebell-agent',
    instanceId,
    level: settings.logLevel,
  });
  const metrics = createAgentMetrics();
  const ring = createDecisionRing({ capacity: 256 });
  const platform = createHttpPlatformClient({ address: settings.platformUrl });
  const agent = createAgent({
    instanceId,
    service,
    incarnation: randomUUID(),
    backend: createBackend(settings),
    initialRole: settings.role,
    readFencingNumber: () => readFencingNumber(platform, service),
    observer: createAgentTelemetry({ metrics, ring, logger }),
  });
  const feed = createDocumentFeed({
    platform,
    credentials: security,
    instanceId,
    dataCentre: settings.dataCentre,
    peerAddresses: settings.peerAddresses,
    service,
    onAccepted: (accepted) => {
      agent.applyDocument(accepted);
      reportDocument(metrics, accepted);
    },
    onUnreadable: (detail) => logger.error('unreadable document', { detail }),
  });
  const plainProxy =
    settings.backendKind === 'plain' ? createPlainProxy({ agent, backendUrl }) : undefined;
  const resources = createPortResources(settings.memoryMb * bytesPerMegabyte);
  const inner = await startInnerServer({
    agent,
    plainProxy,
    security,
    onUnauthenticated: metrics.countUnauthenticated,
    resources,
    host: settings.innerHost,
    port: settings.innerPort,
  });
  const admin = await startAdminServer({
    host: settings.adminHost,
    port: settings.adminPort,
    resources,
    metrics: {
      ...metrics,
      render: () => {
        reportLeases(metrics, agent.leasing.table, agent.load().queuedCount);
        return metrics.render();
      },
    },
    ring,
    isReady: agent.isReady,
    routes: {
      '/debug/leases': () => agent.leasing.table.leases(),
      '/debug/config': () => describeConfig(settings, agent.config()),
    },
  });
  void agent.start();
  feed.start();

  const closeAll = async (graceMs: number) => {
    await inner.close(graceMs);
    agent.close();
    await feed.stop();
    await Promise.all([admin.close(), plainProxy?.close(), platform.close()]);
  };
  return {
    innerAddress: inner.address,
    adminAddress: admin.address,
    logger,
    stopNow: () => closeAll(0),
    stop: async () => {
      agent.leave();
      const isDrained = await agent.drain(agent.config().drainBoundMs);
      logger.info('drained', { isDrained });
      await closeAll(responseGraceMs);
    },
  };
}

/** The active configuration; `generations` has the same format as in the entries' response. */
function describeConfig({ instanceId, dataCentre, service }: AgentSettings, config: AgentConfig) {
  const { generation, classes, ...others } = config;
  const generations = generation === 0 ? {} : { [service]: generation };
  return { instanceId, dataCentre, generations, ...others, classes: Object.fromEntries(classes) };
}

function createBackend(settings: AgentSettings): AgentBackend {
  if (settings.backendKind === 'plain') {
    return { kind: 'plain' };
  }
  return {
    kind: 'model',
    engine: createHttpEngineClient({ address: settings.backendUrl }),
    kvAddress: settings.kvAddress ?? settings.backendUrl,
    kvRateBytesPerSecond: settings.kvLinkBytesPerSecond,
  };
}
