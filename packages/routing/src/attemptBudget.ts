/**
 * Limits the further attempts (retries, resumptions, repeated prefills) of a service to a share of its requests in a
 * sliding window plus a small allowance. Each process counts only its own requests and has its own share of the
 * allowance, so that all processes together stay within the limit.
 *
 * A process that starts does not know what its predecessor has used in the same window. It has its initial allowance
 * only; within a window, both the allowance and the share of its requests grow to the full ones.
 *
 * A process that has used up its own attempts may use those that others have lent to it. What it has lent itself counts
 * as used. Only a part of the allowance is lent, and only by a process that has run for a whole window: what requests
 * earn must be used in their window, and a process that has just started does not know what its predecessor has lent.
 */
import { createBoundedMap, type AttemptLoans, type LentLoan } from '@bluebellhitch/decisions';

export interface AttemptBudgetOptions {
  /** Further attempts per request in the window. */
  ratio: number;
  /** Additional further attempts per window: this process's current share. */
  allowance: () => AttemptAllowance;
  windowMs: number;
  /** Start of this process. */
  startedAtMs: number;
  /** Attempts lent and borrowed; none if absent. */
  loans?: AttemptLoans;
  /** Called when an attempt was taken or refused and few are left. */
  onLow?: (serviceName: string) => void;
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
  /** Lends up to `count` attempts to another router; returns the number lent. */
  lend(loan: LentLoan, nowMs: number): number;
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
/** With fewer left, others are asked before a request needs the attempt. */
const lowCount = 2;
/** Borrowed attempts that expire within this time no longer count as left. */
const renewMs = 500;
/** A lender keeps the rest of what it has left. */
const lentShare = 0.5;

export function createAttemptBudget(options: AttemptBudgetOptions): AttemptBudget {
  const { ratio, windowMs, startedAtMs, loans, onLow = () => undefined } = options;
  const windows = createBoundedMap<string, ServiceWindow>({ maxEntries: maxServices });

  function currentWindow(serviceName: string, nowMs: number): ServiceWindow {
    const window = windows.getOrCreate(serviceName, createServiceWindow);
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

  /** Attempts of this router's own that are left; may be negative. */
  function leftOf(serviceName: string, window: ServiceWindow, nowMs: number): number {
    const lentCount = loans?.lentCount(serviceName, nowMs) ?? 0;
    const usedCount = window.attemptsAtMs.length + window.reservedCount + lentCount;
    return Math.floor(allowedAttempts(window, nowMs) - usedCount);
  }

  function checkLow(serviceName: string, window: ServiceWindow, nowMs: number): void {
    const borrowedCount = loans?.borrowedCount(serviceName, nowMs + renewMs) ?? 0;
    if (Math.max(0, leftOf(serviceName, window, nowMs)) + borrowedCount < lowCount) {
      onLow(serviceName);
    }
  }

  /** Takes an attempt of this router's own, or else a borrowed one. */
  function take(
    serviceName: string,
    window: ServiceWindow,
    nowMs: number,
  ): AttemptReservation | undefined {
    if (leftOf(serviceName, window, nowMs) < 1) {
      return loans?.takeBorrowed(serviceName, nowMs);
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
  }

  function reserve(serviceName: string, nowMs: number): AttemptReservation | undefined {
    const window = currentWindow(serviceName, nowMs);
    const reservation = take(serviceName, window, nowMs);
    checkLow(serviceName, window, nowMs);
    return reservation;
  }

  function lendable(
    serviceName: string,
    { lentCount, borrowedCount }: AttemptLoans,
    nowMs: number,
  ) {
    if (borrowedCount(serviceName, nowMs) > 0) {
      return 0;
    }
    // Not created here: the question may name any service.
    const window = windows.has(serviceName)
      ? currentWindow(serviceName, nowMs)
      : createServiceWindow();
    const left = leftOf(serviceName, window, nowMs);
    const maxLent = Math.floor(options.allowance().full) - lentCount(serviceName, nowMs);
    return Math.min(Math.floor(left * lentShare), maxLent);
  }

  return {
    recordRequest(serviceName, nowMs) {
      currentWindow(serviceName, nowMs).requestsAtMs.push(nowMs);
    },
    tryTake(serviceName, nowMs) {
      const reservation = reserve(serviceName, nowMs);
      reservation?.use(nowMs);
      return reservation !== undefined;
    },
    reserve,
    lend(loan, nowMs) {
      const { serviceName, lifetimeMs } = loan;
      const isRunning = nowMs - startedAtMs >= windowMs;
      if (loans === undefined || !isRunning || lifetimeMs > windowMs) {
        return 0;
      }
      const count = Math.min(loan.count, lendable(serviceName, loans, nowMs));
      return count > 0 && loans.lend({ ...loan, count }, nowMs) ? count : 0;
    },
  };
}

function createServiceWindow(): ServiceWindow {
  return { requestsAtMs: [], attemptsAtMs: [], reservedCount: 0 };
}

function dropOlder(timesMs: number[], fromMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs > fromMs);
  timesMs.splice(0, kept < 0 ? timesMs.length : kept);
}
