/** Options of the stand-in engine. With the defaults, about twenty typical requests fill the memory. */
import type { ResultAsync } from 'neverthrow';
import type { EngineError } from '@bluebellhitch/engine';
import type { WorkerRole } from '@bluebellhitch/protocol';

/** A transfer of KV cache from another engine, in progress. */
export interface KvTransfer {
  totalBytes: number;
  promptTokens: number;
  /** Sizes of the pieces as they arrive; if they add up to less than `totalBytes`, the transfer failed. */
  pieces: AsyncIterable<number>;
}

/** Another engine, as a source of KV cache. */
export interface KvPeer {
  openExport(
    exportId: string,
    rateBytesPerSecond: number,
    signal: AbortSignal,
  ): ResultAsync<KvTransfer, EngineError>;
}

export interface StandinEngineOptions {
  role?: WorkerRole;
  /** Models loaded at the start. */
  models?: { model: string; version: string }[];
  slotCount?: number;
  capacityKvBytes?: number;
  kvBytesPerToken?: number;
  /** A decode step of n streams takes `stepBaseMs + n * stepPerStreamMs`. */
  stepBaseMs?: number;
  stepPerStreamMs?: number;
  prefillBaseMs?: number;
  prefillMsPerToken?: number;
  /** Maximum number of prompt tokens that one step prefills beside the decode streams. */
  prefillChunkTokens?: number;
  /** How long the result of a prefill is kept; longer only while a transfer reads it. */
  exportKeptForMs?: number;
  linkBytesPerSecond?: number;
  transferPieceBytes?: number;
  prefixCacheBlocks?: number;
  cacheEventDelayMs?: number;
  /** Fraction of cache events that are lost. */
  cacheEventLossRatio?: number;
  loadLagMs?: number;
  /** Maximum number of requests queued beside the batch; more are refused. */
  queueLimit?: number;
  /** Whether orders with an outdated fencing number are refused. */
  checkFencing?: boolean;
  modelLoadMs?: number;
  adapterLoadMs?: number;
  roleChangeMs?: number;
  /** Whether a closed connection cancels its prefill or decode; otherwise they run on. */
  cancelOnDisconnect?: boolean;
  /** A prompt that contains this text crashes the engine when it starts to run. */
  poisonMarker?: string;
  seed?: number;
  connectPeer?: (kvAddress: string) => KvPeer;
  /** Reads a model's weights; if absent, a load takes `modelLoadMs`. */
  readWeights?: (model: string, version: string) => ResultAsync<void, EngineError>;
  onCrash?: () => void;
}

const requestKvBytes = 361_000_000;

const defaults = {
  role: 'both' as WorkerRole,
  models: [{ model: 'standin-model', version: '1' }],
  slotCount: 20,
  capacityKvBytes: 20 * requestKvBytes,
  kvBytesPerToken: 131_072,
  stepBaseMs: 9,
  stepPerStreamMs: 0.1,
  prefillBaseMs: 20,
  prefillMsPerToken: 0.2,
  prefillChunkTokens: 256,
  exportKeptForMs: 900,
  linkBytesPerSecond: 4_000_000_000,
  transferPieceBytes: 16 * 1024 * 1024,
  prefixCacheBlocks: 2048,
  cacheEventDelayMs: 200,
  cacheEventLossRatio: 0.02,
  loadLagMs: 250,
  queueLimit: 256,
  checkFencing: false,
  modelLoadMs: 2000,
  adapterLoadMs: 300,
  roleChangeMs: 200,
  cancelOnDisconnect: false,
  seed: 1,
};

export type EngineSettings = StandinEngineOptions & typeof defaults;

export function resolveEngineOptions(options: StandinEngineOptions): EngineSettings {
  const given = Object.entries(options).filter(([, value]) => value !== undefined);
  return { ...defaults, ...Object.fromEntries(given) };
}
