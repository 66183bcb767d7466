/** An in-process engine with injectable faults. Work holds memory until it ends or is cancelled. */
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import type {
  CacheEvent,
  DecodeInput,
  EngineApi,
  EngineChunk,
  EngineError,
  EngineHolding,
  ImportInput,
  ImportProgress,
  PrefillResult,
} from '@bluebellhitch/engine';
import type { EngineOrder, WorkerRole } from '@bluebellhitch/protocol';
import { delay } from '@bluebellhitch/shared';

export type CancelFault = 'none' | 'fails' | 'answer-lost' | 'hangs';

export interface FakeEngineOptions {
  role?: WorkerRole;
  capacityKvBytes?: number;
  slotCount?: number;
  stepMs?: number;
  prefillMs?: number;
  importMs?: number;
  keptForMs?: number;
}

export interface FakeEngine extends EngineApi {
  holdings: Map<string, EngineHolding>;
  /** Calls in order, such as `decode a`. */
  calls: string[];
  orders: { order: EngineOrder; fencingNumber: number }[];
  cacheEventList: CacheEvent[];
  faults: {
    cancel: CancelFault;
    imports: ('stalls' | 'gone' | 'none')[];
    down: boolean;
    /** Exports are kept after they expire, as while a transfer reads them. */
    keepsExports: boolean;
    /** Chunks to send in place of the regular ones. */
    chunks?: Iterable<EngineChunk>;
    decodeError?: EngineError;
    orderMs: number;
  };
  heldKvBytes(): number;
  /** Ends all streams without their end marker and frees all memory. */
  crash(): void;
}

const aborted: EngineError = { kind: 'failed', detail: 'aborted' };
const down: EngineError = { kind: 'not-started', detail: 'connection refused' };

