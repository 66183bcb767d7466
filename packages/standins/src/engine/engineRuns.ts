/** Prefills and decodes of the stand-in engine, from acceptance to completion or cancellation. */
import { err, ok, type Result } from 'neverthrow';
import type {
  DecodeInput,
  EngineChunk,
  EngineError,
  EngineHolding,
  PrefillInput,
  PrefillResult,
  ResumeInput,
} from '@bluebellhitch/engine';
import { blockTokens, estimateTokens, prefixBlockHashes } from '@bluebellhitch/protocol';
import type { BatchScheduler, Sequence } from './batchScheduler';
import { createChunkQueue } from './chunkQueue';
import type { EngineSettings } from './engineOptions';
import type { StatsRecorder } from './engineStats';
import type { ExportStore } from './exportStore';
import type { KvImports } from './kvImports';
import type { KvLedger } from './kvLedger';
import type { PrefixCache } from './prefixCache';
import { expectedOutput } from './tokenOutput';

export interface EngineRunsOptions {
  settings: EngineSettings;
  scheduler: BatchScheduler;
  ledger: KvLedger;
  cache: PrefixCache;
  exports: ExportStore;
  imports: KvImports;
  stats: StatsRecorder;
  /** Called before a prompt runs; may stop the engine. */
  onRun: (prompt: string) => void;
  onChange: () => void;
}

export interface EngineRuns {
  prefill(input: PrefillInput, signal?: AbortSignal): Promise<Result<PrefillResult, EngineError>>;
  decode(input: DecodeInput, signal?: AbortSignal): Result<AsyncIterable<EngineChunk>, EngineError>;
  resume(input: ResumeInput, signal?: AbortSignal): Result<AsyncIterable<EngineChunk>, EngineError>;
  cancel(attemptId: string): void;
  /** Ends all streams, without an end marker, and fails all prefills with `error`. */
  endAll(error: EngineError): void;
  holdings(): EngineHolding[];
}

interface Run {
  sequence: Sequence;
  /** Prompt tokens that this run computed and whose result has not been used yet. */
  unusedTokens: number;
  /** Ends the response early. */
  abort: (error: EngineError) => void;
}

interface DecodeStart {
  input: Omit<DecodeInput, 'imported'>;
  imported: boolean;
  emittedTokens: number;
}

const abortedByCallerError: EngineError = { kind: 'failed', detail: 'aborted by the caller' };

