/** Delivers the accepted documents of the agent's service, from relays or from the platform. */
import { acceptedDocumentSchema, type AcceptedDocument } from '@bluebellhitch/document';
import {
  createFeedClient,
  createFeedFollower,
  createFeedStore,
  createInstanceDirectory,
  type InstanceDirectory,
} from '@bluebellhitch/membership';
import type { PlatformApi } from '@bluebellhitch/objects';
import { feedKinds, type FeedRecord } from '@bluebellhitch/protocol';
import type { InnerCredentials } from '@bluebellhitch/security';
import { delay, type Random } from '@bluebellhitch/shared';

export interface DocumentFeedOptions {
  platform: PlatformApi;
  credentials?: InnerCredentials;
  instanceId: string;
  dataCentre: string;
  service: string;
  /** Inner addresses of entries to query at the start. */
  peerAddresses?: readonly string[];
  onAccepted: (accepted: AcceptedDocument) => void;
  /** Called for a record that this version cannot parse; the last document stays active. */
  onUnreadable: (detail: string) => void;
  random?: Random;
}

export interface DocumentFeed {
  start(): void;
  stop(): Promise<void>;
}

/** Refresh interval of the instance directory until it has a relay in this data centre; longer afterwards. */
const searchIntervalMs = 2000;
const refreshIntervalMs = 30_000;
/** Each poll reads one document. Without relays, polling is what delivers a change within seconds. */
const platformPauseMs = 2000;

export function createDocumentFeed(options: DocumentFeedOptions): DocumentFeed {
  const { platform, instanceId, dataCentre, service, random = Math.random } = options;
  const store = createFeedStore({ maxRecords: 1000 });
  const directory = createInstanceDirectory({ platform, random });
  const follower = createFeedFollower({
    platform,
    directory,
    store,
    instanceId,
    dataCentre,
    services: [service],
    peerAddresses: options.peerAddresses,
    platformPauseMs,
    callFeed: createFeedClient({ credentials: options.credentials }),
    random,
  });
  const stopping = new AbortController();

  function applyRecords(records: readonly FeedRecord[]): void {
    records
      .filter(
        ({ kind, key, removed }) => kind === feedKinds.accepted && key === service && !removed,
      )
      .forEach(({ value }) => {
        const parsed = acceptedDocumentSchema.safeParse(value);
        if (parsed.success) {
          options.onAccepted(parsed.data);
        } else {
          options.onUnreadable(parsed.error.message);
        }
      });
  }

  return {
    start: () => {
      store.subscribe(applyRecords);
      follower.start();
      void searchForRelays(directory, dataCentre, random, stopping.signal);
    },
    stop: async () => {
      stopping.abort();
      await follower.stop();
    },
  };
}

async function searchForRelays(
  directory: InstanceDirectory,
  dataCentre: string,
  random: Random,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const hasRelay = directory.entries().some((entry) => entry.dataCentre === dataCentre);
    const pauseMs = hasRelay ? refreshIntervalMs : searchIntervalMs;
    await delay(pauseMs * (0.5 + random()), signal);
    await directory.refreshIfNeeded();
  }
}
