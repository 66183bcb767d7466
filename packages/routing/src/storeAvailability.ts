/** Whether the store answers, and when it last recovered from an outage. */
import type { PlatformError } from '@bluebellhitch/objects';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface StoreAvailabilityListener {
  /** Called when the store stops answering. */
  onUnavailable(error: PlatformError): void;
  /**
   * Called when the store answers again, or for the first time. `agoMs` is greater than 0 if a peer noticed the
   * recovery that long ago.
   */
  onAvailable(agoMs: number): void;
}

export interface StoreAvailability {
  /** A call was answered. */
  noteAnswer(): void;
  noteFailure(error: PlatformError): void;
  /** The store has recovered although no call failed here, or a peer noticed its recovery that long ago. */
  noteRecovery(agoMs: number): void;
  /** Whether the last call was answered. */
  isAvailable(): boolean;
  /** Time since the last recovery; infinite if there was none. */
  recoveryAgeMs(): number;
}

export function createStoreAvailability(listener: StoreAvailabilityListener): StoreAvailability {
  let isAvailable = false;
  /** Whether a call has failed since the store last answered. */
  let hasFailed = false;
  let recoveredAtMs = -Infinity;

  return {
    /** The first answer after the start of this process is not a recovery, and none is reported to peers. */
    noteAnswer() {
      if (hasFailed) {
        hasFailed = false;
        recoveredAtMs = monotonicNowMs();
      }
      if (!isAvailable) {
        isAvailable = true;
        listener.onAvailable(0);
      }
    },
    noteFailure(error) {
      hasFailed = true;
      if (isAvailable) {
        isAvailable = false;
        listener.onUnavailable(error);
      }
    },
    noteRecovery(agoMs) {
      recoveredAtMs = monotonicNowMs() - agoMs;
      listener.onAvailable(agoMs);
    },
    isAvailable: () => isAvailable,
    recoveryAgeMs: () => monotonicNowMs() - recoveredAtMs,
  };
}
