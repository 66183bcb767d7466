/**
 * Limits the further attempts (retries, resumptions, repeated prefills) of a service to a share of its requests in a
 * sliding window plus a small allowance. Each process counts only its own requests and has its own share of the
 * allowance, so that all processes together stay within the limit.
 *
 * A process that starts does not know what its predecessor has used in the same window. It has its initial allowance
 * only; within a window, both the allowance and the share of its requests grow to the full ones.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export interface AttemptBudgetOptions {
  /** Further attempts per request in the window. */
  ratio: number;
  /** Additional further attempts per window: this process's current share. */
  allowance: () => AttemptAllowance;
  windowMs: number;
  /** Start of this process. */
  startedAtMs: number;
}

export interface AttemptAllowance {
  /** At the start of a process. */
  initial: number;
  /** One window after its start, and from then on. */
  full: number;
}

export interface AttemptBudget {
  recordRequest(serviceName: string, nowMs: number): void;
  /** Takes one further attempt from the budget; false if none is left. */
  tryTake(serviceName: string, nowMs: number): boolean;
  /** Reserves a further attempt for a first call, which counts only if it fails; undefined if none is left. */
  reserve(serviceName: string, nowMs: number): AttemptReservation | undefined;
}

/** One of its functions must be called once, as soon as the call has ended. */
export interface AttemptReservation {
  /** The call was rejected or lost: the attempt counts from now on. */
  use(nowMs: number): void;
  /** The call does not count: the attempt is available again. */
  release(): void;
}

interface ServiceWindow {
  requestsAtMs: number[];
  attemptsAtMs: number[];
  reservedCount: number;
}

const maxServices = 512;
/**
 * The rest is a margin for windows of different routers, which do not end at the same moment: requests of a burst may
 * earn attempts of one window at one router and of the next at another.
 */
const usedRatioShare = 0.85;

export function createAttemptBudget(options: AttemptBudgetOptions): AttemptBudget {
  const { ratio, windowMs, startedAtMs } = options;
  const windows = createBoundedMap<string, ServiceWindow>({ maxEntries: maxServices });

  function currentWindow(serviceName: string, nowMs: number): ServiceWindow {
    const window = windows.getOrCreate(serviceName, () => ({
      requestsAtMs: [],
      attemptsAtMs: [],
      reservedCount: 0,
    }));
    dropOlder(window.requestsAtMs, nowMs - windowMs);
    dropOlder(window.attemptsAtMs, nowMs - windowMs);
    return window;
  }

  function allowedAttempts({ requestsAtMs }: ServiceWindow, nowMs: number): number {
    const { initial, full } = options.allowance();
    const grownShare = Math.min(1, (nowMs - startedAtMs) / windowMs);
    const earned = requestsAtMs.length * ratio * usedRatioShare;
    return initial + (earned + full - initial) * grownShare;
  }

  function hasRemaining(window: ServiceWindow, nowMs: number): boolean {
    const usedCount = window.attemptsAtMs.length + window.reservedCount;
    return usedCount + 1 <= allowedAttempts(window, nowMs);
  }

  return {
    recordRequest(serviceName, nowMs) {
      currentWindow(serviceName, nowMs).requestsAtMs.push(nowMs);
    },
    tryTake(serviceName, nowMs) {
      const window = currentWindow(serviceName, nowMs);
      const isAllowed = hasRemaining(window, nowMs);
      if (isAllowed) {
        window.attemptsAtMs.push(nowMs);
      }
      return isAllowed;
    },
    reserve(serviceName, nowMs) {
      const window = currentWindow(serviceName, nowMs);
      if (!hasRemaining(window, nowMs)) {
        return undefined;
      }
      window.reservedCount += 1;
      const release = () => {
        window.reservedCount -= 1;
      };
      return {
        use(usedAtMs) {
          release();
          window.attemptsAtMs.push(usedAtMs);
        },
        release,
      };
    },
  };
}

function dropOlder(timesMs: number[], fromMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs > fromMs);
  timesMs.splice(0, kept < 0 ? timesMs.length : kept);
}
