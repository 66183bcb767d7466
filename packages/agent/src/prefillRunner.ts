/** Runs prompts on a prefill worker, and keeps their exports until they are fetched or expire. */
import type { LeaseTable, PrefillBacklog } from '@bluebellhitch/decisions';
import type { EngineApi, EngineError, PrefillResult } from '@bluebellhitch/engine';
import {
  agentRefusalReasons,
  estimateTokens,
  prefixBlockHashes,
  type AgentRefusalReason,
  type LoadHint,
  type PrefillReply,
  type PrefillRequest,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, type NotRun } from '@bluebellhitch/shared';
import type { Admission } from './admission';
import type { AgentObserver } from './agentObserver';
import type { AttemptRecord } from './attemptRecord';
import type { LeaseKeeper } from './leaseKeeper';
import type { WorkEstimates } from './workEstimates';

export interface PrefillRunnerOptions {
  engine: Pick<EngineApi, 'prefill' | 'exportKv'>;
  table: LeaseTable;
  keeper: LeaseKeeper;
  admission: Admission;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  observer: AgentObserver;
  load: () => LoadHint;
  /** Where decode engines fetch exports. */
  kvAddress: string;
  onCached: (blocks: readonly string[]) => void;
  backlog: PrefillBacklog;
  /** Prompt tokens that the engine probably has to compute. */
  uncachedTokens: (prompt: string) => number;
  memoryWaitMs?: number;
}

export interface PrefillRunner {
  run(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply>;
}

const defaultMemoryWaitMs = 1000;
/** Bound of a transfer that began just before its export expired. */
const lateTransferMs = 2000;

export function createPrefillRunner(options: PrefillRunnerOptions): PrefillRunner {
  const { engine, table, keeper, admission, attempts, estimates, observer, backlog } = options;
  const { memoryWaitMs = defaultMemoryWaitMs } = options;

  function refuse(reason: AgentRefusalReason, notRun: NotRun, detail: string): PrefillReply {
    observer.onRefused(reason);
    return { kind: 'refused', reason, notRun, detail, load: options.load() };
  }

  async function run(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply> {
    const { attemptId } = request;
    if (attempts.phaseOf(attemptId) === 'cancelled') {
      return refuse(agentRefusalReasons.cancelled, true, 'cancelled before');
    }
    if (table.get(attemptId)?.purpose !== 'prefill') {
      return refuse(agentRefusalReasons.unknownLease, 'unknown', 'no prefill lease');
    }
    if (!(await admission.untilHeld(attemptId, memoryWaitMs, signal))) {
      keeper.giveUp(attemptId);
      return refuse(agentRefusalReasons.noCapacity, true, 'the promised memory is not free');
    }
    if (!attempts.start(attemptId)) {
      return refuse(agentRefusalReasons.unknownLease, false, 'started or cancelled before');
    }
    const task = new AbortController();
    const leave = () => keeper.giveUp(attemptId);
    keeper.attach(attemptId, () => task.abort());
    signal?.addEventListener('abort', leave);
    if (signal?.aborted) {
      leave();
    }
    const reply = await prefill(request, task.signal);
    signal?.removeEventListener('abort', leave);
    return reply;
  }

  async function prefill(request: PrefillRequest, signal: AbortSignal): Promise<PrefillReply> {
    const { attemptId } = request;
    const startedAtMs = monotonicNowMs();
    const releaseAtMs = startedAtMs + estimates.prefillHoldMs(estimateTokens(request.prompt));
    if (!table.advance(attemptId, 'prefill', releaseAtMs)) {
      return refuse(agentRefusalReasons.cancelled, true, 'cancelled before the prefill began');
    }
    backlog.begin(attemptId, options.uncachedTokens(request.prompt), startedAtMs);
    const result = await engine.prefill(request, signal);
    if (result.isErr()) {
      backlog.drop(attemptId);
      return failed(attemptId, result.error);
    }
    return keepExport(request, result.value, monotonicNowMs() - startedAtMs);
  }

  function failed(attemptId: string, error: EngineError): PrefillReply {
    const wasCancelled = table.get(attemptId)?.state === 'releasing';
    keeper.giveUp(attemptId);
    if (wasCancelled) {
      return refuse(agentRefusalReasons.cancelled, 'unknown', 'cancelled');
    }
    return error.kind === 'out-of-memory'
      ? refuse(agentRefusalReasons.noCapacity, true, 'the engine has no memory')
      : refuse(
          agentRefusalReasons.backendFailed,
          error.kind === 'not-started' ? true : 'unknown',
          `the prefill failed: ${error.kind}`,
        );
  }

  function keepExport(
    request: PrefillRequest,
    result: PrefillResult,
    prefillMs: number,
  ): PrefillReply {
    const { attemptId } = request;
    const { exportId, promptTokens, cachedTokens, kvBytes, keptForMs } = result;
    keeper.attachExport(attemptId, exportId);
    backlog.finish(attemptId, monotonicNowMs());
    estimates.observePrefill(promptTokens - cachedTokens, prefillMs);
    observer.onPrefilled(attemptId, promptTokens - cachedTokens, prefillMs);
    options.onCached(prefixBlockHashes(request.prompt));
    if (!table.advance(attemptId, 'exported', monotonicNowMs() + keptForMs)) {
      return refuse(agentRefusalReasons.cancelled, false, 'cancelled during the prefill');
    }
    setTimeout(() => expire(attemptId), keptForMs);
    return {
      kind: 'prefilled',
      exportId,
      kvAddress: options.kvAddress,
      kvBytes,
      promptTokens,
      cachedTokens,
      keptForMs,
      prefillMs,
      load: options.load(),
    };
  }

  /** A transfer that still reads the export keeps it for longer, and is left to end. */
  function expire(attemptId: string): void {
    if (table.get(attemptId)?.state === 'exported') {
      observer.onExportExpired(attemptId);
      void keeper.finishOnceGone(attemptId, lateTransferMs);
    }
  }

  return { run };
}
