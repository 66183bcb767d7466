/**
 * Guards an engine against orders of a duty holder whose lease has passed to another. The agent is
 * the one path to its engine, so an engine that ignores fencing numbers is guarded as well.
 */

export interface GuardedOrder {
  fencingNumber: number;
  /** Monotonic time at which the sender's lease ends, less the margin; see `orderDeadline`. */
  validUntilMs: number;
}

export type OrderVerdict =
  | { kind: 'admitted' }
  /** The current number is not known yet: nobody is obeyed. */
  | { kind: 'not-ready' }
  | { kind: 'stale'; highestFencingNumber: number }
  | { kind: 'expired' };

export interface OrderGuard {
  /** Takes a number that the platform reported. It never goes down. */
  learn(fencingNumber: number): void;
  /** Checks an order as it arrives; admitting it raises the number. */
  admit(order: GuardedOrder, nowMs: number): OrderVerdict;
  /** The same check right before sending: while the order waited, a higher one may have come. */
  recheck(order: GuardedOrder, nowMs: number): OrderVerdict;
  highestFencingNumber(): number;
  isReady(): boolean;
}

const defaultMarginMs = 100;

/** When an order stops being valid: its remaining validity less a margin for its way here. */
export function orderDeadline(
  receivedAtMs: number,
  validForMs: number,
  marginMs = defaultMarginMs,
): number {
  return receivedAtMs + validForMs - marginMs;
}

export function createOrderGuard(): OrderGuard {
  let highest: number | undefined;

  function recheck(order: GuardedOrder, nowMs: number): OrderVerdict {
    if (highest === undefined) {
      return { kind: 'not-ready' };
    }
    if (order.fencingNumber < highest) {
      return { kind: 'stale', highestFencingNumber: highest };
    }
    return nowMs >= order.validUntilMs ? { kind: 'expired' } : { kind: 'admitted' };
  }

  return {
    recheck,
    learn: (fencingNumber) => {
      highest = Math.max(highest ?? 0, fencingNumber);
    },
    admit: (order, nowMs) => {
      const verdict = recheck(order, nowMs);
      if (verdict.kind === 'admitted') {
        highest = order.fencingNumber;
      }
      return verdict;
    },
    highestFencingNumber: () => highest ?? 0,
    isReady: () => highest !== undefined,
  };
}
