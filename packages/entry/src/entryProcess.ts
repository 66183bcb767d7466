/** Puts an entry together from its settings: platform, membership, configuration feed and ports. */
import { createClaimStore, createHttpPlatformClient } from '@bluebellhitch/objects';
import {
  createFeedClient,
  createFeedFollower,
  createFeedServer,
  createFeedStore,
  createInstanceDirectory,
  type FeedStore,
  type InstanceDirectory,
} from '@bluebellhitch/membership';
import { createOrderAgentClient, startDuties, type Duties } from '@bluebellhitch/duties';
import type { PlatformApi, PlatformInstance } from '@bluebellhitch/objects';
import type { InnerSecurity } from '@bluebellhitch/security';
import { createLogger, type Logger, type StopKind } from '@bluebellhitch/telemetry';
import type { CallersTls } from './callersTls';
import type { ConfigurationFeed } from './configurationFeed';
import { startEntry, type Entry } from './entry';
import type { EntrySettings } from './entrySettings';

export interface EntryProcess {
  callersAddress: string;
  innerAddress: string;
  adminAddress: string;
  logger: Logger;
  stop(kind: StopKind): Promise<void>;
}

export interface EntryProcessOptions {
  settings: EntrySettings;
  security: InnerSecurity;
  callersTls?: CallersTls;
}

/** Starts the process; rejects where a port is taken. */
export async function startEntryProcess(options: EntryProcessOptions): Promise<EntryProcess> {
  const { settings, security, callersTls } = options;
  const { instanceId, platformUrl, logLevel } = settings;
  const logger = createLogger({ binary: 'bluebell-entry', instanceId, level: logLevel });
  const platform = createHttpPlatformClient({ address: platformUrl });
  const directory = createInstanceDirectory({ platform });
  const entry = await startEntry({
    settings,
    platform,
    directory,
    claims: createClaimStore({ platform, ownerId: instanceId }),
    feed: createFeed({ settings, platform, directory, security, store: createFeedStore() }),
    security,
    callersTls,
    logger,
  });
  directory.start();
  const duties = startEntryDuties({ settings, platform, directory, entry, security, logger });
  const { callersAddress, innerAddress, adminAddress } = entry;
  logger.info('listening', { callersAddress, innerAddress, adminAddress });
  return {
    callersAddress,
    innerAddress,
    adminAddress,
    logger,
    async stop(kind) {
      // Duties go at once: another entry takes them over while this one finishes its callers.
      await Promise.all([duties.stop(), entry.stop(kind)]);
      await directory.stop();
      await platform.close();
    },
  };
}

interface DutyParts {
  settings: EntrySettings;
  platform: PlatformApi;
  directory: InstanceDirectory;
  entry: Entry;
  security: InnerSecurity;
  logger: Logger;
}

function startEntryDuties(parts: DutyParts): Duties {
  const { settings, platform, directory, entry, security, logger } = parts;
  const documents = () => entry.services.list();
  const agents = () => documents().flatMap(({ document }) => directory.agents(document.service));
  const instances = (): PlatformInstance[] => [...directory.entries(), ...agents()];
  return startDuties({
    platform,
    holderId: settings.instanceId,
    instances,
    documents,
    agentClient: createOrderAgentClient({ credentials: security }),
    logger,
  });
}

interface FeedParts {
  settings: EntrySettings;
  platform: PlatformApi;
  directory: InstanceDirectory;
  security: InnerSecurity;
  store: FeedStore;
}

function createFeed({
  settings,
  platform,
  directory,
  security,
  store,
}: FeedParts): ConfigurationFeed {
  const { instanceId, dataCentre, peerAddresses } = settings;
  const callFeed = createFeedClient({ credentials: security });
  const server = createFeedServer(store, { directory });
  const follower = createFeedFollower({
    platform,
    directory,
    store,
    instanceId,
    dataCentre,
    peerAddresses,
    callFeed,
  });
  return {
    start(onRecord) {
      store.subscribe((applied) => applied.forEach(onRecord));
      follower.start();
    },
    serve: server.feed,
    async stop() {
      server.close();
      await follower.stop();
    },
  };
}
