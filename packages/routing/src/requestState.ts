/** One request on its way: its route, its time, and what it has used of its attempts. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { CallerExchange } from './callerApi';
import type { CallerRequest, Refusal, Route, ServiceSettings } from './model';

export interface RequestState {
  exchange: CallerExchange;
  request: CallerRequest;
  route: Route;
  service: ServiceSettings;
  /** When the caller or the route's time-out gives up, on the monotonic clock. */
  endsAtMs: number;
  /** Aborts at `endsAtMs` and when the caller leaves. */
  signal: AbortSignal;
  /** Aborts at `endsAtMs`. */
  expiry: AbortSignal;
  /** Backend servers to which the request was sent. */
  sentCount: number;
  /** Servers that failed this request. */
  failedServerIds: Set<string>;
  /** The server that has the prompt in memory from a run that broke. */
  cachedAtServerId?: string;
  /** For the log: what happened, in order. */
  trail: TrailStep[];
}

export interface TrailStep {
  /** Since the request arrived. */
  atMs: number;
  detail: string;
}

export interface RequestStateOptions {
  exchange: CallerExchange;
  route: Route;
  service: ServiceSettings;
}

/** Starts the request's clock; call `end` once it has its answer. */
export function createRequestState(options: RequestStateOptions): {
  state: RequestState;
  end: () => void;
} {
  const { exchange, route, service } = options;
  const { request } = exchange;
  const endsAtMs = Math.min(request.arrivedAtMs + route.timeoutMs, request.deadlineAtMs);
  const expiry = new AbortController();
  const timer = setTimeout(() => expiry.abort(), Math.max(0, endsAtMs - monotonicNowMs()));
  const state: RequestState = {
    exchange,
    request,
    route,
    service,
    endsAtMs,
    signal: AbortSignal.any([exchange.signal, expiry.signal]),
    expiry: expiry.signal,
    sentCount: 0,
    failedServerIds: new Set(),
    trail: [],
  };
  return { state, end: () => clearTimeout(timer) };
}

export function noteStep(state: RequestState, detail: string): void {
  const atMs = Math.round(monotonicNowMs() - state.request.arrivedAtMs);
  state.trail.push({ atMs, detail });
}

export function remainingMs(state: RequestState): number {
  return state.endsAtMs - monotonicNowMs();
}

/** What to tell a caller whose request may have run and has no whole answer. */
export function lostRefusal(state: RequestState, detail: string): Refusal {
  return state.expiry.aborted ? { kind: 'timed-out' } : { kind: 'answer-lost', detail };
}
