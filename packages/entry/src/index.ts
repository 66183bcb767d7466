export type {
  AgentApi,
  AgentCallError,
  AgentCallOptions,
  PlainResponse,
  PlainCall,
  StreamOpenError,
} from './agentApi';
export { createResponseLog, type ResponseEvent, type ResponseLog } from './responseLog';
export { createCallersApi, type CallersApi, type CallersApiOptions } from './callersApi';
export {
  createCancellations,
  type Cancellations,
  type CancellationsOptions,
} from './cancellations';
export type { ConfigurationFeed } from './configurationFeed';
export { computeClaimKey, computeFingerprint } from './digests';
export { startEntry, type Entry, type EntryOptions } from './entry';
export { startEntryProcess, type EntryProcess } from './entryProcess';
export { entrySettings, type EntrySettings } from './entrySettings';
export {
  createHeartbeats,
  leaseDurationMs,
  type HeartbeatShare,
  type Heartbeats,
  type HeartbeatsOptions,
} from './heartbeats';
export {
  createHttpAgentClient,
  type HttpAgentClient,
  type HttpAgentClientOptions,
} from './httpAgentClient';
export type { Instances } from './instances';
export { createModelRuns, type ModelRuns, type RunSubscription } from './modelRuns';
export { stopReasons, type ModelRequest, type StopReason } from './modelTypes';
export { createPlainApi, type PlainApi, type PlainApiOptions } from './plainApi';
export {
  defaultRequestTimeouts,
  type RequestContext,
  type RequestTimeouts,
} from './requestContext';
export {
  createServiceRuntimes,
  type ServiceRuntimes,
  type ServiceRuntimesOptions,
} from './serviceRuntimes';
export { createServiceTable, type ServiceEntry, type ServiceTable } from './serviceTable';
export { createStrikes, type Strikes, type StrikesOptions } from './strikes';
