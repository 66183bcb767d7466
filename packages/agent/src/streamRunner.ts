/**
 * Runs one model answer: waits for the promised memory, brings the prompt's KV cache into the engine,
 * and forwards the engine's chunks as frames. The lease ends with the answer, or is given up.
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
import type { LeaseKeeper } from './leaseKeeper';
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
  keeper: LeaseKeeper;
  admission: Admission;
  importer: KvImporter;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  observer: AgentObserver;
  load: () => LoadHint;
  detailsOf: (attemptId: string) => ReservationDetails | undefined;
  backlog: PrefillBacklog;
  /** Prompt tokens that the engine probably has to compute. */
  uncachedTokens: (prompt: string) => number;
  /** How late a first token may be before a local prefill is not worth its cost. */
  lateBudgetMs?: number;
  /** Bound of the wait for memory that was promised and is not free yet. */
  memoryWaitMs?: number;
}

export interface StreamRunner {
  /** Settles when the answer has ended. `signal` aborts when the receiver has gone. */
  run(request: StreamRequest, sink: FrameSink, signal: AbortSignal): Promise<void>;
}

const defaults = {
  lateBudgetMs: 2000,
  memoryWaitMs: 1000,
  firstChunkStallMs: 30_000,
  chunkStallMs: 5000,
  receiverStallMs: 10_000,
};
/** The remaining time of a stream is predicted anew after this many tokens. */
const forecastEveryTokens = 16;

export function createStreamRunner(options: StreamRunnerOptions): StreamRunner {
  const { engine, table, keeper, admission, importer, attempts, estimates, observer, backlog } =
    options;
  const limits = { ...defaults, ...options };

  async function run(request: StreamRequest, sink: FrameSink, signal: AbortSignal): Promise<void> {
    const refusal = refusalOf(request) ?? (await waitForMemory(request, signal));
    // The wait may have let a second request of the same attempt pass the first check.
    const failure =
      refusal ??
      (attempts.start(request.attemptId)
        ? await runStarted(request, sink, signal)
        : repeatedAttempt);
    if (failure !== undefined && !signal.aborted) {
      observer.onRefused(failure.reason);
      await sink(failedFrame(request.attemptId, failure));
    }
  }

  function refusalOf(request: StreamRequest): StreamFailure | undefined {
    const phase = attempts.phaseOf(request.attemptId);
    if (phase === 'started' || phase === 'ended') {
      return repeatedAttempt;
    }
    if (phase === 'cancelled') {
      return cancelledBeforeDecode;
    }
    const lease = table.get(request.attemptId);
    if (lease === undefined || lease.owner?.entryId !== request.entryId) {
      // An earlier incarnation of this process may have run an attempt that this one does not know.
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
    if (await admission.untilHeld(attemptId, limits.memoryWaitMs, signal)) {
      return undefined;
    }
    keeper.giveUp(attemptId);
    return attempts.phaseOf(attemptId) === 'cancelled'
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
    const leave = () => keeper.giveUp(attemptId);
    keeper.attach(attemptId, () => task.abort());
    signal.addEventListener('abort', leave);
    if (signal.aborted) {
      leave();
    }
    const failure = await answer(request, sink, task);
    signal.removeEventListener('abort', leave);
    attempts.ended(attemptId);
    return failure;
  }

  async function answer(
    request: StreamRequest,
    sink: FrameSink,
    task: AbortController,
  ): Promise<StreamFailure | undefined> {
    const { attemptId } = request;
    const imported = await bringKv(request, task.signal);
    if (typeof imported !== 'boolean') {
      keeper.giveUp(attemptId);
      return imported;
    }
    if (!table.advance(attemptId, 'streaming', expectedReleaseAtMs(request, 0))) {
      return cancelledBeforeDecode;
    }
    if (!imported) {
      backlog.begin(attemptId, options.uncachedTokens(request.prompt), monotonicNowMs());
    }
    const opened = await openDecode(request, imported, task.signal);
    if (opened.isErr()) {
      backlog.drop(attemptId);
      const wasCancelled = isGivenUp(attemptId);
      keeper.giveUp(attemptId);
      return startFailed(opened.error, wasCancelled);
    }
    const outcome = await forward(request, opened.value, sink, task);
    backlog.drop(attemptId);
    return settle(request, outcome, sink);
  }

  /** Whether KV cache was imported, or why the attempt ends. */
  async function bringKv(
    request: StreamRequest,
    signal: AbortSignal,
  ): Promise<boolean | StreamFailure> {
    const { attemptId, source, emitted } = request;
    if (source.kind === 'local' || emitted.tokenCount > 0) {
      return false;
    }
    table.advance(attemptId, 'importing', expectedReleaseAtMs(request, 0));
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
    const deadlineAtMs = options.detailsOf(attemptId)?.deadlineAtMs ?? Infinity;
    return monotonicNowMs() + prefillMs <= deadlineAtMs + limits.lateBudgetMs;
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
      onToken: (emittedTokens, gapMs) => meterToken(request, emittedTokens, gapMs),
      onDropped: observer.onDroppedChunk,
    });
  }

  function meterToken(
    request: StreamRequest,
    emittedTokens: number,
    gapMs: number | undefined,
  ): void {
    backlog.finish(request.attemptId, monotonicNowMs());
    if (gapMs !== undefined) {
      estimates.observeStep(gapMs);
      observer.onTokenGap(request.attemptId, gapMs);
    }
    if (emittedTokens % forecastEveryTokens === 0) {
      table.expectRelease(request.attemptId, expectedReleaseAtMs(request, emittedTokens));
    }
  }

  async function settle(
    request: StreamRequest,
    outcome: ForwardOutcome,
    sink: FrameSink,
  ): Promise<StreamFailure | undefined> {
    const { attemptId } = request;
    if (outcome.kind === 'interrupted') {
      const wasCancelled = isGivenUp(attemptId);
      keeper.giveUp(attemptId);
      const { stalledSide, breach, emittedTokens } = outcome;
      return interrupted({ hasOutput: emittedTokens > 0, wasCancelled, stalledSide, breach });
    }
    if (request.emitted.tokenCount === 0) {
      estimates.observeOutput(shapeOf(request), outcome.emittedTokens);
    }
    keeper.finish(attemptId);
    const { totalTokens, finishReason } = outcome;
    await sink({ kind: 'end', attemptId, offset: totalTokens, finishReason, load: options.load() });
    return undefined;
  }

  function isGivenUp(attemptId: string): boolean {
    return table.get(attemptId)?.state === 'releasing';
  }

  function shapeOf({ attemptId, prompt, maxOutputTokens }: StreamRequest): WorkShape {
    const shape = options.detailsOf(attemptId)?.shape;
    return shape ?? { className: '', promptTokens: estimateTokens(prompt), maxOutputTokens };
  }

  function expectedReleaseAtMs(request: StreamRequest, emittedTokens: number): number {
    return monotonicNowMs() + estimates.decodeHoldMs(shapeOf(request), emittedTokens);
  }

  return { run };
}
