/** Limits the bytes that a kind of message may use: a rate, of which unused bytes are saved for some time. */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface ByteBudget {
  available(): number;
  /** Uses bytes; more than are available delays later messages. */
  take(bytes: number): void;
}

export interface ByteBudgetOptions {
  bytesPerSecond: number;
  /** Bytes of this time may be saved. */
  maxSavedMs: number;
  /** Bytes of this time are available at the start. */
  initialMs: number;
}

const msPerSecond = 1_000;

export function createByteBudget(options: ByteBudgetOptions): ByteBudget {
  const { bytesPerSecond, maxSavedMs, initialMs } = options;
  const bytesOf = (durationMs: number) => (bytesPerSecond * durationMs) / msPerSecond;
  let savedBytes = bytesOf(initialMs);
  let refilledAtMs = monotonicNowMs();

  function available(): number {
    const nowMs = monotonicNowMs();
    savedBytes = Math.min(bytesOf(maxSavedMs), savedBytes + bytesOf(nowMs - refilledAtMs));
    refilledAtMs = nowMs;
    return savedBytes;
  }

  return {
    available,
    take(bytes) {
      savedBytes = available() - bytes;
    },
  };
}
