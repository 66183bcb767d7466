/**
 * Imports a prompt's KV cache into the engine. A transfer is aborted when it makes no progress for an
 * interval; a total timeout long enough for a large prompt would outlast the kept export of a small one.
 */
import { createStallDetector } from '@bluebellhitch/decisions';
import type { EngineApi, EngineError } from '@bluebellhitch/engine';
import type { KvSource } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { LinkPacer } from './linkPacer';
import { withTimeout } from './withTimeout';

export type TransferSource = Extract<KvSource, { kind: 'transfer' }>;

export type ImportOutcome =
  | { kind: 'imported'; durationMs: number }
  | { kind: 'failed'; cause: 'stalled' | 'expired' | EngineError['kind'] }
  | { kind: 'aborted' };

export interface KvImporterOptions {
  engine: Pick<EngineApi, 'importKv' | 'cancel'>;
  pacer: LinkPacer;
  /** A transfer without progress for this long is aborted. */
  stallMs?: number;
  maxTries?: number;
}

export interface KvImporter {
  /** Runs the transfer; retries a failed one, up to `maxTries` in all, while the export is kept. */
  run(attemptId: string, source: TransferSource, signal: AbortSignal): Promise<ImportOutcome>;
}

const defaultStallMs = 150;
const defaultMaxTries = 2;
const checksPerInterval = 3;
const cancelTimeoutMs = 200;

export function createKvImporter(options: KvImporterOptions): KvImporter {
  const { engine, pacer, stallMs = defaultStallMs, maxTries = defaultMaxTries } = options;

  async function run(
    attemptId: string,
    source: TransferSource,
    signal: AbortSignal,
  ): Promise<ImportOutcome> {
    const keptUntilMs = monotonicNowMs() + source.keptForMs;
    let outcome: ImportOutcome = { kind: 'failed', cause: 'expired' };
    for (let tries = 0; tries < maxTries && monotonicNowMs() < keptUntilMs; tries += 1) {
      outcome = await tryOnce(attemptId, source, signal);
      if (outcome.kind !== 'failed') {
        return outcome;
      }
      await withTimeout(engine.cancel(attemptId), cancelTimeoutMs);
      if (outcome.cause === 'gone' || outcome.cause === 'out-of-memory') {
        return outcome;
      }
    }
    return outcome;
  }

  async function tryOnce(
    attemptId: string,
    source: TransferSource,
    signal: AbortSignal,
  ): Promise<ImportOutcome> {
    const grant = await pacer.acquire(source.kvAddress, signal);
    if (grant === undefined) {
      return { kind: 'aborted' };
    }
    const startedAtMs = monotonicNowMs();
    const watch = startTransferWatch(stallMs, signal);
    const result = await engine.importKv(
      {
        attemptId,
        kvAddress: source.kvAddress,
        exportId: source.exportId,
        rateBytesPerSecond: grant.rateBytesPerSecond,
      },
      (progress) => watch.onProgress(progress.receivedBytes),
      watch.signal,
    );
    watch.stop();
    grant.release();
    const durationMs = monotonicNowMs() - startedAtMs;
    if (result.isOk()) {
      pacer.observe(source.kvAddress, result.value.receivedBytes, durationMs);
      return { kind: 'imported', durationMs };
    }
    if (signal.aborted) {
      return { kind: 'aborted' };
    }
    if (watch.stalled()) {
      pacer.observeStall(source.kvAddress);
      return { kind: 'failed', cause: 'stalled' };
    }
    return { kind: 'failed', cause: result.error.kind };
  }

  return { run };
}

function startTransferWatch(stallMs: number, parentSignal: AbortSignal) {
  const controller = new AbortController();
  const detector = createStallDetector({
    startedAtMs: monotonicNowMs(),
    intervalMs: stallMs,
    firstProgressMs: stallMs,
  });
  let stalled = false;

  const abort = () => controller.abort();
  parentSignal.addEventListener('abort', abort);
  const timer = setInterval(() => {
    if (detector.check(monotonicNowMs()).kind === 'stalled') {
      stalled = true;
      abort();
    }
  }, stallMs / checksPerInterval);

  return {
    signal: controller.signal,
    stalled: () => stalled,
    onProgress: (bytes: number) => detector.progress(bytes, monotonicNowMs()),
    stop: () => {
      clearInterval(timer);
      parentSignal.removeEventListener('abort', abort);
    },
  };
}
