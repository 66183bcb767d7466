/** Detects a stalled stream, and whether the engine or the receiver stalls it. */
import { monotonicNowMs } from '@bluebellhitch/shared';

export type StalledSide = 'engine' | 'receiver';

export interface StallLimits {
  /** Limit for the engine's first chunk, which comes after a prefill. */
  firstChunkStallMs: number;
  chunkStallMs: number;
  /** Limit for a receiver that takes no data. */
  receiverStallMs: number;
}

export interface StallWatch {
  startEngineWait(): void;
  startReceiverWait(): void;
  stalledSide(): StalledSide | undefined;
  stop(): void;
}

/** One interval timer serves the whole stream, since a timer per token would cost more than the token. */
const checkIntervalMs = 500;
/** A longer gap between two checks means that this process was paused and chunks wait in its sockets. */
const pauseThresholdMs = 2 * checkIntervalMs;

export function createStallWatch(limits: StallLimits, onStall: () => void): StallWatch {
  let waitingSide: StalledSide = 'engine';
  let waitingSinceMs = monotonicNowMs();
  let limitMs = limits.firstChunkStallMs;
  let checkedAtMs = waitingSinceMs;
  let stalledSide: StalledSide | undefined;
  const timer = setInterval(check, checkIntervalMs);

  function check(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - checkedAtMs > pauseThresholdMs) {
      waitingSinceMs = nowMs;
    }
    checkedAtMs = nowMs;
    if (stalledSide === undefined && nowMs - waitingSinceMs > limitMs) {
      stalledSide = waitingSide;
      onStall();
    }
  }

  function startWait(side: StalledSide, sideLimitMs: number): void {
    waitingSide = side;
    limitMs = sideLimitMs;
    waitingSinceMs = monotonicNowMs();
  }

  return {
    startEngineWait: () => startWait('engine', limits.chunkStallMs),
    startReceiverWait: () => startWait('receiver', limits.receiverStallMs),
    stalledSide: () => stalledSide,
    stop: () => clearInterval(timer),
  };
}
