/** Accepted documents and quarantine records as an entry takes and serves them. */
import type { FeedRecord, FeedReply, FeedRequest } from '@bluebellhitch/protocol';

export interface ConfigurationFeed {
  /** Reports each record that is newer than what was known of its key. */
  start(onRecord: (record: FeedRecord) => void): void;
  /** Answers agents and other entries that follow this one. */
  serve(request: FeedRequest, signal?: AbortSignal): Promise<FeedReply>;
  stop(): Promise<void>;
}
