/**
 * Releases leases. Work that may still run in the engine is cancelled repeatedly until the engine no longer
 * lists it; only then does its memory count as free. Memory that the engine holds for attempts unknown to
 * this process, as after a restart, is added to the lease table and cancelled the same way.
 */
import type { LeaseTable } from '@bluebellhitch/decisions';
import type { EngineApi } from '@bluebellhitch/engine';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { withTimeout } from './withTimeout';

export type ReleaseEngine = Pick<EngineApi, 'cancel' | 'streams' | 'exportKv'>;

export interface LeaseReleaserOptions {
  table: LeaseTable;
  /** Absent for plain services, where aborting a call frees its slot. */
  engine?: ReleaseEngine;
  /** Called once for each ended lease. */
  onEnded: (attemptId: string) => void;
  /** Called on the first failed cancellation of each lease. */
  onCancelFailed?: (attemptId: string, detail: string) => void;
  /** Timeout of one engine call; short, so that a call whose response was lost is retried soon. */
  callTimeoutMs?: number;
  retryMs?: number;
  maxRetryMs?: number;
  /** Delay before adopted memory is cancelled, since work such as a running export may end by itself. */
  adoptionGraceMs?: number;
}

export interface LeaseReleaser {
  /** Registers the callback that stops the task of a lease. */
  registerTask(attemptId: string, stop: () => void): void;
  /** Registers the export to drop when the lease ends. */
  registerExport(attemptId: string, exportId: string): void;
  /**
   * Ends the lease of work that completed and for which the engine holds nothing. No effect on a lease that
   * is being released: that one ends when the engine no longer lists it.
   */
  finish(attemptId: string): void;
  /** Waits for the engine to drop the work's result by itself, and releases it if still listed after `timeoutMs`. */
  finishOnceReleased(attemptId: string, timeoutMs: number): Promise<void>;
  /** Stops the work and frees its memory: the caller or entry disconnected, or it is unknown whether the work ended. */
  release(attemptId: string): void;
  /** Compares the engine's list with the lease table; false if the engine did not respond. */
  reconcile(): Promise<boolean>;
  close(): void;
}

const defaults = { callTimeoutMs: 300, retryMs: 50, maxRetryMs: 400, adoptionGraceMs: 300 };

export function createLeaseReleaser(options: LeaseReleaserOptions): LeaseReleaser {
  const { table, engine, onEnded, onCancelFailed = () => undefined } = options;
  const limits = { ...defaults, ...options };
  const stopCallbacks = new Map<string, () => void>();
  const exportIds = new Map<string, string>();
  const closing = new AbortController();
  /** Unknown attempts seen by the last reconciliation; undefined before the first. */
  let previousUnknownIds: Set<string> | undefined;

  function endLease(attemptId: string): void {
    stopCallbacks.delete(attemptId);
    exportIds.delete(attemptId);
    if (table.end(attemptId)) {
      onEnded(attemptId);
    }
  }

  function finish(attemptId: string): void {
    if (table.get(attemptId)?.state !== 'releasing') {
      endLease(attemptId);
    }
  }

  function release(attemptId: string): void {
    const lease = table.get(attemptId);
    if (lease === undefined || !table.startRelease(attemptId)) {
      return;
    }
    table.expectRelease(attemptId, monotonicNowMs());
    const isInEngine = stopCallbacks.has(attemptId) && lease.purpose !== 'plain';
    stopCallbacks.get(attemptId)?.();
    if (isInEngine && engine !== undefined) {
      void cancelUntilReleased(engine, attemptId);
    } else {
      endLease(attemptId);
    }
  }

  /**
   * A cancellation whose response was lost may or may not have taken effect, and one that overtook its own
   * decode call found nothing to cancel. In both cases the engine's list shows whether it has to be repeated.
   */
  async function cancelUntilReleased(target: ReleaseEngine, attemptId: string): Promise<void> {
    let { retryMs } = limits;
    // Reported once: a dead engine refuses every retry, several per second.
    let onFailed = onCancelFailed;
    while (!closing.signal.aborted) {
      if (await cancelOnce(target, attemptId, onFailed)) {
        endLease(attemptId);
        return;
      }
      onFailed = () => undefined;
      await delay(retryMs, closing.signal);
      retryMs = Math.min(retryMs * 2, limits.maxRetryMs);
    }
  }

  async function finishOnceReleased(attemptId: string, timeoutMs: number): Promise<void> {
    const deadlineAtMs = monotonicNowMs() + timeoutMs;
    while (engine !== undefined && monotonicNowMs() < deadlineAtMs && !closing.signal.aborted) {
      if (await isReleasedByEngine(engine, attemptId)) {
        finish(attemptId);
        return;
      }
      await delay(limits.retryMs, closing.signal);
    }
    release(attemptId);
  }

  async function isReleasedByEngine(target: ReleaseEngine, attemptId: string): Promise<boolean> {
    const holdings = await withTimeout(target.streams(), limits.callTimeoutMs);
    return holdings.isOk() && holdings.value.every((holding) => holding.attemptId !== attemptId);
  }

  async function cancelOnce(
    target: ReleaseEngine,
    attemptId: string,
    onFailed: (attemptId: string, detail: string) => void,
  ): Promise<boolean> {
    const exportId = exportIds.get(attemptId);
    if (exportId !== undefined) {
      await withTimeout(target.exportKv(exportId, 'drop'), limits.callTimeoutMs);
    }
    const cancelled = await withTimeout(target.cancel(attemptId), limits.callTimeoutMs);
    if (cancelled.isErr()) {
      onFailed(attemptId, cancelled.error.kind);
    }
    return isReleasedByEngine(target, attemptId);
  }

  async function reconcile(): Promise<boolean> {
    if (engine === undefined) {
      return true;
    }
    const holdings = await withTimeout(engine.streams(), limits.callTimeoutMs);
    if (holdings.isErr()) {
      return false;
    }
    const unknown = holdings.value.filter(({ attemptId }) => table.get(attemptId) === undefined);
    const before = previousUnknownIds;
    // A stream that ends while the response is in transit looks unknown once, so an attempt is adopted when
    // two lists in a row have it. The first list after a start cannot have such an attempt.
    const toAdopt = unknown.filter(({ attemptId }) => before?.has(attemptId) ?? true);
    toAdopt.forEach(({ attemptId, heldKvBytes }) => adopt(engine, attemptId, heldKvBytes));
    previousUnknownIds = new Set(unknown.map(({ attemptId }) => attemptId));
    return true;
  }

  function adopt(target: ReleaseEngine, attemptId: string, heldKvBytes: number): void {
    if (table.get(attemptId) !== undefined) {
      return;
    }
    table.adopt(attemptId, heldKvBytes, monotonicNowMs());
    void delay(limits.adoptionGraceMs, closing.signal).then(() =>
      cancelUntilReleased(target, attemptId),
    );
  }

  return {
    finish,
    finishOnceReleased,
    release,
    reconcile,
    registerTask: (attemptId, stop) => {
      stopCallbacks.set(attemptId, stop);
    },
    registerExport: (attemptId, exportId) => {
      exportIds.set(attemptId, exportId);
    },
    close: () => closing.abort(),
  };
}
