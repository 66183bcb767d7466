/**
 * A model engine as its agent sees it. One implementation talks HTTP to the engine; another engine's
 * wire format is a change of that one file.
 */
import type { ResultAsync } from 'neverthrow';
import type { EngineOrder, FinishReason, WorkerRole } from '@bluebellhitch/protocol';

export type EngineError =
  /** Certainly not started: connection refused, or the engine's own refusal. */
  | { kind: 'not-started'; detail: string }
  | { kind: 'out-of-memory'; detail: string }
  /** The named export, import or stream does not exist (any more). */
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
  /** Pacing of this transfer. */
  rateBytesPerSecond: number;
}

/** Progress of a running import; the last one has `done`. */
export interface ImportProgress {
  receivedBytes: number;
  totalBytes: number;
  done: boolean;
}

export interface DecodeInput {
  attemptId: string;
  model: string;
  prompt: string;
  /** Decode from KV cache imported under this attempt id; otherwise the engine prefills itself. */
  imported: boolean;
  /** Of the tokens to come: those that `ResumeInput.emitted` holds are not counted. */
  maxOutputTokens: number;
  priority: number;
}

export interface ResumeInput extends Omit<DecodeInput, 'imported'> {
  emitted: { tokenCount: number; text: string };
}

/** What a decode stream yields. `attemptId` echoes the input. */
export type EngineChunk =
  | { kind: 'token'; attemptId: string; offset: number; text: string }
  | { kind: 'end'; attemptId: string; offset: number; finishReason: FinishReason };

/** Anything that holds memory inside the engine. */
export interface EngineHolding {
  attemptId: string;
  phase: 'prefill' | 'export' | 'import' | 'decode';
  heldKvBytes: number;
}

/** Lags behind the truth by `ageMs`. */
export interface EngineLoad {
  role: WorkerRole;
  capacityKvBytes: number;
  kvBytesPerToken: number;
  heldKvBytes: number;
  runningCount: number;
  /** Upper bound of requests in the running batch. */
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
  /** Drops the exported KV cache; idempotent. */
  exportKv(exportId: string, action: 'keep' | 'drop'): ResultAsync<void, EngineError>;
  /** Pulls KV cache from another engine; `onProgress` is called as it goes. */
  importKv(
    input: ImportInput,
    onProgress: (progress: ImportProgress) => void,
    signal?: AbortSignal,
  ): ResultAsync<ImportProgress, EngineError>;
  /** Iteration ends early, without an `end` chunk, where the engine died. */
  decode(
    input: DecodeInput,
    signal?: AbortSignal,
  ): ResultAsync<AsyncIterable<EngineChunk>, EngineError>;
  resume(
    input: ResumeInput,
    signal?: AbortSignal,
  ): ResultAsync<AsyncIterable<EngineChunk>, EngineError>;
  /** Frees all that the attempt holds; idempotent. */
  cancel(attemptId: string): ResultAsync<void, EngineError>;
  streams(): ResultAsync<EngineHolding[], EngineError>;
  load(): ResultAsync<EngineLoad, EngineError>;
  /** Late and with gaps: a jump of `sequence` means lost events. */
  cacheEvents(sinceSequence: number): ResultAsync<CacheEvent[], EngineError>;
  order(order: EngineOrder, fencingNumber: number): ResultAsync<void, EngineError>;
}
