/** Checks by arrivals that routers respect the notices of servers that they are leaving or need a backoff. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Disruptions } from './disruptions';
import { promises, type Findings, type PromiseName } from './findings';
import type { Arrival, Ledger, SentRequest } from './ledger';

export interface NoticeChecksOptions {
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
}

export interface NoticeChecks {
  /** The server's responses say from now on that it is leaving. */
  noteLeaving(serverId: string): void;
  /** The server rejects all requests and announces a backoff with each; call the returned function when it stops. */
  beginBackoff(serverId: string, restMs: number): () => void;
  /** Checks all notices at the end of a run. */
  checkAll(): void;
}

/** A period in which a router that has read a notice must send nothing to the server. */
interface QuietPeriod {
  serverId: string;
  routerName: string;
  /** When the caller had its response, so that the router must have read the notice. */
  fromMs: number;
  toMs: number;
}

interface BackoffNotice {
  serverId: string;
  restMs: number;
  fromMs: number;
  toMs: number;
}

export function createNoticeChecks(options: NoticeChecksOptions): NoticeChecks {
  const { ledger, findings, disruptions } = options;
  const leavingSinceMs = new Map<string, number>();
  const backoffs: BackoffNotice[] = [];

  /** Whether this is the only run of a request with a complete response, so the router has read the server's notice. */
  function wasLeavingNoticeRead(arrival: Arrival, { end }: SentRequest): boolean {
    const runs = ledger.arrivalsOf(arrival.requestId).filter(({ isPrefill }) => !isPrefill);
    return end?.kind === 'whole' && runs.length === 1 && runs[0] === arrival;
  }

  function quietPeriodAfterLeaving(
    arrival: Arrival,
    request: SentRequest,
  ): QuietPeriod | undefined {
    const { serverId, atMs } = arrival;
    const hasNotice = atMs >= (leavingSinceMs.get(serverId) ?? Infinity);
    return hasNotice && wasLeavingNoticeRead(arrival, request)
      ? createQuietPeriod(arrival, request, Infinity)
      : undefined;
  }

  /** A refusal states that nothing will run, so the router has read the server's response that it did not run it. */
  function quietPeriodAfterBackoff(
    arrival: Arrival,
    request: SentRequest,
  ): QuietPeriod | undefined {
    const { serverId, atMs, hasRun } = arrival;
    const backoff = backoffs.find(
      (one) => one.serverId === serverId && one.fromMs <= atMs && atMs <= one.toMs,
    );
    const wasNoticeRead =
      request.end?.kind === 'refused' && ledger.arrivalsOf(request.id).length === 1 && !hasRun;
    return backoff !== undefined && wasNoticeRead
      ? createQuietPeriod(arrival, request, atMs + backoff.restMs)
      : undefined;
  }

  function createQuietPeriod(
    { serverId }: Arrival,
    request: SentRequest,
    toMs: number,
  ): QuietPeriod {
    const { routerName, endedAtMs: fromMs = Infinity } = request;
    return { serverId, routerName, fromMs, toMs };
  }

  function collect(
    createPeriod: (arrival: Arrival, request: SentRequest) => QuietPeriod | undefined,
  ): QuietPeriod[] {
    return ledger.arrivals().flatMap((arrival) => {
      const request = ledger.request(arrival.requestId);
      return (request && createPeriod(arrival, request)) ?? [];
    });
  }

  function check(promise: PromiseName, periods: readonly QuietPeriod[]): void {
    const arrivals = ledger.arrivals();
    periods.forEach((period) => {
      const violation = arrivals.find((arrival) => violates(arrival, period));
      if (violation !== undefined) {
        const sinceMs = Math.round(violation.atMs - period.fromMs);
        const detail = `${period.routerName} sent to ${period.serverId} ${sinceMs} ms after its word`;
        findings.add(promise, detail, violation.requestId);
      }
    });
  }

  /** Requests that callers sent before the router had read the notice do not count. */
  function violates({ serverId, atMs, requestId }: Arrival, period: QuietPeriod): boolean {
    const request = ledger.request(requestId);
    return (
      serverId === period.serverId &&
      request?.routerName === period.routerName &&
      request.sentAtMs > period.fromMs &&
      atMs < period.toMs &&
      !hasRestarted(period.routerName, period.fromMs, atMs)
    );
  }

  function hasRestarted(routerName: string, fromMs: number, toMs: number): boolean {
    return disruptions
      .all()
      .some(
        ({ subject, cause, ...one }) =>
          subject.kind === 'router' &&
          subject.name === routerName &&
          (cause === 'killed' || cause === 'stopped') &&
          one.fromMs <= toMs &&
          one.toMs >= fromMs,
      );
  }

  return {
    noteLeaving: (serverId) => leavingSinceMs.set(serverId, monotonicNowMs()),
    beginBackoff(serverId, restMs) {
      const backoff = { serverId, restMs, fromMs: monotonicNowMs(), toMs: Infinity };
      backoffs.push(backoff);
      return () => {
        backoff.toMs = Math.min(backoff.toMs, monotonicNowMs());
      };
    },
    checkAll() {
      check(promises.leavingWord, collect(quietPeriodAfterLeaving));
      check(promises.restWord, collect(quietPeriodAfterBackoff));
    },
  };
}
