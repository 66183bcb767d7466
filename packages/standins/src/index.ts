export {
  startStandinPlatform,
  type StartStandinPlatformOptions,
} from './platform/startStandinPlatform';
export {
  createStandinPlatform,
  type StandinPlatform,
  type StandinPlatformControl,
  type StandinPlatformOptions,
  type StandinPlatformStats,
} from './platform/standinPlatform';
export type { LostResponses, PlatformVerb } from './platform/faults';
export {
  createPeerDirectory,
  createStandinEngine,
  type StandinEngine,
} from './engine/standinEngine';
export { type KvPeer, type KvTransfer, type StandinEngineOptions } from './engine/engineOptions';
export { createBatchScheduler, type BatchScheduler, type Sequence } from './engine/batchScheduler';
export { createKvLedger, type KvLedger } from './engine/kvLedger';
export { type EngineControl } from './engine/engineControl';
export { type EngineRun, type EngineStats } from './engine/engineStats';
export { expectedOutput, type ExpectedOutput } from './engine/tokenOutput';
export {
  createStandinEngineServer,
  type StandinEngineServer,
  type StandinEngineServerOptions,
} from './engine/standinEngineServer';
export {
  createStandinWeightStore,
  type StandinWeightStoreOptions,
} from './weightStore/standinWeightStore';
export { createWeightReader, type WeightReader } from './weightStore/weightReader';
export {
  createStandinPlainService,
  type StandinPlainService,
  type StandinPlainServiceOptions,
} from './plainService/standinPlainService';
export { sendRaw, startCrowd, type Crowd, type CrowdOptions } from './crowd/crowd';
export {
  encodeChunk,
  endless,
  headAndBytes,
  inOrder,
  once,
  unendedChunks,
  type Parts,
} from './crowd/crowdInput';
export { watchProcess, type ProcessUse } from './crowd/processUse';
export {
  startEndlessServer,
  type EndlessConnection,
  type EndlessServer,
  type EndlessServerOptions,
} from './endlessServer';
