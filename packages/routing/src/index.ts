export {
  createAttemptBudget,
  type AttemptAllowance,
  type AttemptBudget,
  type AttemptBudgetOptions,
  type AttemptReservation,
} from './attemptBudget';
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
} from './backendConnections';
export type { HttpResponse, HttpCall, HttpOutcome } from './httpCall';
export type { ResponseWriter, CallerExchange, CompleteResponse } from './callerApi';
export {
  createCallerConnections,
  createDisconnectSignal,
  isCallerWaiting,
  onceResponseOver,
  type CallerConnection,
} from './callerConnection';
export { createReadBarrier, type ReadBarrier } from './readBarrier';
export { startHoldUpWatch, type HoldUpWatch } from './holdUpWatch';
export { createConnectionClosing, type ConnectionClosing } from './connectionClosing';
export { createConnectionGuard } from './connectionGuard';
export {
  startCallersServer,
  type CallersServer,
  type CallersServerOptions,
  type DecodeHead,
  type RequestHead,
} from './callersServer';
export type { QuarantineChannel } from './crashAnnouncements';
export { createDatagramDispatcher } from './datagramDispatcher';
export { createDecodePaces, type DecodePaces, type PaceEstimates } from './decodePaces';
export { createDecodePlacement, type DecodePlacement } from './decodePlacement';
export { createEngineLoads, type EngineLoads, type PlacedStream } from './engineLoads';
export { selectEngineUse } from './engineUse';
export { createEventSplitter } from './eventSplitter';
export { createLoadPoller } from './loadPoller';
export {
  createSpeedExchange,
  type ServerSpeeds,
  type SpeedChannel,
  type SpeedExchange,
} from './speedExchange';
export {
  createServiceVersions,
  noServiceVersions,
  type ServiceVersions,
  type ServiceVersionsOptions,
} from './serviceVersions';
export {
  createOriginStore,
  noOriginStore,
  type OriginStore,
  type OriginStoreOptions,
} from './originStore';
export {
  createStreamOrigins,
  noStreamOrigins,
  type StreamOriginChannel,
  type StreamOrigins,
  type StreamOriginsOptions,
} from './streamOrigins';
export { createStreamSizes, type EndedStream, type StreamSizes } from './streamSizes';
export {
  notRunReasons,
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
export { digestOfKey } from './apiKeys';
export {
  createQuotaExchange,
  type ChargeOutcome,
  type QuotaCharge,
  type QuotaExchange,
  type QuotaExchangeOptions,
} from './quotaExchange';
export {
  createConfigurationProof,
  type ConfigurationProof,
  type ConfigurationProofOptions,
} from './configurationProof';
export { decideAccess, type AccessDecision, type ConfigurationFreshness } from './workspaceAccess';
export {
  createObjectFollower,
  type ObjectFollower,
  type ObjectFollowerOptions,
} from './objectFollower';
export type { SeenChanges } from './relayedEvents';
export { createStoreAnswers, type StoreAnswers, type StoreReturn } from './storeAvailability';
export { createRequestRouter, type RequestRouter } from './requestRouter';
export {
  createQuarantineStore,
  type QuarantineStore,
  type QuarantineStoreOptions,
} from './quarantineStore';
export {
  decodeQuarantineRecord,
  writeQuarantineRecord,
  type QuarantineWrite,
} from './quarantineObjects';
export {
  createRequestQuarantine,
  noQuarantine,
  type RequestQuarantine,
  type RequestQuarantineOptions,
} from './requestQuarantine';
export { createRouterMetrics, type RouterMetrics } from './routerMetrics';
export type { RouterDependencies } from './routerDependencies';
export { findMovedRoutes, type MovedRoute } from './movedRoutes';
export { createRouteTable, type RouteTable } from './routeTable';
export { probeRepeatedly } from './repeatedProbe';
export { createServerEnds, type ServerEnds, type ServerEndsOptions } from './serverEnds';
export {
  createReturnedServers,
  type ReturnedServers,
  type ReturnedServersOptions,
} from './returnedServers';
export { createServerDirectory, type ServerChange, type ServerDirectory } from './serverDirectory';
export {
  createServerLimits,
  noLimits,
  type LimitChannel,
  type PermitOutcome,
  type ServerLimits,
  type ServerPermits,
} from './serverLimits';
export { createServerLoads } from './serverLoads';
export { createServerNotices, createAvailablePools, type ServerNotices } from './serverNotices';
export { drainBody, readSmallBody, readWholeBody } from './responseBody';
export { createStageBalancer, type StageBalancerOptions } from './stageBalancer';
export {
  planStageChange,
  planStageChanges,
  targetPrefillCount,
  type StageChange,
} from './stagePlan';
export { createFleetShares, type FleetShares } from './fleetShares';
export { createFleetShard, type FleetShard, type ServerPools } from './fleetShard';
export {
  unresponsiveCauses,
  type UnresponsiveCause,
  type UnresponsiveEvidence,
} from './unresponsiveEngines';
export { startPeerExchange, type PeerExchange } from './peerExchange';
export { createWatchPlan, type WatchPlan, type WatchPlanOptions } from './watchPlan';
