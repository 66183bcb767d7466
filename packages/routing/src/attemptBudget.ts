/**
 * Limits the further attempts (retries and resumptions) of a service to a share of its requests in a sliding window
 * plus a small allowance. Each process counts only its own requests and has its own share of the allowance, so that
 * all processes together stay within the limit whatever the others do.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export interface AttemptBudgetOptions {
  /** Further attempts per request in the window. */
  ratio: number;
  /** Additional further attempts per window: this process's current share of the allowance. */
  allowance: () => number;
  windowMs: number;
}

export interface AttemptBudget {
  recordRequest(serviceName: string, nowMs: number): void;
  /** Takes one further attempt from the budget; false if none is left. */
  tryTake(serviceName: string, nowMs: number): boolean;
  /** Whether a further attempt is left; checked before a first call, which is charged only if it fails. */
  hasRemaining(serviceName: string, nowMs: number): boolean;
  /** Charges a call that was made without `tryTake`: a first call that was lost or rejected. */
  charge(serviceName: string, nowMs: number): void;
}

interface ServiceWindow {
  requestsAtMs: number[];
  attemptsAtMs: number[];
}

const maxServices = 512;

export function createAttemptBudget(options: AttemptBudgetOptions): AttemptBudget {
  const { ratio, allowance, windowMs } = options;
  const windows = createBoundedMap<string, ServiceWindow>({ maxEntries: maxServices });

  function currentWindow(serviceName: string, nowMs: number): ServiceWindow {
    const window = windows.getOrCreate(serviceName, () => ({ requestsAtMs: [], attemptsAtMs: [] }));
    dropOlder(window.requestsAtMs, nowMs - windowMs);
    dropOlder(window.attemptsAtMs, nowMs - windowMs);
    return window;
  }

  function hasRemainingIn({ requestsAtMs, attemptsAtMs }: ServiceWindow): boolean {
    return attemptsAtMs.length + 1 <= requestsAtMs.length * ratio + allowance();
  }

  return {
    recordRequest(serviceName, nowMs) {
      currentWindow(serviceName, nowMs).requestsAtMs.push(nowMs);
    },
    tryTake(serviceName, nowMs) {
      const window = currentWindow(serviceName, nowMs);
      const isAllowed = hasRemainingIn(window);
      if (isAllowed) {
        window.attemptsAtMs.push(nowMs);
      }
      return isAllowed;
    },
    hasRemaining: (serviceName, nowMs) => hasRemainingIn(currentWindow(serviceName, nowMs)),
    charge(serviceName, nowMs) {
      currentWindow(serviceName, nowMs).attemptsAtMs.push(nowMs);
    },
  };
}

function dropOlder(timesMs: number[], fromMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs > fromMs);
  timesMs.splice(0, kept < 0 ? timesMs.length : kept);
}