export function createFakeEngine(options: FakeEngineOptions = {}): FakeEngine {
  const { role = 'both', capacityKvBytes = 1000, slotCount = 20, stepMs = 10 } = options;
  const { prefillMs = 100, importMs = 50, keptForMs = 800 } = options;
  const holdings = new Map<string, EngineHolding>();
  const calls: string[] = [];
  const orders: FakeEngine['orders'] = [];
  const cacheEventList: CacheEvent[] = [];
  const faults: FakeEngine['faults'] = {
    cancel: 'none',
    imports: [],
    down: false,
    keepsExports: false,
    orderMs: 0,
  };
  let crashController = new AbortController();

  const fromPromise = <Value>(promise: Promise<Value>) =>
    ResultAsync.fromSafePromise<Value, EngineError>(promise);

  function hold(attemptId: string, phase: EngineHolding['phase'], heldKvBytes: number): void {
    holdings.set(attemptId, { attemptId, phase, heldKvBytes });
  }

  async function* generate(
    input: Omit<DecodeInput, 'imported'>,
    firstOffset: number,
    signal?: AbortSignal,
  ): AsyncGenerator<EngineChunk> {
    const { attemptId, maxOutputTokens } = input;
    const endOffset = firstOffset + maxOutputTokens;
    const endSignal = AbortSignal.any([
      crashController.signal,
      ...(signal === undefined ? [] : [signal]),
    ]);
    if (faults.chunks !== undefined) {
      yield* faults.chunks;
    }
    for (let offset = firstOffset; offset < endOffset; offset += 1) {
      await delay(stepMs, endSignal);
      if (endSignal.aborted || !holdings.has(attemptId)) {
        return;
      }
      yield { kind: 'token', attemptId, offset, text: ` t${offset}` };
    }
    holdings.delete(attemptId);
    yield { kind: 'end', attemptId, offset: endOffset, finishReason: 'length' };
  }

  function decodeFrom(
    input: Omit<DecodeInput, 'imported'>,
    firstOffset: number,
    signal?: AbortSignal,
  ): ResultAsync<AsyncIterable<EngineChunk>, EngineError> {
    calls.push(`decode ${input.attemptId}`);
    if (faults.down || faults.decodeError !== undefined) {
      return errAsync(faults.decodeError ?? down);
    }
    hold(input.attemptId, 'decode', input.prompt.length / 4 + input.maxOutputTokens);
    return okAsync(generate(input, firstOffset, signal));
  }

  async function runImport(
    { attemptId }: ImportInput,
    onProgress: (progress: ImportProgress) => void,
    signal?: AbortSignal,
  ) {
    const fault = faults.imports.shift() ?? 'none';
    hold(attemptId, 'import', 100);
    onProgress({ receivedBytes: 50, totalBytes: 100, done: false });
    if (fault === 'gone') {
      return err<ImportProgress, EngineError>({ kind: 'gone', detail: 'expired' });
    }
    await delay(fault === 'stalls' ? 60_000 : importMs, signal);
    if (signal?.aborted) {
      return err<ImportProgress, EngineError>(aborted);
    }
    return ok<ImportProgress, EngineError>({ receivedBytes: 100, totalBytes: 100, done: true });
  }

  function cancel(attemptId: string): ResultAsync<void, EngineError> {
    calls.push(`cancel ${attemptId}`);
    if (faults.cancel === 'none' || faults.cancel === 'answer-lost') {
      holdings.delete(attemptId);
    }
    switch (faults.cancel) {
      case 'none':
        return okAsync(undefined);
      case 'fails':
        return errAsync({ kind: 'failed', detail: 'cannot cancel' });
      default:
        return fromPromise(delay(60_000));
    }
  }

  async function runPrefill(attemptId: string, promptTokens: number, signal?: AbortSignal) {
    await delay(prefillMs, signal);
    if (signal?.aborted) {
      return err<PrefillResult, EngineError>(aborted);
    }
    hold(attemptId, 'export', promptTokens);
    setTimeout(() => faults.keepsExports || holdings.delete(attemptId), keptForMs);
    const exportId = `export-${attemptId}`;
    const result = { exportId, promptTokens, cachedTokens: 0, kvBytes: promptTokens, keptForMs };
    return ok<PrefillResult, EngineError>(result);
  }

  return {
    holdings,
    calls,
    orders,
    cacheEventList,
    faults,
    cancel,
    heldKvBytes: () =>
      [...holdings.values()].reduce((total, { heldKvBytes }) => total + heldKvBytes, 0),
    crash: () => {
      crashController.abort();
      crashController = new AbortController();
      holdings.clear();
    },
    prefill: ({ attemptId, prompt }, signal) => {
      calls.push(`prefill ${attemptId}`);
      hold(attemptId, 'prefill', prompt.length / 4);
      return new ResultAsync(runPrefill(attemptId, prompt.length / 4, signal));
    },
    exportKv: (exportId) => {
      calls.push(`drop ${exportId}`);
      return okAsync(undefined);
    },
    importKv: (input, onProgress, signal) => {
      calls.push(`import ${input.attemptId}`);
      return new ResultAsync(runImport(input, onProgress, signal));
    },
    decode: (input, signal) => decodeFrom(input, 0, signal),
    resume: (input, signal) => decodeFrom(input, input.emitted.tokenCount, signal),
    streams: () => (faults.down ? errAsync(down) : okAsync([...holdings.values()])),
    load: () =>
      faults.down
        ? errAsync(down)
        : okAsync({
            role,
            capacityKvBytes,
            kvBytesPerToken: 1,
            heldKvBytes: 0,
            runningCount: holdings.size,
            slotCount,
            stepMs,
            ageMs: 0,
            models: [{ model: 'draft-models', version: '1' }],
            adapters: [],
          }),
    cacheEvents: (since) => okAsync(cacheEventList.filter(({ sequence }) => sequence > since)),
    order: (order, fencingNumber) =>
      fromPromise(
        delay(faults.orderMs).then(() => {
          orders.push({ order, fencingNumber });
        }),
      ),
  };
}
