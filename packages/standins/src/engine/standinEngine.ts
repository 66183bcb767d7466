/**
 * A model engine without a model: simulates the timing, memory use and failures of a real one, with
 * deterministic output. It depends on the runtime's timers and clock only, so that tests can fake them,
 * and implements `EngineApi` within the process.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { EngineApi, EngineError, EngineHolding } from '@bluebellhitch/engine';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createBatchScheduler } from './batchScheduler';
import type { EngineControl } from './engineControl';
import { resolveEngineOptions, type KvPeer, type StandinEngineOptions } from './engineOptions';
import { createEngineOrders, type ReceivedOrder } from './engineOrders';
import { createEngineRuns } from './engineRuns';
import { createStatsRecorder, type EngineStats } from './engineStats';
import { createExportStore } from './exportStore';
import { createKvImports } from './kvImports';
import { createKvLedger } from './kvLedger';
import { openKvTransfer } from './kvExporter';
import { createLoadHistory } from './loadHistory';
import { createPrefixCache } from './prefixCache';
import { createRateLimitedLink } from './rateLimitedLink';

export interface StandinEngine extends EngineApi, KvPeer {
  stats(): EngineStats & { orders: ReceivedOrder[] };
  control(control: EngineControl): void;
  /** Ends every response without its end marker and refuses all later calls. */
  crash(): void;
  /** Resolves when the engine crashes. */
  crashed: Promise<void>;
}

const diedError: EngineError = { kind: 'died', detail: 'the engine crashed' };
const downError: EngineError = { kind: 'not-started', detail: 'the engine is down' };
const refusedError: EngineError = { kind: 'not-started', detail: 'the engine takes no work' };
const unknownPeer: KvPeer = {
  openExport: () =>
    new ResultAsync(Promise.resolve(err({ kind: 'failed', detail: 'no such peer' }))),
};

