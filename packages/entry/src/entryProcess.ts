/** Process of an entry: creates the entry and its dependencies from the settings. */
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

/** Starts the process; rejects if a port is in use. */
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
      // Duties stop at once, so that another entry takes them over while this one drains its requests.
      await Promise.all([duties.stop(), entry.stop(kind)]);
      await directory.stop();
      await platform.close();
    },
  };
}

interface DutiesDependencies {
  settings: EntrySettings;
  platform: PlatformApi;
  directory: InstanceDirectory;
  entry: Entry;
  security: InnerSecurity;
  logger: Logger;
}

function startEntryDuties(deps: DutiesDependencies): Duties {
  const { settings, platform, directory, entry, security, logger } = deps;
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

interface FeedDependencies {
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
}: FeedDependencies): ConfigurationFeed {
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
