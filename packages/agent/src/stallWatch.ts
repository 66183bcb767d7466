/** Finds a stream that stands still, and which side of it is to blame. */
import { monotonicNowMs } from '@bluebellhitch/shared';

export type StalledSide = 'engine' | 'receiver';

export interface StallLimits {
  /** Bound of the engine's first chunk, which comes after a prefill. */
  firstChunkStallMs: number;
  chunkStallMs: number;
  /** Bound of a receiver that takes nothing. */
  receiverStallMs: number;
}

export interface StallWatch {
  waitForEngine(): void;
  waitForReceiver(): void;
  stalledSide(): StalledSide | undefined;
  stop(): void;
}

/** One timer serves the whole stream: one for each token would cost more than the token. */
const checkIntervalMs = 500;
/** A check this late means that this process was paused, and the chunks wait in its sockets. */
const pausedMs = 2 * checkIntervalMs;

export function createStallWatch(limits: StallLimits, onStall: () => void): StallWatch {
  let waitingSide: StalledSide = 'engine';
  let waitingSinceMs = monotonicNowMs();
  let limitMs = limits.firstChunkStallMs;
  let checkedAtMs = waitingSinceMs;
  let stalledSide: StalledSide | undefined;
  const timer = setInterval(check, checkIntervalMs);

  function check(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - checkedAtMs > pausedMs) {
      waitingSinceMs = nowMs;
    }
    checkedAtMs = nowMs;
    if (stalledSide === undefined && nowMs - waitingSinceMs > limitMs) {
      stalledSide = waitingSide;
      onStall();
    }
  }

  function waitFor(side: StalledSide, sideLimitMs: number): void {
    waitingSide = side;
    limitMs = sideLimitMs;
    waitingSinceMs = monotonicNowMs();
  }

  return {
    waitForEngine: () => waitFor('engine', limits.chunkStallMs),
    waitForReceiver: () => waitFor('receiver', limits.receiverStallMs),
    stalledSide: () => stalledSide,
    stop: () => clearInterval(timer),
  };
}