export function createStandinEngine(options: StandinEngineOptions = {}): StandinEngine {
  const settings = resolveEngineOptions(options);
  const faults = {
    failCancels: false,
    loseCancelAnswers: false,
    refuseWork: false,
    failOrders: false,
  };
  let isDown = false;
  let resolveCrashed: () => void = () => undefined;
  const crashed = new Promise<void>((resolve) => {
    resolveCrashed = resolve;
  });

  const ledger = createKvLedger(settings.capacityKvBytes);
  const stats = createStatsRecorder();
  const link = createRateLimitedLink(settings.linkBytesPerSecond);
  const cache = createPrefixCache({
    maxBlocks: settings.prefixCacheBlocks,
    eventDelayMs: settings.cacheEventDelayMs,
    eventLossRatio: settings.cacheEventLossRatio,
    random: createSeededRandom(settings.seed),
  });
  const scheduler = createBatchScheduler({
    ...settings,
    ledger,
    onStep: () => loadHistory.record(),
  });
  const onChange = () => {
    scheduler.wake();
    loadHistory.record();
  };
  const orders = createEngineOrders(settings, onChange);
  const exports = createExportStore({
    keptForMs: settings.exportKeptForMs,
    ledger,
    stats,
    onChange,
  });
  const connectPeer = settings.connectPeer ?? (() => unknownPeer);
  const imports = createKvImports({ ledger, link, connectPeer, onChange });
  const runs = createEngineRuns({
    settings,
    scheduler,
    ledger,
    cache,
    exports,
    imports,
    stats,
    onRun: crashOnPoison,
    onChange,
  });
  const loadHistory = createLoadHistory(settings.loadLagMs, () => ({
    role: orders.role(),
    capacityKvBytes: ledger.capacityBytes,
    kvBytesPerToken: settings.kvBytesPerToken,
    heldKvBytes: ledger.heldBytes(),
    runningCount: scheduler.running().length,
    slotCount: settings.slotCount,
    stepMs: scheduler.recentStepMs(),
    models: orders.models(),
    adapters: orders.adapters(),
  }));

  function crashOnPoison(prompt: string): void {
    if (settings.poisonMarker !== undefined && prompt.includes(settings.poisonMarker)) {
      crash();
    }
  }

  function crash(): void {
    if (isDown) {
      return;
    }
    isDown = true;
    scheduler.stop();
    runs.endAll(diedError);
    imports.clear();
    exports.clear();
    resolveCrashed();
    settings.onCrash?.();
  }

  function runWhileUp<Value>(
    run: () => Promise<Result<Value, EngineError>> | Result<Value, EngineError>,
  ): ResultAsync<Value, EngineError> {
    return new ResultAsync(
      (async () => {
        if (isDown) {
          return err(downError);
        }
        const result = await run();
        // A call that was in progress when the engine crashed gets no response.
        return isDown && result.isOk() ? err(diedError) : result;
      })(),
    );
  }

  function findWorkRefusal(model: string, kind: 'prefill' | 'decode'): EngineError | undefined {
    const role = orders.role();
    if (faults.refuseWork) {
      return refusedError;
    }
    if (role !== 'both' && role !== kind) {
      return { kind: 'not-started', detail: `the engine's role is ${role}` };
    }
    if (!orders.isLoaded(model)) {
      return { kind: 'not-started', detail: `model ${model} is not loaded` };
    }
    return undefined;
  }

  function startWork<Value>(
    model: string,
    kind: 'prefill' | 'decode',
    run: () => Promise<Result<Value, EngineError>> | Result<Value, EngineError>,
  ): ResultAsync<Value, EngineError> {
    return runWhileUp<Value>(() => {
      const refused = findWorkRefusal(model, kind);
      return refused === undefined ? run() : err(refused);
    });
  }

  function cancel(attemptId: string): Result<void, EngineError> {
    if (faults.failCancels) {
      return err({ kind: 'failed', detail: 'the cancel failed' });
    }
    runs.cancel(attemptId);
    imports.drop(attemptId);
    exports.dropAttempt(attemptId);
    return faults.loseCancelAnswers
      ? err({ kind: 'died', detail: 'the answer was lost' })
      : ok(undefined);
  }

  function updateExport(exportId: string, action: 'keep' | 'drop'): Result<void, EngineError> {
    if (action === 'drop') {
      exports.drop(exportId);
      return ok(undefined);
    }
    return exports.get(exportId) === undefined
      ? err({ kind: 'gone', detail: `no export ${exportId}` })
      : ok(undefined);
  }

  function holdings(): EngineHolding[] {
    const exported = exports.list().map(({ attemptId, kvBytes }) => ({
      attemptId,
      phase: 'export' as const,
      heldKvBytes: kvBytes,
    }));
    return [...runs.holdings(), ...imports.holdings(), ...exported];
  }

  function control(change: EngineControl): void {
    const { failCancels, loseCancelAnswers, refuseWork, failOrders } = { ...faults, ...change };
    Object.assign(faults, { failCancels, loseCancelAnswers, refuseWork, failOrders });
    if (change.stallTransfers !== undefined) {
      link.setStalled(change.stallTransfers);
    }
    if (change.slowFactor !== undefined) {
      scheduler.setSlowFactor(change.slowFactor);
    }
    if (change.paused !== undefined) {
      scheduler.setPaused(change.paused);
    }
    if (change.truncateStreams === true) {
      runs.endAll(diedError);
    }
    if (change.clearCache === true) {
      cache.clear();
    }
    if (change.crash === true) {
      crash();
    }
  }

  return {
    prefill: (input, signal) =>
      startWork(input.model, 'prefill', () => runs.prefill(input, signal)),
    exportKv: (exportId, action) => runWhileUp(() => updateExport(exportId, action)),
    importKv: (input, onProgress, signal) =>
      runWhileUp(() => imports.run(input, onProgress, signal)),
    decode: (input, signal) => startWork(input.model, 'decode', () => runs.decode(input, signal)),
    resume: (input, signal) => startWork(input.model, 'decode', () => runs.resume(input, signal)),
    cancel: (attemptId) => runWhileUp(() => cancel(attemptId)),
    streams: () => runWhileUp(() => ok(holdings())),
    load: () => runWhileUp(() => ok(loadHistory.report())),
    cacheEvents: (sinceSequence) => runWhileUp(() => ok(cache.eventsSince(sinceSequence))),
    order: (order, fencingNumber) =>
      runWhileUp<void>(() =>
        faults.failOrders
          ? err({ kind: 'failed', detail: 'the order failed' })
          : orders.run(order, fencingNumber),
      ),
    openExport: (exportId, rateBytesPerSecond, signal) =>
      runWhileUp(() => {
        const exporter = { exports, link, pieceBytes: settings.transferPieceBytes };
        return openKvTransfer(exporter, exportId, rateBytesPerSecond, signal);
      }),
    stats: () => ({
      ...stats.read(),
      heldKvBytes: ledger.heldBytes(),
      peakHeldKvBytes: ledger.peakBytes(),
      capacityKvBytes: ledger.capacityBytes,
      orders: orders.received(),
    }),
    control,
    crash,
    crashed,
  };
}

/** Lets engines in one process fetch KV cache from each other, under addresses of the caller's choice. */
export function createPeerDirectory(): {
  connectPeer: (kvAddress: string) => KvPeer;
  add: (kvAddress: string, peer: KvPeer) => void;
} {
  const peers = new Map<string, KvPeer>();
  return {
    connectPeer: (kvAddress) => peers.get(kvAddress) ?? unknownPeer,
    add: (kvAddress, peer) => {
      peers.set(kvAddress, peer);
    },
  };
}
