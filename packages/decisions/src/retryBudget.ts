/**
 * Retry budget for each service: each success earns a fraction of a retry. A small floor is earned with
 * time, so that a service with little traffic can retry at all. When a whole service fails there are no
 * successes, and retries drop to the floor instead of multiplying the load.
 */
import { createBoundedMap } from './boundedMap';

export interface RetryBudgetOptions {
  /** Retries earned per success, unless `recordSuccess` gets the ratio of the service's document. */
  ratio?: number;
  /** Retries earned per second, independent of successes. */
  floorPerSecond?: number;
  /** Maximum number of retries in the budget. */
  maxBalance?: number;
  maxServices?: number;
}

export interface RetryBudget {
  recordSuccess(service: string, nowMs: number, ratio?: number): void;
  /** Takes one retry from the budget; false if none is left. */
  tryTake(service: string, nowMs: number): boolean;
  balance(service: string, nowMs: number): number;
}

interface Balance {
  retries: number;
  updatedAtMs: number;
}

export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
  const { ratio = 0.1, floorPerSecond = 0.5, maxBalance = 50, maxServices = 512 } = options;
  const balances = createBoundedMap<string, Balance>({ maxEntries: maxServices });

  function current(service: string, nowMs: number): Balance {
    const balance = balances.getOrCreate(service, () => ({ retries: 1, updatedAtMs: nowMs }));
    const elapsedMs = Math.max(0, nowMs - balance.updatedAtMs);
    balance.retries = Math.min(maxBalance, balance.retries + (elapsedMs / 1_000) * floorPerSecond);
    balance.updatedAtMs = Math.max(nowMs, balance.updatedAtMs);
    return balance;
  }

  function tryTake(service: string, nowMs: number): boolean {
    const balance = current(service, nowMs);
    if (balance.retries < 1) {
      return false;
    }
    balance.retries -= 1;
    return true;
  }

  return {
    recordSuccess: (service, nowMs, earned = ratio) => {
      const balance = current(service, nowMs);
      balance.retries = Math.min(maxBalance, balance.retries + earned);
    },
    tryTake,
    balance: (service, nowMs) => current(service, nowMs).retries,
  };
}
