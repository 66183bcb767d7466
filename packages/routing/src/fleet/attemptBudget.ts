/**
 * Limits the further attempts (retries, resumptions, repeated prefills) of a service to a share of its requests in a
 * sliding window plus a small allowance. Each process counts only its own requests and has its own share of the
 * allowance, so that all processes together stay within the limit.
 *
 * A limit by the requests of one window would not add up: the windows of two processes do not end together, and a process
 * that starts does not know what its predecessor has used. So each process keeps its attempts, in every window that may
 * still contain them, within half the ratio to the requests of that window and the one before it. These sums do add up,
 * over processes that run side by side or one after the other, and the window with more requests has at least half of
 * both.
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
  /** One window after its start, and from then on. Before that, it grows to less: see `currentAllowance`. */
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
/** The requests of this many windows, the one that an attempt counts in and those before it, earn attempts. */
const requestWindows = 2;

export function createAttemptBudget(options: AttemptBudgetOptions): AttemptBudget {
  const { ratio, windowMs, startedAtMs } = options;
  const windows = createBoundedMap<string, ServiceWindow>({ maxEntries: maxServices });

  function currentWindow(serviceName: string, nowMs: number): ServiceWindow {
    const window = windows.getOrCreate(serviceName, () => ({
      requestsAtMs: [],
      attemptsAtMs: [],
      reservedCount: 0,
    }));
    dropOlder(window.requestsAtMs, nowMs - requestWindows * windowMs);
    dropOlder(window.attemptsAtMs, nowMs - windowMs);
    return window;
  }

  /**
   * Two processes that follow each other may use the full allowance and what the second one has grown to in the same
   * window. Ending the growth one initial allowance early leaves room for a third one.
   */
  function currentAllowance(nowMs: number): number {
    const { initial, full } = options.allowance();
    const grownShare = (nowMs - startedAtMs) / windowMs;
    return grownShare >= 1 ? full : initial + Math.max(0, full - 2 * initial) * grownShare;
  }

  /** Whether one more attempt fits into every window that contains it, even if no further request comes. */
  function hasRemaining(window: ServiceWindow, nowMs: number): boolean {
    const { requestsAtMs, attemptsAtMs, reservedCount } = window;
    const allowance = currentAllowance(nowMs);
    const isWithin = (attemptCount: number, requestCount: number) =>
      attemptCount <= (requestCount * ratio) / requestWindows + allowance;
    let olderRequests = 0;
    /** Requests of the two windows of which the later one ends just before an attempt at this time leaves it. */
    const requestsFrom = (atMs: number) => {
      while ((requestsAtMs[olderRequests] ?? Infinity) <= atMs - windowMs) {
        olderRequests += 1;
      }
      return requestsAtMs.length - olderRequests;
    };
    const newCount = reservedCount + 1;
    return (
      attemptsAtMs.every((atMs, index) =>
        isWithin(attemptsAtMs.length - index + newCount, requestsFrom(atMs)),
      ) && isWithin(newCount, requestsFrom(nowMs))
    );
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
