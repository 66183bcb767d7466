/**
 * One model engine in virtual time: the stand-in engine's batch scheduler and memory, with reservations, prefill
 * results that expire, and load reports that lag. It models sizes only, without any content.
 */
import {
  createBatchScheduler,
  createKvLedger,
  type BatchScheduler,
  type KvLedger,
  type Sequence,
} from '@bluebellhitch/standins';
import {
  stages,
  type BackendServer,
  type BodyReader,
  type EngineLoad,
} from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { EngineShape } from './pattern';

/** One run of a request at an engine. */
export interface ModelRun {
  requestId: string;
  promptTokens: number;
  outputTokens: number;
  /** Tokens that the caller received from an earlier run. */
  emittedTokens: number;
  reservationId?: string;
  /** The prompt was prefilled at another engine and its memory has been transferred. */
  hasPrompt: boolean;
  signal: AbortSignal;
}

export interface EngineCounts {
  preempted: number;
  /** Prompt tokens read again after a preemption, or prefilled for a result that was never used. */
  readInVainTokens: number;
}

export interface EngineModel {
  /** The engine as a backend server; its id changes after a crash. */
  server(): BackendServer;
  isDown(): boolean;
  reserve(tokens: number, lifetimeMs: number): string | undefined;
  dropReservation(id: string): void;
  /** Resolves with a handle, or undefined if the engine crashed or the signal was aborted. */
  prefill(promptTokens: number, signal: AbortSignal): Promise<string | undefined>;
  /** Transfers the prompt's memory and frees it here; false if it has expired. */
  consumePrefill(handle: string): boolean;
  discardPrefill(handle: string): void;
  /** Undefined if the memory of a transferred prompt does not fit. */
  run(run: ModelRun): { read(reader: BodyReader): void } | undefined;
  load(): EngineLoad;
  crash(forMs: number): void;
  stop(): void;
  counts: EngineCounts;
}

export interface EngineModelOptions {
  name: string;
  serviceName: string;
  stage: BackendServer['stage'];
  shape: EngineShape;
  /** Called when the engine has restarted, with a new server id. */
  onRestart(before: BackendServer, after: BackendServer): void;
}

interface Reservation {
  tokens: number;
  timer: NodeJS.Timeout;
}

const prefillLifetimeMs = 500;
const snapshotIntervalMs = 100;
const decodeChunkShare = 0.25;
const decodePrefillSpeed = 0.5;
const prefillBaseMs = 2;

