/** Puts an entry together from its settings: platform, membership, configuration feed and ports. */
import { createClaimStore, createHttpPlatformClient } from '@bluebellhitch/platform';
import {
  createFeedFollower,
  createFeedServer,
  createFeedStore,
  createInstanceDirectory,
  type FeedStore,
  type InstanceDirectory,
} from '@bluebellhitch/membership';
import type { PlatformApi } from '@bluebellhitch/platform';
import { createLogger, type Logger, type StopKind } from '@bluebellhitch/telemetry';
import type { ConfigurationFeed } from './configurationFeed';
import { startEntry } from './entry';
import type { EntrySettings } from './entrySettings';

export interface EntryProcess {
  callersAddress: string;
  innerAddress: string;
  adminAddress: string;
  logger: Logger;
  stop(kind: StopKind): Promise<void>;
}

/** Starts the process; rejects where a port is taken. */
export async function startEntryProcess(settings: EntrySettings): Promise<EntryProcess> {
  const { instanceId, platformUrl, logLevel } = settings;
  const logger = createLogger({ binary: 'bluebell-entry', instanceId, level: logLevel });
  const platform = createHttpPlatformClient({ address: platformUrl });
  const directory = createInstanceDirectory({ platform });
  const entry = await startEntry({
    settings,
    platform,
    directory,
    claims: createClaimStore({ platform, ownerId: instanceId }),
    feed: createFeed({ settings, platform, directory, store: createFeedStore() }),
    logger,
  });
  directory.start();
  const { callersAddress, innerAddress, adminAddress } = entry;
  logger.info('listening', { callersAddress, innerAddress, adminAddress });
  return {
    callersAddress,
    innerAddress,
    adminAddress,
    logger,
    async stop(kind) {
      await entry.stop(kind);
      await directory.stop();
      await platform.close();
    },
  };
}

interface FeedParts {
  settings: EntrySettings;
  platform: PlatformApi;
  directory: InstanceDirectory;
  store: FeedStore;
}

function createFeed({ settings, platform, directory, store }: FeedParts): ConfigurationFeed {
  const { instanceId, dataCentre } = settings;
  const server = createFeedServer(store);
  const follower = createFeedFollower({ platform, directory, store, instanceId, dataCentre });
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
