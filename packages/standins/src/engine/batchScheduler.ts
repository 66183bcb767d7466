/**
 * Continuous batching: each step decodes one token of every running stream and prefills one chunk of one
 * prompt, which makes the step longer for all of them.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { KvLedger } from './kvLedger';

/** One prefill or decode, in the batch or queued for it. */
export interface Sequence {
  attemptId: string;
  kind: 'prefill' | 'decode';
  /** 0 is the most urgent. */
  priority: number;
  prompt: string;
  promptTokens: number;
  /** Bytes of KV cache held; an imported cache is held from the start. */
  heldKvBytes: number;
  /** Whether the held cache covers the prompt, so that no prefill is needed. */
  contextReady: boolean;
  /** Number of output tokens so far, and the number at which to stop. */
  offset: number;
  endOffset: number;
  /** Called when the sequence leaves the queue; returns the number of prompt tokens left to compute. */
  onStart(contextTokens: number): number;
  onPrefillTokens(tokenCount: number): void;
  onContextReady(): void;
  onToken(offset: number): void;
  onFinished(): void;
  onPreempted(): void;
}

export interface BatchSchedulerOptions {
  ledger: KvLedger;
  slotCount: number;
  kvBytesPerToken: number;
  stepBaseMs: number;
  stepPerStreamMs: number;
  prefillBaseMs: number;
  prefillMsPerToken: number;
  prefillChunkTokens: number;
  onStep: () => void;
}

export interface BatchScheduler {
  submit(sequence: Sequence): void;
  /** Does not free the held memory; the caller does. */
  remove(sequence: Sequence): void;
  running(): readonly Sequence[];
  waiting(): readonly Sequence[];
  /** Multiplies the time of each step. */
  setSlowFactor(factor: number): void;
  setPaused(paused: boolean): void;
  /** To be called when memory has been freed. */
  wake(): void;
  stop(): void;
  recentStepMs(): number;
}

interface Slot {
  sequence: Sequence;
  order: number;
  /** Prompt tokens to compute; 0 while decoding. */
  remainingTokens: number;
  started: boolean;
}

/** Steps that start late by up to this are shortened to catch up; later ones are not. */
const maxCatchUpMs = 20;

