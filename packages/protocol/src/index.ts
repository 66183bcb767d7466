export {
  attemptIdSchema,
  identifierSchema,
  requestOriginSchema,
  workerRoleSchema,
  workerRoles,
  type AttemptId,
  type RequestOrigin,
  type WorkerRole,
} from './ids';
export { loadHintSchema, type LoadHint } from './load';
export {
  agentRefusalReasonSchema,
  agentRefusalReasons,
  agentRefusalSchema,
  attemptReferenceSchema,
  bidRequestSchema,
  bidSchema,
  heartbeatReplySchema,
  heartbeatSchema,
  kvSourceSchema,
  notRunSchema,
  prefillReplySchema,
  prefillRequestSchema,
  reserveReplySchema,
  reserveRequestSchema,
  streamRequestSchema,
  type AgentRefusal,
  type AgentRefusalReason,
  type AttemptReference,
  type Bid,
  type BidRequest,
  type Heartbeat,
  type HeartbeatReply,
  type KvSource,
  type PrefillReply,
  type PrefillRequest,
  type ReserveReply,
  type ReserveRequest,
  type StreamRequest,
} from './agentMessages';
export {
  finishReasonSchema,
  streamFrameSchema,
  type FinishReason,
  type StreamFrame,
} from './streamFrame';
export {
  engineOrderSchema,
  orderReplySchema,
  orderRequestSchema,
  workerStateSchema,
  type EngineOrder,
  type OrderReply,
  type OrderRequest,
  type WorkerState,
} from './orderMessages';
export { createAgentRouter, type AgentHandlers, type AgentRouter } from './agentRouter';
export {
  feedKindSchema,
  feedKinds,
  feedRecordSchema,
  feedReplySchema,
  feedRequestSchema,
  instanceListUpdateSchema,
  instanceListStateSchema,
  listedInstanceSchema,
  strikeSchema,
  type FeedKind,
  type FeedRecord,
  type FeedReply,
  type FeedRequest,
  type InstanceListUpdate,
  type InstanceListState,
  type ListedInstance,
  type Strike,
} from './entryMessages';
export { createEntryRouter, type EntryHandlers, type EntryRouter } from './entryRouter';
export { callerHeaders, hopByHopHeaders, innerHeaders, innerPaths } from './http';
export {
  blockTokens,
  estimateTokens,
  prefixBlockHashes,
  samplePrefixBlocks,
  sampledPrefixDepth,
} from './prompt';
export { canEncode } from './nesting';
export {
  decodeRelayedChanges,
  canEncodeChanges,
  encodeRelayedChanges,
  isRelayedChanges,
  type RelayedChange,
  type RelayedChanges,
} from './changeMessages';
export {
  decodeCrashMessage,
  encodeCrashMessage,
  maxCrashesPerRequest,
  maxRequestsPerMessage,
  type AnnouncedCrash,
  type CrashingRequest,
  type CrashMessage,
} from './crashMessages';
export {
  decodeStreamOriginMessage,
  encodeStreamOriginMessage,
  maxStreamsPerMessage,
  streamOriginMessageKinds,
  type StreamOrigin,
  type StreamOriginMessage,
  type StreamOriginMessageKind,
  type StreamRecord,
} from './streamOriginMessages';
export {
  decodePeerMessage,
  encodePeerMessage,
  isPeerMessage,
  type PeerEngineUse,
  type StreamEstimate,
  type PeerMessage,
  type PeerContact,
} from './peerMessages';
export {
  decodeLimitMessage,
  encodeLimitMessage,
  maxLimitsPerMessage,
  type LimitMessage,
  type LimitAnnouncement,
  type PermitAnswer,
  type PermitQuestion,
  type AnnouncedLimit,
} from './limitMessages';
export {
  decodeProofMessage,
  encodeProofMessage,
  type ProofAnswer,
  type ProofMessage,
  type ProofQuestion,
  type AnnouncedConfiguration,
} from './proofMessages';
export {
  decodeQuotaMessage,
  encodeQuotaMessage,
  maxUsesPerMessage,
  type QuotaMessage,
  type AnnouncedUse,
} from './quotaMessages';
export { eraOf, maxEra, revisionOf, storePosition, type StorePosition } from './storePosition';
export {
  decodeSpeedMessage,
  encodeSpeedMessage,
  estimateKinds,
  maxSpeedRows,
  serverKey,
  speedHeadBytes,
  speedRowBytes,
  type EstimateKind,
  type SpeedMessage,
  type SpeedRow,
} from './speedMessages';
