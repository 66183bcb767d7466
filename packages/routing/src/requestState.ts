/** One request on its way: its route, its time, and what it has used of its attempts. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { CallerExchange } from './callerApi';
import type { CallerRequest, Refusal, Route, ServiceSettings } from './model';

/** Timers of one moment fire within this of each other. */
const timerSlackMs = 2;

export interface RequestState {
  exchange: CallerExchange;
  request: CallerRequest;
  route: Route;
  service: ServiceSettings;
  /** Of the workspace, or else of the route; 0 is the most urgent. */
  priority: number;
  /** Its key still opens, by the configuration in force; asked before each attempt. */
  mayStillRun: () => boolean;
  /** When the caller or the route's time-out gives up, on the monotonic clock. */
  endsAtMs: number;
  /** Aborts at `endsAtMs` and when the caller leaves. */
  signal: AbortSignal;
  /** Aborts at `endsAtMs`. */
  expiry: AbortSignal;
  /** Backend servers to which the request was sent. */
  sentCount: number;
  /** It has arrived at an address that is another server's by now. */
  wasMisdirected: boolean;
  /** A prefill engine has taken the request: its next call for a prompt is a further one. */
  hasReadPrompt: boolean;
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
  priority?: number;
  mayStillRun?: () => boolean;
}

/** Starts the request's clock; call `end` once it has its answer. */
export function createRequestState(options: RequestStateOptions): {
  state: RequestState;
  end: () => void;
} {
  const { exchange, route, service, priority = route.priority } = options;
  const { mayStillRun = () => true } = options;
  const { request } = exchange;
  const endsAtMs = Math.min(request.arrivedAtMs + route.timeoutMs, request.deadlineAtMs);
  const expiry = new AbortController();
  const timer = setTimeout(() => expiry.abort(), Math.max(0, endsAtMs - monotonicNowMs()));
  const state: RequestState = {
    exchange,
    request,
    route,
    service,
    priority,
    mayStillRun,
    endsAtMs,
    signal: AbortSignal.any([exchange.signal, expiry.signal]),
    expiry: expiry.signal,
    sentCount: 0,
    wasMisdirected: false,
    hasReadPrompt: false,
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

/**
 * What to tell a caller whose request may have run and has no whole answer. A call's own time-out ends with the request's
 * and may fire first: its caller would be told of a lost answer instead of a time-out, and so it is asked for the time.
 */
export function lostRefusal(state: RequestState, detail: string): Refusal {
  const isOver = state.expiry.aborted || remainingMs(state) <= timerSlackMs;
  return isOver ? { kind: 'timed-out' } : { kind: 'answer-lost', detail };
}
