export type {
  CacheEvent,
  DecodeInput,
  EngineApi,
  EngineChunk,
  EngineError,
  EngineHolding,
  EngineLoad,
  ImportInput,
  ImportProgress,
  PrefillInput,
  PrefillResult,
  ResumeInput,
} from './engineApi';
export {
  createHttpEngineClient,
  type HttpEngineClient,
  type HttpEngineClientOptions,
} from './httpEngineClient';
export { readEventStream } from './eventStream';
export {
  cancelBodySchema,
  decodeBodySchema,
  engineErrorStatus,
  enginePaths,
  errorBodySchema,
  exportBodySchema,
  importBodySchema,
  importEventSchema,
  kvEventSchema,
  orderBodySchema,
  prefillBodySchema,
  resumeBodySchema,
  type ImportEvent,
  type KvEvent,
} from './engineWire';
