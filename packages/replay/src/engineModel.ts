/**
 * One model engine in virtual time: the stand-in engine's batch and memory, with reservations, prefill results that
 * expire and reports that lag. It moves no bytes: sizes stand for contents.
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

/** What one run does at an engine. */
export interface ModelRun {
  requestId: string;
  promptTokens: number;
  outputTokens: number;
  /** Tokens that the caller has from an earlier run. */
  emittedTokens: number;
  reservationId?: string;
  /** The prompt was read elsewhere and is here already. */
  hasPrompt: boolean;
  signal: AbortSignal;
}

export interface EngineCounts {
  preempted: number;
  /** Read again after a preemption, or read for a result that nobody took. */
  readInVainTokens: number;
}

export interface EngineModel {
  /** Another one after a crash. */
  server(): BackendServer;
  isDown(): boolean;
  reserve(tokens: number, lifetimeMs: number): string | undefined;
  dropReservation(id: string): void;
  /** Resolves with a handle; undefined where the engine crashed or the caller left. */
  prefill(promptTokens: number, signal: AbortSignal): Promise<string | undefined>;
  /** Hands the prompt's memory over; false where it has expired. */
  takePrefill(handle: string): boolean;
  dropPrefill(handle: string): void;
  /** Undefined where there is no memory or slot for it. */
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
  /** The engine has started again as another server. */
  onRestart(before: BackendServer, after: BackendServer): void;
}

interface Reservation {
  tokens: number;
  timer: NodeJS.Timeout;
}

const prefillLifetimeMs = 500;
const snapshotMs = 100;
const decodePieceShare = 0.25;
const decodeReadSpeed = 0.5;
const prefillBaseMs = 2;

export function createEngineModel(options: EngineModelOptions): EngineModel {
  const { name, serviceName, stage, shape } = options;
  const counts: EngineCounts = { preempted: 0, readInVainTokens: 0 };
  const reservations = new Map<string, Reservation>();
  const prefills = new Map<string, { tokens: number; timer: NodeJS.Timeout }>();
  const breakOffs = new Set<() => void>();
  let lifeNumber = 1;
  let nextNumber = 0;
  let isDown = false;
  let ledger: KvLedger;
  let scheduler: BatchScheduler;
  let snapshots: { atMs: number; load: EngineLoad }[] = [];
  beginLife();
  const snapshotTimer = setInterval(takeSnapshot, snapshotMs);

  function beginLife(): void {
    const isDecode = stage === stages.decode;
    ledger = createKvLedger(shape.memoryTokens);
    scheduler = createBatchScheduler({
      ledger,
      slotCount: shape.slots,
      kvBytesPerToken: 1,
      stepBaseMs: shape.stepMs,
      stepPerStreamMs: shape.stepPerStreamMs,
      prefillBaseMs,
      prefillMsPerToken: 1 / (shape.readTokensPerMs * (isDecode ? decodeReadSpeed : 1)),
      prefillChunkTokens: Math.ceil(shape.pieceTokens * (isDecode ? decodePieceShare : 1)),
      onStep: () => undefined,
    });
    snapshots = [];
  }

  function server(): BackendServer {
    return {
      id: `${name}~${lifeNumber}`,
      name,
      serviceName,
      address: `${name}:1`,
      dataCentre: 'one',
      slots: shape.slots,
      isDraining: false,
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
    const newestOld = snapshots.findLastIndex(({ atMs }) => nowMs - atMs >= shape.reportLagMs);
    snapshots = snapshots.slice(Math.max(0, newestOld));
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

  function newSequence(requestId: string, promptTokens: number): Sequence {
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
    nextNumber += 1;
    const handle = `${name}-${lifeNumber}-${nextNumber}`;
    const sequence: Sequence = { ...newSequence(handle, promptTokens), kind: 'prefill' };
    return new Promise((resolve) => {
      const giveUp = () => {
        breakOffs.delete(giveUp);
        endSequence(sequence);
        resolve(undefined);
      };
      breakOffs.add(giveUp);
      signal.addEventListener('abort', giveUp, { once: true });
      sequence.onContextReady = () => {
        signal.removeEventListener('abort', giveUp);
        breakOffs.delete(giveUp);
        const timer = setTimeout(() => expirePrefill(handle), prefillLifetimeMs);
        prefills.set(handle, { tokens: promptTokens, timer });
        resolve(handle);
      };
      scheduler.submit(sequence);
    });
  }

  function removePrefill(handle: string): number {
    const kept = prefills.get(handle);
    if (kept === undefined) {
      return 0;
    }
    clearTimeout(kept.timer);
    prefills.delete(handle);
    ledger.free(kept.tokens);
    scheduler.wake();
    return kept.tokens;
  }

  function expirePrefill(handle: string): void {
    counts.readInVainTokens += removePrefill(handle);
  }

  function run(wanted: ModelRun): ReturnType<EngineModel['run']> {
    const { reservationId = '', promptTokens, emittedTokens } = wanted;
    releaseReservation(reservationId);
    const sequence = newSequence(wanted.requestId, promptTokens);
    sequence.offset = emittedTokens;
    sequence.endOffset = wanted.outputTokens;
    if (wanted.hasPrompt) {
      const heldTokens = promptTokens + emittedTokens;
      if (!ledger.allocate(heldTokens)) {
        return undefined;
      }
      sequence.heldKvBytes = heldTokens;
      sequence.contextReady = true;
    }
    return { read: (reader) => stream(sequence, wanted, reader) };
  }

  function stream(sequence: Sequence, { signal }: ModelRun, reader: BodyReader): void {
    let isPreempted = false;
    const breakOff = (detail: string) => {
      breakOffs.delete(crashed);
      signal.removeEventListener('abort', leave);
      endSequence(sequence);
      reader.onLost(detail);
    };
    const crashed = () => breakOff('reset');
    const leave = () => breakOff('given up');
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
      breakOffs.delete(crashed);
      signal.removeEventListener('abort', leave);
      endSequence(sequence);
      reader.onEnd();
    };
    breakOffs.add(crashed);
    signal.addEventListener('abort', leave, { once: true });
    scheduler.submit(sequence);
  }

  function crash(forMs: number): void {
    const before = server();
    isDown = true;
    scheduler.stop();
    [...breakOffs].forEach((breakOff) => breakOff());
    breakOffs.clear();
    reservations.forEach(({ timer }) => clearTimeout(timer));
    reservations.clear();
    prefills.forEach(({ timer }) => clearTimeout(timer));
    prefills.clear();
    setTimeout(() => {
      isDown = false;
      lifeNumber += 1;
      beginLife();
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
      nextNumber += 1;
      const id = `${name}-${lifeNumber}-${nextNumber}`;
      const timer = setTimeout(() => dropReservation(id), lifetimeMs);
      reservations.set(id, { tokens, timer });
      return id;
    },
    dropReservation,
    prefill,
    takePrefill: (handle) => removePrefill(handle) > 0,
    dropPrefill: expirePrefill,
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
