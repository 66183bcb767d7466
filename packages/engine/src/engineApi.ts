/**
 * Interface of a model engine, as its agent uses it. `httpEngineClient.ts` implements it over HTTP; an
 * engine with another wire format needs another implementation.
 */
import type { ResultAsync } from 'neverthrow';
import type { EngineOrder, FinishReason, WorkerRole } from '@bluebellhitch/protocol';

export type EngineError =
  /** The work certainly did not start: the connection or the engine refused it. */
  | { kind: 'not-started'; detail: string }
  | { kind: 'out-of-memory'; detail: string }
  /** The named export, import or stream does not exist or no longer exists. */
  | { kind: 'gone'; detail: string }
  /** The engine process died or the connection broke after the call was sent. */
  | { kind: 'died'; detail: string }
  | { kind: 'timeout'; detail: string }
  | { kind: 'stale-order'; highestFencingNumber: number }
  | { kind: 'failed'; detail: string };

export interface PrefillInput {
  attemptId: string;
  model: string;
  prompt: string;
  priority: number;
}

export interface PrefillResult {
  exportId: string;
  promptTokens: number;
  cachedTokens: number;
  kvBytes: number;
  keptForMs: number;
}

export interface ImportInput {
  attemptId: string;
  /** `http://ip:port` of the engine that holds the export. */
  kvAddress: string;
  exportId: string;
  /** Rate limit of this transfer. */
  rateBytesPerSecond: number;
}

/** Progress of a running import; `done` is set in the last report. */
export interface ImportProgress {
  receivedBytes: number;
  totalBytes: number;
  done: boolean;
}

export interface DecodeInput {
  attemptId: string;
  model: string;
  prompt: string;
  /** Decode from KV cache that was imported under this attempt id; otherwise the engine runs the prefill. */
  imported: boolean;
  /** Maximum number of further tokens; those in `ResumeInput.emitted` are not counted. */
  maxOutputTokens: number;
  priority: number;
}

export interface ResumeInput extends Omit<DecodeInput, 'imported'> {
  emitted: { tokenCount: number; text: string };
}

/** Item of a decode stream. `attemptId` is that of the input. */
export type EngineChunk =
  | { kind: 'token'; attemptId: string; offset: number; text: string }
  | { kind: 'end'; attemptId: string; offset: number; finishReason: FinishReason };

/** Prefill, export, import or decode that occupies KV cache memory in the engine. */
export interface EngineHolding {
  attemptId: string;
  phase: 'prefill' | 'export' | 'import' | 'decode';
  heldKvBytes: number;
}

/** Load of the engine as it was `ageMs` ago. */
export interface EngineLoad {
  role: WorkerRole;
  capacityKvBytes: number;
  kvBytesPerToken: number;
  heldKvBytes: number;
  runningCount: number;
  /** Maximum number of requests in the running batch. */
  slotCount: number;
  stepMs: number;
  ageMs: number;
  models: { model: string; version: string }[];
  adapters: { model: string; adapter: string }[];
}

export type CacheEvent =
  | { kind: 'stored'; sequence: number; block: string }
  | { kind: 'evicted'; sequence: number; block: string }
  | { kind: 'cleared'; sequence: number };

export interface EngineApi {
  prefill(input: PrefillInput, signal?: AbortSignal): ResultAsync<PrefillResult, EngineError>;
  /** `drop` frees the exported KV cache and is idempotent; `keep` fails with `gone` if it no longer exists. */
  exportKv(exportId: string, action: 'keep' | 'drop'): ResultAsync<void, EngineError>;
  /** Fetches KV cache from another engine; `onProgress` is called during the transfer. */
  importKv(
    input: ImportInput,
    onProgress: (progress: ImportProgress) => void,
    signal?: AbortSignal,
  ): ResultAsync<ImportProgress, EngineError>;
  /** If the engine dies, iteration ends early, without an `end` chunk. */
  decode(
    input: DecodeInput,
    signal?: AbortSignal,
  ): ResultAsync<AsyncIterable<EngineChunk>, EngineError>;
  resume(
    input: ResumeInput,
    signal?: AbortSignal,
  ): ResultAsync<AsyncIterable<EngineChunk>, EngineError>;
  /** Frees all memory that the attempt holds; idempotent. */
  cancel(attemptId: string): ResultAsync<void, EngineError>;
  /** Lists the memory holdings of all attempts, in any phase. */
  streams(): ResultAsync<EngineHolding[], EngineError>;
  load(): ResultAsync<EngineLoad, EngineError>;
  /** Events arrive late and may be lost: a gap in `sequence` means lost events. */
  cacheEvents(sinceSequence: number): ResultAsync<CacheEvent[], EngineError>;
  order(order: EngineOrder, fencingNumber: number): ResultAsync<void, EngineError>;
}
