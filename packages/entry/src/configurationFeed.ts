/** Feed of accepted documents and quarantine records, which an entry receives and serves. */
import type { FeedRecord, FeedReply, FeedRequest } from '@bluebellhitch/protocol';

export interface ConfigurationFeed {
  /** Starts the feed; calls `onRecord` for each record that is newer than the known one of its key. */
  start(onRecord: (record: FeedRecord) => void): void;
  /** Serves the feed to agents and other entries that follow this one. */
  serve(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply>;
  stop(): Promise<void>;
}
