export {
  createAttemptBudget,
  type AttemptAllowance,
  type AttemptBudget,
  type AttemptBudgetOptions,
  type AttemptReservation,
} from './fleet/attemptBudget';
export type {
  ResponseBody,
  BackendResponse,
  BackendApi,
  BodyReader,
  CallOutcome,
  EngineLoad,
  LostResponse,
  NotRunCause,
  ServerHealth,
  ServerPresence,
  PrefillOptions,
  PrefillResult,
  Reservation,
  ServerNotice,
  ReserveOptions,
  RunOptions,
  StageOrder,
} from './backendApi';
export {
  createBackendConnections,
  type BackendConnections,
  type BackendConnectionsOptions,
} from './servers/backendConnections';
export type { CallIdentity } from './servers/callIdentity';
export type {
  ForeignResponseEvidence,
  HttpResponse,
  HttpCall,
  HttpOutcome,
  ResponseOrigin,
} from './servers/httpCall';
export { createResponseWriter } from './callers/httpExchange';
export { forwardBody, type ForwardOutcome } from './request/forwardBody';
export type { ResponseWriter, CallerExchange, CompleteResponse } from './callerApi';
export {
  createCallerConnections,
  createDisconnectSignal,
  isCallerWaiting,
  onceResponseOver,
  type CallerConnection,
} from './callers/callerConnection';
export { createReadBarrier, type ReadBarrier } from './readBarrier';
export { startHoldUpWatch, type HoldUpWatch } from './callers/holdUpWatch';
export {
  createConnectionClosing,
  refuseConnect,
  type ConnectionClosing,
  type TakenRequest,
} from './callers/connectionClosing';
export { createConnectionGuard } from './callers/connectionGuard';
export {
  startCallersServer,
  type CallersServer,
  type CallersServerOptions,
  type DecodeHead,
  type RequestHead,
} from './callers/callersServer';
export type { QuarantineChannel } from './fleet/crashAnnouncements';
export { createDatagramDispatcher } from './fleet/datagramDispatcher';
export { createDecodePaces, type DecodePaces, type PaceEstimates } from './servers/decodePaces';
export { createDecodePlacement, type DecodePlacement } from './servers/decodePlacement';
export { createEngineLoads, type EngineLoads, type PlacedStream } from './servers/engineLoads';
export { selectEngineUse } from './servers/engineUse';
export { createEventSplitter } from './request/eventSplitter';
export { createLoadPoller } from './servers/loadPoller';
export {
  createSpeedExchange,
  type ServerSpeeds,
  type SpeedChannel,
  type SpeedExchange,
} from './fleet/speedExchange';
export {
  createServiceVersions,
  noServiceVersions,
  type ServiceVersions,
  type ServiceVersionsOptions,
} from './servers/serviceVersions';
export {
  createOriginStore,
  noOriginStore,
  type OriginStore,
  type OriginStoreOptions,
} from './fleet/originStore';
export {
  createStreamOrigins,
  noStreamOrigins,
  type StreamOriginChannel,
  type StreamOrigins,
  type StreamOriginsOptions,
} from './fleet/streamOrigins';
export { createStreamSizes, type EndedStream, type StreamSizes } from './servers/streamSizes';
export {
  notRunReasons,
  notRunStatuses,
  quotaUnits,
  routeKinds,
  serverIdOf,
  softwareVersionOf,
  stages,
  type BackendServer,
  type CallerLimits,
  type CallerRequest,
  type Configuration,
  type Credential,
  type EngineSettings,
  type NotRunReason,
  type PromptSize,
  type Refusal,
  type Route,
  type RouteKind,
  type RouteTarget,
  type ServiceSettings,
  type Stage,
  type Workspace,
  type WorkspaceQuota,
} from './model';
export { digestOfKey } from './fleet/apiKeys';
export {
  createQuotaExchange,
  type ChargeOutcome,
  type QuotaCharge,
  type QuotaExchange,
  type QuotaExchangeOptions,
} from './fleet/quotaExchange';
export {
  createConfigurationProof,
  type ConfigurationProof,
  type ConfigurationProofOptions,
} from './fleet/configurationProof';
export {
  decideAccess,
  type AccessDecision,
  type ConfigurationFreshness,
} from './fleet/workspaceAccess';
export {
  createObjectFollower,
  type ObjectFollower,
  type ObjectFollowerOptions,
} from './fleet/objectFollower';
export type { SeenChanges } from './fleet/relayedEvents';
export { createStoreAnswers, type StoreAnswers, type StoreReturn } from './fleet/storeAvailability';
export { createRequestRouter, type RequestRouter } from './request/requestRouter';
export {
  createQuarantineStore,
  type QuarantineStore,
  type QuarantineStoreOptions,
} from './fleet/quarantineStore';
export {
  decodeQuarantineRecord,
  writeQuarantineRecord,
  type QuarantineWrite,
} from './fleet/quarantineObjects';
export {
  createRequestQuarantine,
  noQuarantine,
  type RequestQuarantine,
  type RequestQuarantineOptions,
} from './fleet/requestQuarantine';
export { createRouterMetrics, type RouterMetrics } from './routerMetrics';
export type { RouterDependencies } from './request/routerDependencies';
export { findMovedRoutes, type MovedRoute } from './movedRoutes';
export { createRouteTable, type RouteTable } from './routeTable';
export { probeRepeatedly } from './servers/repeatedProbe';
export { createServerEnds, type ServerEnds, type ServerEndsOptions } from './servers/serverEnds';
export {
  createIgnoredEntryReview,
  type IgnoredEntryReview,
  type IgnoredEntryReviewOptions,
} from './servers/ignoredEntryReview';
export {
  createReturnedServers,
  type ReturnedServers,
  type ReturnedServersOptions,
} from './servers/returnedServers';
export {
  createServerDirectory,
  type ServerChange,
  type ServerDirectory,
} from './servers/serverDirectory';
export {
  createServerLimits,
  noLimits,
  type LimitChannel,
  type PermitOutcome,
  type ServerLimits,
  type ServerPermits,
} from './servers/serverLimits';
export { createServerLoads } from './servers/serverLoads';
export {
  createServerNotices,
  createAvailablePools,
  type ServerNotices,
} from './servers/serverNotices';
export { drainBody, readSmallBody, readWholeBody } from './servers/responseBody';
export { createStageBalancer, type StageBalancerOptions } from './servers/stageBalancer';
export {
  planStageChange,
  planStageChanges,
  targetPrefillCount,
  type StageChange,
} from './servers/stagePlan';
export { createFleetShares, type FleetShares } from './fleet/fleetShares';
export { createFleetShard, type FleetShard, type ServerPools } from './servers/fleetShard';
export {
  unresponsiveCauses,
  type UnresponsiveCause,
  type UnresponsiveEvidence,
} from './servers/unresponsiveEngines';
export { startPeerExchange, type PeerExchange } from './fleet/peerExchange';
export { createWatchPlan, type WatchPlan, type WatchPlanOptions } from './fleet/watchPlan';
