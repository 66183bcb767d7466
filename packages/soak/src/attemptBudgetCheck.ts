/**
 * Compares the further attempts that reached servers with the budget of all routers together: in every window a share
 * of the requests for the service plus an allowance.
 */
import type { PlatformBounds } from '@bluebellhitch/platform';
import type { Route } from '@bluebellhitch/routing';
import { promises, type Findings } from './findings';
import type { Arrival, Ledger } from './ledger';

export interface AttemptBudgetCheckOptions {
  ledger: Ledger;
  findings: Findings;
  routes: readonly Route[];
  bounds: Pick<PlatformBounds, 'attemptRatio' | 'attemptAllowance' | 'attemptWindowMs'>;
}

/** The window in which a service came closest to its budget. */
export interface FullestWindow {
  service: string;
  furtherAttempts: number;
  allowed: number;
  /** Above 1 the budget was exceeded. */
  share: number;
}

export interface AttemptBudgetCheck {
  /**
   * Reports each service that exceeded its budget in some window; call once, after the last arrival. Returns the fullest
   * window of the run; undefined if there was no further attempt.
   */
  checkAll(): FullestWindow | undefined;
}

/** The requests of a window are counted in it, half a window earlier or one window earlier, whichever gives most. */
const requestWindowShifts = [0, 0.5, 1];

export function createAttemptBudgetCheck(options: AttemptBudgetCheckOptions): AttemptBudgetCheck {
  const { ledger, findings, bounds } = options;

  function fullestOf(service: string): FullestWindow | undefined {
    const attemptTimes = furtherAttempts(ledger, service).map(({ atMs }) => atMs);
    const requestTimes = requestTimesOf(options, service);
    return attemptTimes
      .map((endMs) => createWindow(service, endMs, attemptTimes, requestTimes))
      .reduce<FullestWindow | undefined>(fuller, undefined);
  }

  function createWindow(
    service: string,
    endMs: number,
    attemptTimes: readonly number[],
    requestTimes: readonly number[],
  ): FullestWindow {
    const { attemptRatio, attemptAllowance, attemptWindowMs } = bounds;
    const countUntil = (timesMs: readonly number[], untilMs: number) =>
      timesMs.filter((timeMs) => timeMs > untilMs - attemptWindowMs && timeMs <= untilMs).length;
    const requestCounts = requestWindowShifts.map((shift) =>
      countUntil(requestTimes, endMs - shift * attemptWindowMs),
    );
    const count = countUntil(attemptTimes, endMs);
    const allowed = attemptRatio * Math.max(...requestCounts) + attemptAllowance;
    return { service, furtherAttempts: count, allowed, share: count / allowed };
  }

  const fullestWindows = () =>
    [...new Set(ledger.arrivals().map(({ serviceName }) => serviceName))].flatMap(
      (service) => fullestOf(service) ?? [],
    );

  return {
    checkAll() {
      const windows = fullestWindows();
      windows
        .filter(({ share }) => share > 1)
        .forEach(({ service, furtherAttempts: count, allowed }) =>
          findings.add(
            promises.budget,
            `${service}: ${count} further attempts, ${allowed.toFixed(1)} allowed`,
          ),
        );
      return windows.reduce<FullestWindow | undefined>(fuller, undefined);
    },
  };
}

function fuller(known: FullestWindow | undefined, next: FullestWindow): FullestWindow {
  return known === undefined || next.share > known.share ? next : known;
}

/** All arrivals but a request's first run and the first prefill that a server accepted. */
function furtherAttempts(ledger: Ledger, service: string): Arrival[] {
  return ledger
    .arrivals()
    .filter((arrival) => arrival.serviceName === service && isFurtherAttempt(ledger, arrival));
}

function isFurtherAttempt(ledger: Ledger, arrival: Arrival): boolean {
  const first = ledger
    .arrivalsOf(arrival.requestId)
    .find(({ isPrefill, hasRun }) => isPrefill === arrival.isPrefill && (!isPrefill || hasRun));
  return first !== arrival;
}

/** When requests for the service were sent, whether they reached it or not. */
function requestTimesOf(
  { ledger, routes }: AttemptBudgetCheckOptions,
  service: string,
): readonly number[] {
  const serviceOfRoute = new Map(
    routes.map(({ name, targets }) => [name, targets[0]?.serviceName]),
  );
  return [...ledger.requests()]
    .filter(({ id, routeName }) => {
      const [first] = ledger.arrivalsOf(id);
      return (first?.serviceName ?? serviceOfRoute.get(routeName)) === service;
    })
    .map(({ sentAtMs }) => sentAtMs);
}