export function createBatchScheduler(options: BatchSchedulerOptions): BatchScheduler {
  let queue: Slot[] = [];
  let batch: Slot[] = [];
  let timer: NodeJS.Timeout | undefined;
  let lastDueMs = Number.NEGATIVE_INFINITY;
  let lastStepMs = options.stepBaseMs;
  let nextOrder = 0;
  let slowFactor = 1;
  let paused = false;
  let stopped = false;
  let isFinishingStep = false;

  function contextTokens(sequence: Sequence): number {
    return sequence.promptTokens + sequence.offset;
  }

  function allocateContext(sequence: Sequence): boolean {
    if (sequence.contextReady) {
      return true;
    }
    const bytes = contextTokens(sequence) * options.kvBytesPerToken;
    if (!options.ledger.allocate(bytes)) {
      return false;
    }
    sequence.heldKvBytes = bytes;
    return true;
  }

  function admitWaiting(): void {
    while (!stopped && batch.length < options.slotCount) {
      const [first] = queue;
      if (first === undefined || !allocateContext(first.sequence)) {
        return;
      }
      queue = queue.slice(1);
      batch.push(first);
      start(first);
    }
  }

  function start(slot: Slot): void {
    const { sequence } = slot;
    const computed = sequence.onStart(contextTokens(sequence));
    slot.remainingTokens = sequence.contextReady ? 0 : computed;
    slot.started = false;
  }

  function selectPrefill(): Slot | undefined {
    return batch.filter(({ remainingTokens }) => remainingTokens > 0).sort(byUrgency)[0];
  }

  function schedule(): void {
    // The callbacks of a step that finishes free memory; the next step starts after all of them.
    if (timer !== undefined || isFinishingStep || paused || stopped) {
      return;
    }
    admitWaiting();
    if (batch.length === 0 || stopped) {
      lastDueMs = Number.NEGATIVE_INFINITY;
      return;
    }
    const prefilling = selectPrefill();
    const chunkTokens = Math.min(prefilling?.remainingTokens ?? 0, options.prefillChunkTokens);
    const decoding = batch.filter(({ remainingTokens }) => remainingTokens === 0);
    const durationMs = stepMs(decoding.length, chunkTokens, prefilling?.started === false);
    const nowMs = monotonicNowMs();
    const startMs = nowMs - lastDueMs > maxCatchUpMs ? nowMs : lastDueMs;
    lastDueMs = startMs + durationMs;
    lastStepMs = durationMs;
    timer = setTimeout(
      () => finishStep(decoding, prefilling, chunkTokens),
      Math.max(lastDueMs - nowMs, 0),
    );
  }

  function stepMs(streamCount: number, chunkTokens: number, isFirstChunk: boolean): number {
    const decodeMs =
      streamCount > 0 ? options.stepBaseMs + streamCount * options.stepPerStreamMs : 0;
    const prefillStartMs = isFirstChunk ? options.prefillBaseMs : 0;
    return (decodeMs + prefillStartMs + chunkTokens * options.prefillMsPerToken) * slowFactor;
  }

  function finishStep(decoding: Slot[], prefilling: Slot | undefined, chunkTokens: number): void {
    timer = undefined;
    isFinishingStep = true;
    decoding.forEach(decodeToken);
    if (prefilling !== undefined && batch.includes(prefilling)) {
      finishChunk(prefilling, chunkTokens);
    }
    isFinishingStep = false;
    options.onStep();
    schedule();
  }

  function finishChunk(slot: Slot, chunkTokens: number): void {
    slot.started = true;
    slot.remainingTokens -= chunkTokens;
    slot.sequence.onPrefillTokens(chunkTokens);
    if (slot.remainingTokens > 0) {
      return;
    }
    slot.sequence.contextReady = true;
    if (slot.sequence.kind === 'prefill') {
      removeFromBatch(slot);
    }
    slot.sequence.onContextReady();
  }

  function decodeToken(slot: Slot): void {
    const { sequence } = slot;
    if (!batch.includes(slot)) {
      return;
    }
    if (sequence.offset < sequence.endOffset) {
      if (!growOrPreempt(slot)) {
        return;
      }
      sequence.offset += 1;
      sequence.onToken(sequence.offset - 1);
    }
    if (sequence.offset >= sequence.endOffset) {
      removeFromBatch(slot);
      sequence.onFinished();
    }
  }

  /** Allocates memory for one more token, preempting the least urgent streams if there is none. */
  function growOrPreempt(slot: Slot): boolean {
    while (!options.ledger.allocate(options.kvBytesPerToken)) {
      const victim = batch
        .filter(({ sequence }) => sequence.kind === 'decode')
        .sort(byUrgency)
        .at(-1);
      if (victim === undefined) {
        return false;
      }
      preempt(victim);
      if (victim === slot) {
        return false;
      }
    }
    slot.sequence.heldKvBytes += options.kvBytesPerToken;
    return true;
  }

  function preempt(slot: Slot): void {
    removeFromBatch(slot);
    options.ledger.free(slot.sequence.heldKvBytes);
    slot.sequence.heldKvBytes = 0;
    slot.sequence.contextReady = false;
    slot.sequence.onPreempted();
    enqueue(slot);
  }

  function removeFromBatch(slot: Slot): void {
    batch = batch.filter((other) => other !== slot);
  }

  function enqueue(slot: Slot): void {
    queue = [...queue, slot].sort(byUrgency);
  }

  return {
    submit: (sequence) => {
      nextOrder += 1;
      enqueue({ sequence, order: nextOrder, remainingTokens: 0, started: false });
      schedule();
    },
    remove: (sequence) => {
      queue = queue.filter((slot) => slot.sequence !== sequence);
      batch = batch.filter((slot) => slot.sequence !== sequence);
    },
    running: () => batch.map(({ sequence }) => sequence),
    waiting: () => queue.map(({ sequence }) => sequence),
    setSlowFactor: (factor) => {
      slowFactor = factor;
    },
    setPaused: (value) => {
      paused = value;
      schedule();
    },
    wake: schedule,
    stop: () => {
      stopped = true;
      clearTimeout(timer);
      batch = [];
      queue = [];
    },
    recentStepMs: () => lastStepMs,
  };
}

function byUrgency(left: Slot, right: Slot): number {
  return left.sequence.priority - right.sequence.priority || left.order - right.order;
}
