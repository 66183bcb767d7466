/** Accounts for the engine's KV memory. */
import { invariant } from '@bluebellhitch/shared';

export interface KvLedger {
  /** Allocates `bytes`; returns false if they would exceed the capacity. */
  allocate(bytes: number): boolean;
  free(bytes: number): void;
  heldBytes(): number;
  peakBytes(): number;
  capacityBytes: number;
}

export function createKvLedger(capacityBytes: number): KvLedger {
  let held = 0;
  let peak = 0;
  return {
    capacityBytes,
    allocate: (bytes) => {
      if (held + bytes > capacityBytes) {
        return false;
      }
      held += bytes;
      peak = Math.max(peak, held);
      return true;
    },
    free: (bytes) => {
      held -= bytes;
      invariant(held >= 0, 'more KV memory was freed than held');
    },
    heldBytes: () => held,
    peakBytes: () => peak,
  };
}