export function createEngineModel(options: EngineModelOptions): EngineModel {
  const { name, serviceName, stage, shape } = options;
  const counts: EngineCounts = { preempted: 0, readInVainTokens: 0 };
  const reservations = new Map<string, Reservation>();
  const prefills = new Map<string, { tokens: number; timer: NodeJS.Timeout }>();
  const abortHandlers = new Set<() => void>();
  let incarnation = 1;
  let idCount = 0;
  let isDown = false;
  let ledger: KvLedger;
  let scheduler: BatchScheduler;
  let snapshots: { atMs: number; load: EngineLoad }[] = [];
  startIncarnation();
  const snapshotTimer = setInterval(takeSnapshot, snapshotIntervalMs);

  function startIncarnation(): void {
    const isDecode = stage === stages.decode;
    ledger = createKvLedger(shape.memoryTokens);
    scheduler = createBatchScheduler({
      ledger,
      slotCount: shape.slots,
      kvBytesPerToken: 1,
      stepBaseMs: shape.stepMs,
      stepPerStreamMs: shape.stepPerStreamMs,
      prefillBaseMs,
      prefillMsPerToken: 1 / (shape.readTokensPerMs * (isDecode ? decodePrefillSpeed : 1)),
      prefillChunkTokens: Math.ceil(shape.pieceTokens * (isDecode ? decodeChunkShare : 1)),
      onStep: () => undefined,
    });
    snapshots = [];
  }

  function server(): BackendServer {
    return {
      id: `${name}~${incarnation}`,
      name,
      serviceName,
      address: `${name}:1`,
      dataCentre: 'one',
      slots: shape.slots,
      isDraining: false,
      softwareVersion: 'v1',
      stage,
    };
  }

  function currentLoad(): EngineLoad {
    const running = scheduler.running();
    return {
      stage: stage ?? stages.decode,
      waiting: scheduler.waiting().length,
      running: running.length,
      usedTokens: ledger.heldBytes(),
      totalTokens: shape.memoryTokens,
      reservedTokens: [...reservations.values()].reduce((sum, { tokens }) => sum + tokens, 0),
      isBusyWithOrder: false,
      isDraining: false,
      orderCount: 0,
      runs: running.map(({ attemptId, heldKvBytes, offset }) => ({
        requestId: attemptId,
        memoryTokens: heldKvBytes,
        events: Math.floor(offset / shape.tokensPerEvent),
      })),
    };
  }

  function takeSnapshot(): void {
    const nowMs = monotonicNowMs();
    snapshots.push({ atMs: nowMs, load: currentLoad() });
    const newestDueIndex = snapshots.findLastIndex(({ atMs }) => nowMs - atMs >= shape.reportLagMs);
    snapshots = snapshots.slice(Math.max(0, newestDueIndex));
  }

  function releaseReservation(id: string): number {
    const reservation = reservations.get(id);
    if (reservation === undefined) {
      return 0;
    }
    clearTimeout(reservation.timer);
    reservations.delete(id);
    ledger.free(reservation.tokens);
    return reservation.tokens;
  }

  function dropReservation(id: string): void {
    if (releaseReservation(id) > 0) {
      scheduler.wake();
    }
  }

  function createSequence(requestId: string, promptTokens: number): Sequence {
    return {
      attemptId: requestId,
      kind: 'decode',
      priority: 5,
      prompt: '',
      promptTokens,
      heldKvBytes: 0,
      contextReady: false,
      offset: 0,
      endOffset: 0,
      onStart: (contextTokens) => contextTokens,
      onPrefillTokens: () => undefined,
      onContextReady: () => undefined,
      onToken: () => undefined,
      onFinished: () => undefined,
      onPreempted: () => undefined,
    };
  }

  function endSequence(sequence: Sequence): void {
    scheduler.remove(sequence);
    ledger.free(sequence.heldKvBytes);
    sequence.heldKvBytes = 0;
    scheduler.wake();
  }

  function prefill(promptTokens: number, signal: AbortSignal): Promise<string | undefined> {
    idCount += 1;
    const handle = `${name}-${incarnation}-${idCount}`;
    const sequence: Sequence = { ...createSequence(handle, promptTokens), kind: 'prefill' };
    return new Promise((resolve) => {
      const cancel = () => {
        abortHandlers.delete(cancel);
        endSequence(sequence);
        resolve(undefined);
      };
      abortHandlers.add(cancel);
      signal.addEventListener('abort', cancel, { once: true });
      sequence.onContextReady = () => {
        signal.removeEventListener('abort', cancel);
        abortHandlers.delete(cancel);
        const timer = setTimeout(() => expirePrefill(handle), prefillLifetimeMs);
        prefills.set(handle, { tokens: promptTokens, timer });
        resolve(handle);
      };
      scheduler.submit(sequence);
    });
  }

  function removePrefill(handle: string): number {
    const prefilled = prefills.get(handle);
    if (prefilled === undefined) {
      return 0;
    }
    clearTimeout(prefilled.timer);
    prefills.delete(handle);
    ledger.free(prefilled.tokens);
    scheduler.wake();
    return prefilled.tokens;
  }

  function expirePrefill(handle: string): void {
    counts.readInVainTokens += removePrefill(handle);
  }

  function run(modelRun: ModelRun): ReturnType<EngineModel['run']> {
    const { reservationId = '', promptTokens, emittedTokens } = modelRun;
    releaseReservation(reservationId);
    const sequence = createSequence(modelRun.requestId, promptTokens);
    sequence.offset = emittedTokens;
    sequence.endOffset = modelRun.outputTokens;
    if (modelRun.hasPrompt) {
      const heldTokens = promptTokens + emittedTokens;
      if (!ledger.allocate(heldTokens)) {
        return undefined;
      }
      sequence.heldKvBytes = heldTokens;
      sequence.contextReady = true;
    }
    return { read: (reader) => stream(sequence, modelRun, reader) };
  }

  function stream(sequence: Sequence, { signal }: ModelRun, reader: BodyReader): void {
    let isPreempted = false;
    const abortStream = (detail: string) => {
      abortHandlers.delete(onCrash);
      signal.removeEventListener('abort', onCallerAbort);
      endSequence(sequence);
      reader.onLost(detail);
    };
    const onCrash = () => abortStream('reset');
    const onCallerAbort = () => abortStream('given up');
    sequence.onToken = (offset) => {
      const events = (offset + 1) / shape.tokensPerEvent;
      if (Number.isInteger(events) || offset + 1 === sequence.endOffset) {
        reader.onData(Buffer.from(`id: ${Math.ceil(events)}\ndata: x\n\n`));
      }
    };
    sequence.onPreempted = () => {
      isPreempted = true;
      counts.preempted += 1;
    };
    sequence.onPrefillTokens = (tokens) => {
      counts.readInVainTokens += isPreempted ? tokens : 0;
    };
    sequence.onFinished = () => {
      abortHandlers.delete(onCrash);
      signal.removeEventListener('abort', onCallerAbort);
      endSequence(sequence);
      reader.onEnd();
    };
    abortHandlers.add(onCrash);
    signal.addEventListener('abort', onCallerAbort, { once: true });
    scheduler.submit(sequence);
  }

  function crash(forMs: number): void {
    const before = server();
    isDown = true;
    scheduler.stop();
    [...abortHandlers].forEach((abort) => abort());
    abortHandlers.clear();
    reservations.forEach(({ timer }) => clearTimeout(timer));
    reservations.clear();
    prefills.forEach(({ timer }) => clearTimeout(timer));
    prefills.clear();
    setTimeout(() => {
      isDown = false;
      incarnation += 1;
      startIncarnation();
      options.onRestart(before, server());
    }, forMs);
  }

  return {
    server,
    isDown: () => isDown,
    reserve(tokens, lifetimeMs) {
      if (
        scheduler.running().length + reservations.size >= shape.slots ||
        !ledger.allocate(tokens)
      ) {
        return undefined;
      }
      idCount += 1;
      const id = `${name}-${incarnation}-${idCount}`;
      const timer = setTimeout(() => dropReservation(id), lifetimeMs);
      reservations.set(id, { tokens, timer });
      return id;
    },
    dropReservation,
    prefill,
    consumePrefill: (handle) => removePrefill(handle) > 0,
    discardPrefill: expirePrefill,
    run,
    load: () => snapshots[0]?.load ?? currentLoad(),
    crash,
    stop() {
      clearInterval(snapshotTimer);
      scheduler.stop();
    },
    counts,
  };
}
