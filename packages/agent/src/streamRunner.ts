/**
 * Runs one model response: waits for the promised memory, imports the prompt's KV cache into the engine if
 * it comes from a prefill worker, and forwards the engine's chunks as frames. The lease ends with a complete
 * response; otherwise it is released.
 */
import type { LeaseTable, PrefillBacklog } from '@bluebellhitch/decisions';
import type { EngineApi, EngineChunk, EngineError } from '@bluebellhitch/engine';
import {
  agentRefusalReasons,
  estimateTokens,
  type LoadHint,
  type StreamRequest,
} from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Result } from 'neverthrow';
import type { Admission } from './admission';
import type { AgentObserver } from './agentObserver';
import type { AttemptRecord } from './attemptRecord';
import { forwardChunks, type ForwardOutcome, type FrameSink } from './chunkForwarder';
import type { KvImporter } from './kvImporter';
import type { LeaseReleaser } from './leaseReleaser';
import type { ReservationDetails } from './reservations';
import type { StallLimits } from './stallWatch';
import {
  cancelledBeforeDecode,
  failedFrame,
  interrupted,
  memoryNotFree,
  repeatedAttempt,
  startFailed,
  transferFailed,
  type StreamFailure,
} from './streamFailure';
import type { WorkEstimates, WorkShape } from './workEstimates';

export interface StreamRunnerOptions extends Partial<StallLimits> {
  engine: Pick<EngineApi, 'decode' | 'resume'>;
  table: LeaseTable;
  releaser: LeaseReleaser;
  admission: Admission;
  importer: KvImporter;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  observer: AgentObserver;
  load: () => LoadHint;
  getDetails: (attemptId: string) => ReservationDetails | undefined;
  backlog: PrefillBacklog;
  /** Estimated prompt tokens that the engine has to compute. */
  uncachedTokens: (prompt: string) => number;
  /** Longest predicted delay of the first token past its target for which a local prefill is still started. */
  maxLatenessMs?: number;
  /** Timeout for promised memory that is not free yet. */
  memoryTimeoutMs?: number;
}

export interface StreamRunner {
  /** Resolves when the response has ended. `signal` aborts when the receiver disconnects. */
  run(request: StreamRequest, sink: FrameSink, signal: AbortSignal): Promise<void>;
}

const defaults = {
  maxLatenessMs: 2000,
  memoryTimeoutMs: 1000,
  firstChunkStallMs: 30_000,
  chunkStallMs: 5000,
  receiverStallMs: 10_000,
};
/** Tokens between two predictions of a stream's remaining time. */
const forecastIntervalTokens = 16;

