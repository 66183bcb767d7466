/**
 * How many further attempts a service may get: a share of its requests in a sliding window and a small
 * allowance. Each process counts its own requests and takes its own share of the allowance, so that all
 * together stay inside the bound whatever the others do.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export interface AttemptBudgetOptions {
  /** Further attempts for each request of the window. */
  ratio: number;
  /** Further attempts in a window besides, of this process: its share at this time. */
  allowance: () => number;
  windowMs: number;
}

export interface AttemptBudget {
  recordRequest(serviceName: string, nowMs: number): void;
  /** Takes one further attempt out of the budget; false where none is left. */
  tryTake(serviceName: string, nowMs: number): boolean;
  /** Whether one is left: a first call that may be turned away takes one without asking. */
  hasLeft(serviceName: string, nowMs: number): boolean;
  /** Counts one that has arrived although it was not asked for: a first call that was turned away. */
  charge(serviceName: string, nowMs: number): void;
}

interface ServiceWindow {
  requestsAtMs: number[];
  furtherAtMs: number[];
}

const maxServices = 512;

export function createAttemptBudget(options: AttemptBudgetOptions): AttemptBudget {
  const { ratio, allowance, windowMs } = options;
  const windows = createBoundedMap<string, ServiceWindow>({ maxEntries: maxServices });

  function current(serviceName: string, nowMs: number): ServiceWindow {
    const window = windows.getOrCreate(serviceName, () => ({ requestsAtMs: [], furtherAtMs: [] }));
    dropOlder(window.requestsAtMs, nowMs - windowMs);
    dropOlder(window.furtherAtMs, nowMs - windowMs);
    return window;
  }

  function isLeftIn({ requestsAtMs, furtherAtMs }: ServiceWindow): boolean {
    return furtherAtMs.length + 1 <= requestsAtMs.length * ratio + allowance();
  }

  return {
    recordRequest(serviceName, nowMs) {
      current(serviceName, nowMs).requestsAtMs.push(nowMs);
    },
    tryTake(serviceName, nowMs) {
      const window = current(serviceName, nowMs);
      const isAllowed = isLeftIn(window);
      if (isAllowed) {
        window.furtherAtMs.push(nowMs);
      }
      return isAllowed;
    },
    hasLeft: (serviceName, nowMs) => isLeftIn(current(serviceName, nowMs)),
    charge(serviceName, nowMs) {
      current(serviceName, nowMs).furtherAtMs.push(nowMs);
    },
  };
}

function dropOlder(timesMs: number[], fromMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs > fromMs);
  timesMs.splice(0, kept < 0 ? timesMs.length : kept);
}
