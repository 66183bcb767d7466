/**
 * Ends leases. Work that may still run inside the engine is cancelled until the engine's own list
 * lacks it; only then its memory counts as free. Memory that the engine holds for attempts unknown
 * here, as after a restart of this process, is taken into the books and cancelled the same way.
 */
import type { LeaseTable } from '@bluebellhitch/decisions';
import type { EngineApi } from '@bluebellhitch/engine';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { withTimeout } from './withTimeout';

export type KeeperEngine = Pick<EngineApi, 'cancel' | 'streams' | 'exportKv'>;

export interface LeaseKeeperOptions {
  table: LeaseTable;
  /** Absent for plain services: aborting a call frees its slot. */
  engine?: KeeperEngine;
  /** Called once for each ended lease. */
  onEnded: (attemptId: string) => void;
  /** The first failure of each lease's cancellation. */
  onCancelFailed?: (attemptId: string, detail: string) => void;
  /** Bound of one call to the engine, so that a lost answer is soon tried again. */
  callTimeoutMs?: number;
  retryMs?: number;
  maxRetryMs?: number;
  /** How long found memory is left alone: work that ends by itself, such as a running export. */
  adoptionGraceMs?: number;
}

export interface LeaseKeeper {
  /** Registers how the task of a lease is told to stop. */
  attach(attemptId: string, stop: () => void): void;
  /** Registers the export to drop when the lease ends. */
  attachExport(attemptId: string, exportId: string): void;
  /**
   * The work ended by itself, and the engine holds nothing for it any more. No effect on a lease that
   * is being released, whose end the engine's list decides.
   */
  finish(attemptId: string): void;
  /** The engine drops the work's result by itself; given up only if it still lists it after `limitMs`. */
  finishOnceGone(attemptId: string, limitMs: number): Promise<void>;
  /** The lease is given up: caller gone, entry gone, or the work's end is uncertain. */
  giveUp(attemptId: string): void;
  /** Compares the engine's list with the books; false where the engine did not answer. */
  audit(): Promise<boolean>;
  close(): void;
}

const defaults = { callTimeoutMs: 300, retryMs: 50, maxRetryMs: 400, adoptionGraceMs: 300 };

export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { table, engine, onEnded, onCancelFailed = () => undefined } = options;
  const limits = { ...defaults, ...options };
  const stops = new Map<string, () => void>();
  const exportIds = new Map<string, string>();
  const closing = new AbortController();
  /** Unknown attempts of the last audit; undefined before the first. */
  let unknownBefore: Set<string> | undefined;

  function end(attemptId: string): void {
    stops.delete(attemptId);
    exportIds.delete(attemptId);
    if (table.end(attemptId)) {
      onEnded(attemptId);
    }
  }

  function finish(attemptId: string): void {
    if (table.get(attemptId)?.state !== 'releasing') {
      end(attemptId);
    }
  }

  function giveUp(attemptId: string): void {
    const lease = table.get(attemptId);
    if (lease === undefined || !table.startRelease(attemptId)) {
      return;
    }
    table.expectRelease(attemptId, monotonicNowMs());
    const isInEngine = stops.has(attemptId) && lease.purpose !== 'plain';
    stops.get(attemptId)?.();
    if (isInEngine && engine !== undefined) {
      void cancelUntilGone(engine, attemptId);
    } else {
      end(attemptId);
    }
  }

  /**
   * A cancel whose answer was lost may or may not have worked, and one that overtook its own decode
   * call found nothing to cancel. The engine's list decides in both cases.
   */
  async function cancelUntilGone(target: KeeperEngine, attemptId: string): Promise<void> {
    let { retryMs } = limits;
    // Told once: a dead engine refuses every repetition, several in a second.
    let onFailed = onCancelFailed;
    while (!closing.signal.aborted) {
      if (await cancelOnce(target, attemptId, onFailed)) {
        end(attemptId);
        return;
      }
      onFailed = () => undefined;
      await delay(retryMs, closing.signal);
      retryMs = Math.min(retryMs * 2, limits.maxRetryMs);
    }
  }

  async function finishOnceGone(attemptId: string, limitMs: number): Promise<void> {
    const limitAtMs = monotonicNowMs() + limitMs;
    while (engine !== undefined && monotonicNowMs() < limitAtMs && !closing.signal.aborted) {
      if (await isGone(engine, attemptId)) {
        finish(attemptId);
        return;
      }
      await delay(limits.retryMs, closing.signal);
    }
    giveUp(attemptId);
  }

  async function isGone(target: KeeperEngine, attemptId: string): Promise<boolean> {
    const holdings = await withTimeout(target.streams(), limits.callTimeoutMs);
    return holdings.isOk() && holdings.value.every((holding) => holding.attemptId !== attemptId);
  }

  async function cancelOnce(
    target: KeeperEngine,
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
    return isGone(target, attemptId);
  }

  async function audit(): Promise<boolean> {
    if (engine === undefined) {
      return true;
    }
    const holdings = await withTimeout(engine.streams(), limits.callTimeoutMs);
    if (holdings.isErr()) {
      return false;
    }
    const unknown = holdings.value.filter(({ attemptId }) => table.get(attemptId) === undefined);
    const before = unknownBefore;
    // A stream that ends while the list is on its way looks unknown once; the first list after a
    // start has no such case.
    const toAdopt = unknown.filter(({ attemptId }) => before?.has(attemptId) ?? true);
    toAdopt.forEach(({ attemptId, heldKvBytes }) => adopt(engine, attemptId, heldKvBytes));
    unknownBefore = new Set(unknown.map(({ attemptId }) => attemptId));
    return true;
  }

  function adopt(target: KeeperEngine, attemptId: string, heldKvBytes: number): void {
    if (table.get(attemptId) !== undefined) {
      return;
    }
    table.adopt(attemptId, heldKvBytes, monotonicNowMs());
    void delay(limits.adoptionGraceMs, closing.signal).then(() =>
      cancelUntilGone(target, attemptId),
    );
  }

  return {
    finish,
    finishOnceGone,
    giveUp,
    audit,
    attach: (attemptId, stop) => {
      stops.set(attemptId, stop);
    },
    attachExport: (attemptId, exportId) => {
      exportIds.set(attemptId, exportId);
    },
    close: () => closing.abort(),
  };
}
