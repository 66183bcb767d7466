export { peerSettings } from './peerSettings';
export {
  createInstanceDirectory,
  type InstanceDirectory,
  type InstanceDirectoryOptions,
} from './instanceDirectory';
export { defaultRelayCount, selectRelays } from './relays';
export {
  createFeedStore,
  type AppliedRecords,
  type FeedDelta,
  type FeedStore,
  type FeedStoreOptions,
} from './feedStore';
export { createFeedServer, type FeedServer, type FeedServerOptions } from './feedServer';
export { recordFromObject } from './feedRecords';
export {
  createFeedClient,
  type CallFeed,
  type FeedCallError,
  type FeedClientOptions,
} from './feedClient';
export {
  createFeedFollower,
  type FeedFollower,
  type FeedFollowerOptions,
  type FeedSource,
} from './feedFollower';
