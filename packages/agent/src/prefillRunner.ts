/** Runs prefills and holds the leases of their exports until these are fetched or expire. */
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
import type { LeaseReleaser } from './leaseReleaser';
import type { WorkEstimates } from './workEstimates';

export interface PrefillRunnerOptions {
  engine: Pick<EngineApi, 'prefill' | 'exportKv'>;
  table: LeaseTable;
  releaser: LeaseReleaser;
  admission: Admission;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  observer: AgentObserver;
  load: () => LoadHint;
  /** Where decode engines fetch exports. */
  kvAddress: string;
  onCached: (blocks: readonly string[]) => void;
  backlog: PrefillBacklog;
  /** Estimated prompt tokens that the engine has to compute. */
  uncachedTokens: (prompt: string) => number;
  memoryTimeoutMs?: number;
}

export interface PrefillRunner {
  run(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply>;
}

const defaultMemoryTimeoutMs = 1000;
/** Time allowed for a transfer that began just before its export expired. */
const transferGraceMs = 2000;

export function createPrefillRunner(options: PrefillRunnerOptions): PrefillRunner {
  const { engine, table, releaser, admission, attempts, estimates, observer, backlog } = options;
  const { memoryTimeoutMs = defaultMemoryTimeoutMs } = options;

  function refuse(reason: AgentRefusalReason, notRun: NotRun, detail: string): PrefillReply {
    observer.onRefused(reason);
    return { kind: 'refused', reason, notRun, detail, load: options.load() };
  }

  async function run(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply> {
    const { attemptId } = request;
    if (attempts.getPhase(attemptId) === 'cancelled') {
      return refuse(agentRefusalReasons.cancelled, true, 'cancelled before');
    }
    if (table.get(attemptId)?.purpose !== 'prefill') {
      return refuse(agentRefusalReasons.unknownLease, 'unknown', 'no prefill lease');
    }
    if (!(await admission.waitUntilHeld(attemptId, memoryTimeoutMs, signal))) {
      releaser.release(attemptId);
      return refuse(agentRefusalReasons.noCapacity, true, 'the promised memory is not free');
    }
    if (!attempts.tryStart(attemptId)) {
      return refuse(agentRefusalReasons.unknownLease, false, 'started or cancelled before');
    }
    const task = new AbortController();
    const onAbort = () => releaser.release(attemptId);
    releaser.registerTask(attemptId, () => task.abort());
    signal?.addEventListener('abort', onAbort);
    if (signal?.aborted) {
      onAbort();
    }
    const reply = await prefill(request, task.signal);
    signal?.removeEventListener('abort', onAbort);
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
      return handleFailure(attemptId, result.error);
    }
    return completePrefill(request, result.value, monotonicNowMs() - startedAtMs);
  }

  function handleFailure(attemptId: string, error: EngineError): PrefillReply {
    const wasCancelled = table.get(attemptId)?.state === 'releasing';
    releaser.release(attemptId);
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

  function completePrefill(
    request: PrefillRequest,
    result: PrefillResult,
    prefillMs: number,
  ): PrefillReply {
    const { attemptId } = request;
    const { exportId, promptTokens, cachedTokens, kvBytes, keptForMs } = result;
    releaser.registerExport(attemptId, exportId);
    backlog.finish(attemptId, monotonicNowMs());
    estimates.observePrefill(promptTokens - cachedTokens, prefillMs);
    observer.onPrefilled(attemptId, promptTokens - cachedTokens, prefillMs);
    options.onCached(prefixBlockHashes(request.prompt));
    if (!table.advance(attemptId, 'exported', monotonicNowMs() + keptForMs)) {
      return refuse(agentRefusalReasons.cancelled, false, 'cancelled during the prefill');
    }
    setTimeout(() => expireExport(attemptId), keptForMs);
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

  /** The engine keeps an export while a transfer reads it, so the transfer is given time to end. */
  function expireExport(attemptId: string): void {
    if (table.get(attemptId)?.state === 'exported') {
      observer.onExportExpired(attemptId);
      void releaser.finishOnceReleased(attemptId, transferGraceMs);
    }
  }

  return { run };
}