export function createEngineRuns(options: EngineRunsOptions): EngineRuns {
  const { settings, scheduler, ledger, cache, exports, imports, stats } = options;
  const runs = new Map<string, Run>();
  let exportCount = 0;

  function newSequence(
    kind: Sequence['kind'],
    input: { attemptId: string; prompt: string; priority: number },
  ): Sequence {
    const blocks = prefixBlockHashes(input.prompt);
    const sequence: Sequence = {
      attemptId: input.attemptId,
      kind,
      priority: input.priority,
      prompt: input.prompt,
      promptTokens: Math.max(estimateTokens(input.prompt), 1),
      heldKvBytes: 0,
      contextReady: false,
      offset: 0,
      endOffset: 0,
      onStart: (contextTokens) => startSequence(sequence, blocks, contextTokens),
      onPrefillTokens: (tokenCount) => {
        stats.add('prefillTokens', tokenCount);
        const run = runs.get(runKey(kind, input.attemptId));
        if (run !== undefined) {
          run.unusedTokens += tokenCount;
        }
      },
      onContextReady: () => cache.store(blocks),
      onToken: () => undefined,
      onFinished: () => undefined,
      onPreempted: () => stats.add('preemptions'),
    };
    return sequence;
  }

  function startSequence(sequence: Sequence, blocks: string[], contextTokens: number): number {
    stats.recordRun(sequence.kind, sequence.attemptId, sequence.prompt);
    options.onRun(sequence.prompt);
    if (sequence.contextReady) {
      cache.store(blocks);
      return 0;
    }
    const matchedTokens = cache.matchedBlocks(blocks) * blockTokens;
    return Math.max(contextTokens - matchedTokens, 1);
  }

  function findRefusal(
    kind: Sequence['kind'],
    attemptId: string,
    prompt: string,
  ): EngineError | undefined {
    if (runs.has(runKey(kind, attemptId))) {
      return { kind: 'failed', detail: `attempt ${attemptId} already runs` };
    }
    if (scheduler.waiting().length >= settings.queueLimit) {
      return { kind: 'not-started', detail: 'the queue is full' };
    }
    const contextBytes = estimateTokens(prompt) * settings.kvBytesPerToken;
    if (contextBytes > ledger.capacityBytes) {
      return { kind: 'out-of-memory', detail: `the prompt needs ${contextBytes} bytes` };
    }
    return undefined;
  }

  function finishPrefill(sequence: Sequence, cachedTokens: number): PrefillResult {
    const key = runKey('prefill', sequence.attemptId);
    const computedTokens = runs.get(key)?.unusedTokens ?? 0;
    runs.delete(key);
    exportCount += 1;
    const exportId = `export-${exportCount}`;
    const { attemptId, promptTokens, heldKvBytes: kvBytes } = sequence;
    exports.add({ exportId, attemptId, kvBytes, promptTokens, computedTokens });
    return { exportId, promptTokens, cachedTokens, kvBytes, keptForMs: settings.exportKeptForMs };
  }

  function prefill(
    input: PrefillInput,
    signal?: AbortSignal,
  ): Promise<Result<PrefillResult, EngineError>> {
    const refused = findRefusal('prefill', input.attemptId, input.prompt);
    if (refused !== undefined) {
      return Promise.resolve(err(refused));
    }
    const sequence = newSequence('prefill', input);
    return new Promise((resolve) => {
      const abort = (error: EngineError) => resolve(err(error));
      const { onStart, onContextReady } = sequence;
      let cachedTokens = 0;
      sequence.onStart = (contextTokens) => {
        const computedTokens = onStart(contextTokens);
        cachedTokens = contextTokens - computedTokens;
        return computedTokens;
      };
      sequence.onContextReady = () => {
        onContextReady();
        resolve(ok(finishPrefill(sequence, cachedTokens)));
      };
      submit({ sequence, unusedTokens: 0, abort }, signal);
    });
  }

  function submit(run: Run, signal?: AbortSignal): void {
    const key = runKey(run.sequence.kind, run.sequence.attemptId);
    runs.set(key, run);
    signal?.addEventListener('abort', () => {
      run.abort(abortedByCallerError);
      if (settings.cancelOnDisconnect && runs.get(key) === run) {
        cancelRun(key);
      }
    });
    scheduler.submit(run.sequence);
    options.onChange();
  }

  function startDecode(
    { input, imported, emittedTokens }: DecodeStart,
    signal?: AbortSignal,
  ): Result<AsyncIterable<EngineChunk>, EngineError> {
    const { attemptId } = input;
    const refused = findRefusal('decode', attemptId, input.prompt);
    if (refused !== undefined) {
      return err(refused);
    }
    const claimed = imported ? imports.claim(attemptId) : undefined;
    if (imported && claimed === undefined) {
      return err({ kind: 'gone', detail: `no finished import for attempt ${attemptId}` });
    }
    const output = expectedOutput(input.prompt, input.model, emittedTokens + input.maxOutputTokens);
    const chunks = createChunkQueue<EngineChunk>();
    const sequence = newSequence('decode', input);
    const run: Run = { sequence, unusedTokens: 0, abort: () => chunks.end() };
    sequence.heldKvBytes = claimed?.heldKvBytes ?? 0;
    sequence.contextReady = claimed !== undefined;
    sequence.offset = emittedTokens;
    sequence.endOffset = output.tokenCount;
    sequence.onToken = (offset) => {
      run.unusedTokens = 0;
      chunks.push({ kind: 'token', attemptId, offset, text: output.tokenText(offset) });
    };
    sequence.onFinished = () => {
      const { finishReason, tokenCount: offset } = output;
      chunks.push({ kind: 'end', attemptId, offset, finishReason });
      chunks.end();
      finishDecode(sequence);
    };
    submit(run, signal);
    return ok(chunks);
  }

  function finishDecode(sequence: Sequence): void {
    runs.delete(runKey('decode', sequence.attemptId));
    stats.add('completedDecodes');
    ledger.free(sequence.heldKvBytes);
    options.onChange();
  }

  function cancelRun(
    key: string,
    error: EngineError = { kind: 'gone', detail: 'cancelled' },
  ): void {
    const run = runs.get(key);
    if (run === undefined) {
      return;
    }
    runs.delete(key);
    scheduler.remove(run.sequence);
    ledger.free(run.sequence.heldKvBytes);
    stats.add('wastedPrefillTokens', run.unusedTokens);
    if (run.sequence.kind === 'decode') {
      stats.add('cancelledDecodes');
    }
    run.abort(error);
    options.onChange();
  }

  return {
    prefill,
    decode: (input, signal) =>
      startDecode({ input, imported: input.imported, emittedTokens: 0 }, signal),
    resume: (input, signal) => {
      const { tokenCount: emittedTokens, text } = input.emitted;
      const output = expectedOutput(
        input.prompt,
        input.model,
        emittedTokens + input.maxOutputTokens,
      );
      if (emittedTokens > output.tokenCount || output.text(emittedTokens) !== text) {
        return err({ kind: 'failed', detail: 'the emitted text is not a prefix of the output' });
      }
      return startDecode({ input, imported: false, emittedTokens }, signal);
    },
    cancel: (attemptId) => {
      cancelRun(runKey('prefill', attemptId));
      cancelRun(runKey('decode', attemptId));
    },
    endAll: (error) => [...runs.keys()].forEach((key) => cancelRun(key, error)),
    holdings: () =>
      [...runs.values()].map(({ sequence: { attemptId, kind, heldKvBytes } }) => ({
        attemptId,
        phase: kind,
        heldKvBytes,
      })),
  };
}

function runKey(kind: Sequence['kind'], attemptId: string): string {
  return `${kind}:${attemptId}`;
}
