/**
 * Protects an engine from orders of a duty holder whose lease has passed to another. All orders pass
 * through the engine's agent, so an engine that ignores fencing numbers is protected as well.
 */

export interface GuardedOrder {
  fencingNumber: number;
  /** Monotonic time at which the sender's lease ends, less the margin; see `orderDeadline`. */
  validUntilMs: number;
}

export type OrderVerdict =
  | { kind: 'admitted' }
  /** The current number is not known yet, so no order is executed. */
  | { kind: 'not-ready' }
  | { kind: 'stale'; highestFencingNumber: number }
  | { kind: 'expired' };

export interface OrderGuard {
  /** Raises the highest number to one reported by the platform; it is never lowered. */
  learn(fencingNumber: number): void;
  /** Checks an order on arrival; admitting it raises the highest number. */
  admit(order: GuardedOrder, nowMs: number): OrderVerdict;
  /** The same check right before sending: a higher number may have arrived while the order waited. */
  recheck(order: GuardedOrder, nowMs: number): OrderVerdict;
  highestFencingNumber(): number;
  isReady(): boolean;
}

const defaultMarginMs = 100;

/** Time at which an order stops being valid: its remaining validity less a margin for its transit. */
export function orderDeadline(
  receivedAtMs: number,
  validForMs: number,
  marginMs = defaultMarginMs,
): number {
  return receivedAtMs + validForMs - marginMs;
}

export function createOrderGuard(): OrderGuard {
  let highestNumber: number | undefined;

  function recheck(order: GuardedOrder, nowMs: number): OrderVerdict {
    if (highestNumber === undefined) {
      return { kind: 'not-ready' };
    }
    if (order.fencingNumber < highestNumber) {
      return { kind: 'stale', highestFencingNumber: highestNumber };
    }
    return nowMs >= order.validUntilMs ? { kind: 'expired' } : { kind: 'admitted' };
  }

  return {
    recheck,
    learn: (fencingNumber) => {
      highestNumber = Math.max(highestNumber ?? 0, fencingNumber);
    },
    admit: (order, nowMs) => {
      const verdict = recheck(order, nowMs);
      if (verdict.kind === 'admitted') {
        highestNumber = order.fencingNumber;
      }
      return verdict;
    },
    highestFencingNumber: () => highestNumber ?? 0,
    isReady: () => highestNumber !== undefined,
  };
}
