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