export function createStreamRunner(options: StreamRunnerOptions): StreamRunner {
  const { engine, table, releaser, admission, importer, attempts, estimates, observer, backlog } =
    options;
  const limits = { ...defaults, ...options };

  async function run(request: StreamRequest, sink: FrameSink, signal: AbortSignal): Promise<void> {
    const refusal = checkAttempt(request) ?? (await waitForMemory(request, signal));
    // Another request of the same attempt may have passed the first check during the wait.
    const failure =
      refusal ??
      (attempts.tryStart(request.attemptId)
        ? await runStarted(request, sink, signal)
        : repeatedAttempt);
    if (failure !== undefined && !signal.aborted) {
      observer.onRefused(failure.reason);
      await sink(failedFrame(request.attemptId, failure));
    }
  }

  function checkAttempt(request: StreamRequest): StreamFailure | undefined {
    const phase = attempts.getPhase(request.attemptId);
    if (phase === 'started' || phase === 'ended') {
      return repeatedAttempt;
    }
    if (phase === 'cancelled') {
      return cancelledBeforeDecode;
    }
    const lease = table.get(request.attemptId);
    if (lease === undefined || lease.owner?.entryId !== request.entryId) {
      // An attempt that this process does not know may have been run by an earlier incarnation.
      const notRun = phase === 'reserved' ? true : 'unknown';
      return { reason: agentRefusalReasons.unknownLease, notRun, detail: 'no lease' };
    }
    return lease.purpose === 'decode'
      ? undefined
      : { reason: agentRefusalReasons.wrongRole, notRun: true, detail: 'not a decode lease' };
  }

  async function waitForMemory(
    { attemptId }: StreamRequest,
    signal: AbortSignal,
  ): Promise<StreamFailure | undefined> {
    if (await admission.waitUntilHeld(attemptId, limits.memoryTimeoutMs, signal)) {
      return undefined;
    }
    releaser.release(attemptId);
    return attempts.getPhase(attemptId) === 'cancelled'
      ? cancelledBeforeDecode
      : memoryNotFree(options.load().queueWaitMs);
  }

  async function runStarted(
    request: StreamRequest,
    sink: FrameSink,
    signal: AbortSignal,
  ): Promise<StreamFailure | undefined> {
    const { attemptId } = request;
    const task = new AbortController();
    const onAbort = () => releaser.release(attemptId);
    releaser.registerTask(attemptId, () => task.abort());
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) {
      onAbort();
    }
    const failure = await runAttempt(request, sink, task);
    signal.removeEventListener('abort', onAbort);
    attempts.noteEnded(attemptId);
    return failure;
  }

  async function runAttempt(
    request: StreamRequest,
    sink: FrameSink,
    task: AbortController,
  ): Promise<StreamFailure | undefined> {
    const { attemptId } = request;
    const imported = await importPromptKv(request, task.signal);
    if (typeof imported !== 'boolean') {
      releaser.release(attemptId);
      return imported;
    }
    if (!table.advance(attemptId, 'streaming', predictReleaseAtMs(request, 0))) {
      return cancelledBeforeDecode;
    }
    if (!imported) {
      backlog.begin(attemptId, options.uncachedTokens(request.prompt), monotonicNowMs());
    }
    const opened = await openDecode(request, imported, task.signal);
    if (opened.isErr()) {
      backlog.drop(attemptId);
      const wasCancelled = isReleasing(attemptId);
      releaser.release(attemptId);
      return startFailed(opened.error, wasCancelled);
    }
    const outcome = await forward(request, opened.value, sink, task);
    backlog.drop(attemptId);
    return finishStream(request, outcome, sink);
  }

  /** Resolves to whether KV cache was imported, or to the failure that ends the attempt. */
  async function importPromptKv(
    request: StreamRequest,
    signal: AbortSignal,
  ): Promise<boolean | StreamFailure> {
    const { attemptId, source, emitted } = request;
    if (source.kind === 'local' || emitted.tokenCount > 0) {
      return false;
    }
    table.advance(attemptId, 'importing', predictReleaseAtMs(request, 0));
    const outcome = await importer.run(attemptId, source, signal);
    switch (outcome.kind) {
      case 'imported':
        observer.onTransfer(attemptId, outcome.durationMs);
        return true;
      case 'aborted':
        return cancelledBeforeDecode;
      default:
        observer.onTransferFailed(attemptId, outcome.cause);
        return canPrefillLocally(request) ? false : transferFailed(outcome.cause);
    }
  }

  function canPrefillLocally({ attemptId, prompt }: StreamRequest): boolean {
    const prefillMs = estimateTokens(prompt) * estimates.prefillMsPerToken();
    const deadlineAtMs = options.getDetails(attemptId)?.deadlineAtMs ?? Infinity;
    return monotonicNowMs() + prefillMs <= deadlineAtMs + limits.maxLatenessMs;
  }

  function openDecode(
    request: StreamRequest,
    imported: boolean,
    signal: AbortSignal,
  ): PromiseLike<Result<AsyncIterable<EngineChunk>, EngineError>> {
    const { attemptId, model, prompt, maxOutputTokens, priority, emitted } = request;
    const input = { attemptId, model, prompt, maxOutputTokens, priority };
    return emitted.tokenCount > 0
      ? engine.resume({ ...input, emitted }, signal)
      : engine.decode({ ...input, imported }, signal);
  }

  function forward(
    request: StreamRequest,
    chunks: AsyncIterable<EngineChunk>,
    sink: FrameSink,
    task: AbortController,
  ): Promise<ForwardOutcome> {
    return forwardChunks({
      request,
      chunks,
      sink,
      limits,
      onStall: () => task.abort(),
      onToken: (emittedTokens, gapMs) => observeToken(request, emittedTokens, gapMs),
      onDropped: observer.onDroppedChunk,
    });
  }

  function observeToken(
    request: StreamRequest,
    emittedTokens: number,
    gapMs: number | undefined,
  ): void {
    backlog.finish(request.attemptId, monotonicNowMs());
    if (gapMs !== undefined) {
      estimates.observeStep(gapMs);
      observer.onTokenGap(request.attemptId, gapMs);
    }
    if (emittedTokens % forecastIntervalTokens === 0) {
      table.expectRelease(request.attemptId, predictReleaseAtMs(request, emittedTokens));
    }
  }

  async function finishStream(
    request: StreamRequest,
    outcome: ForwardOutcome,
    sink: FrameSink,
  ): Promise<StreamFailure | undefined> {
    const { attemptId } = request;
    if (outcome.kind === 'interrupted') {
      const wasCancelled = isReleasing(attemptId);
      releaser.release(attemptId);
      const { stalledSide, truncationCause, emittedTokens } = outcome;
      return interrupted({
        hasOutput: emittedTokens > 0,
        wasCancelled,
        stalledSide,
        truncationCause,
      });
    }
    if (request.emitted.tokenCount === 0) {
      estimates.observeOutput(resolveWorkShape(request), outcome.emittedTokens);
    }
    releaser.finish(attemptId);
    const { totalTokens, finishReason } = outcome;
    await sink({ kind: 'end', attemptId, offset: totalTokens, finishReason, load: options.load() });
    return undefined;
  }

  function isReleasing(attemptId: string): boolean {
    return table.get(attemptId)?.state === 'releasing';
  }

  function resolveWorkShape({ attemptId, prompt, maxOutputTokens }: StreamRequest): WorkShape {
    const shape = options.getDetails(attemptId)?.shape;
    return shape ?? { className: '', promptTokens: estimateTokens(prompt), maxOutputTokens };
  }

  function predictReleaseAtMs(request: StreamRequest, emittedTokens: number): number {
    return monotonicNowMs() + estimates.decodeHoldMs(resolveWorkShape(request), emittedTokens);
  }

  return { run };
}
