export { createLineWriter, type LineWriter, type LineWriterOptions } from './lineWriter';
export {
  createLogger,
  type LogContext,
  type LogLevel,
  type LogLine,
  type Logger,
  type LoggerOptions,
} from './logger';
export {
  createDecisionRing,
  type DecisionRecord,
  type DecisionRing,
  type DecisionRingOptions,
  type DecisionStep,
} from './decisionRing';
export { otherLabel, type LabelledService, type RequestLabels } from './serviceLabels';
export {
  byteDirections,
  claimOutcomes,
  droppedFrameCauses,
  leaseStates,
  requestOutcomes,
  requestPhases,
  retryCauses,
  wastedPrefillCauses,
  type ByteDirection,
  type ClaimOutcome,
  type DroppedFrameCause,
  type LeaseState,
  type RequestOutcome,
  type RequestPhase,
  type RetryCause,
  type WastedPrefillCause,
} from './metricValues';
export {
  createAgentMetrics,
  createEntryMetrics,
  type AgentMetrics,
  type CommonMetrics,
  type EntryMetrics,
  type RenderedMetrics,
} from './metrics';
export { startAdminServer, type AdminServer, type AdminServerOptions } from './adminServer';
export {
  exitOnStdinEnd,
  installProcessLifecycle,
  lifecycleSettings,
  type LifecycleProcess,
  type ProcessLifecycleOptions,
  type StopKind,
} from './processLifecycle';
