/** State of one request in progress: its route, its deadline and the attempts made so far. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { CallerExchange } from '../callerApi';
import {
  notRunReasons,
  routeKinds,
  type CallerRequest,
  type Refusal,
  type Route,
  type ServiceSettings,
} from '../model';
import { createRequestIdentity, type RequestIdentity } from '../fleet/requestFingerprint';
import type { RelayPauses } from '../servers/streamPauses';

/** Timers that are set for the same moment fire within this time of each other. */
const timerToleranceMs = 2;

export interface RequestState {
  exchange: CallerExchange;
  request: CallerRequest;
  route: Route;
  service: ServiceSettings;
  /** The workspace's priority, or else the route's; 0 is the most urgent. */
  priority: number;
  /** Whether the current configuration still grants the request access; checked before each attempt. */
  isAccessGranted: () => boolean;
  /** Whether the request may run once more after it may have run; the current configuration counts too. */
  mayRepeat: () => boolean;
  identity: RequestIdentity;
  /** Time until the request may be sent to servers again; undefined if it may be sent now. */
  heldBackMs: () => number | undefined;
  /** The earliest of the caller's deadline, the route's time-out and the end of the router, on the monotonic clock. */
  endsAtMs: number;
  /** Aborts at `endsAtMs` and when the caller leaves. */
  signal: AbortSignal;
  /** Aborts at `endsAtMs`. */
  expiry: AbortSignal;
  /** When the request was last handed over for sending to a server, for the log and the metrics. */
  lastSentAtMs?: number;
  /** Number of backend servers that the request has reached. */
  sentCount: number;
  /** Attempts that count against the budget of the service, for the log. */
  furtherAttemptCount: number;
  /** It was sent to an address that now belongs to another server. */
  wasMisdirected: boolean;
  /** A prefill engine has already processed the prompt; the next prefill counts as a further attempt. */
  hasPrefilled: boolean;
  /** The software version that has begun the stream which the caller resumes; only its servers can continue it. */
  resumedVersion?: string;
  /** Servers that have failed this request. */
  failedServerIds: Set<string>;
  /** The server that still has the prompt in its cache, from a run that broke. */
  cachedAtServerId?: string;
  /** Pauses of the stream that was relayed, for the log and the metrics. */
  pauses?: RelayPauses;
  /** The software versions that have written events of the response, for the log and the metrics. */
  softwareVersions: string[];
  /** The version that has begun the stream is recorded for requests that resume it. */
  hasNotedOrigin: boolean;
  /** Steps of the request in order, for the log. */
  trail: TrailStep[];
}

export interface TrailStep {
  /** Time since the request arrived. */
  atMs: number;
  detail: string;
}

export interface RequestStateOptions {
  exchange: CallerExchange;
  route: Route;
  service: ServiceSettings;
  priority?: number;
  isAccessGranted?: () => boolean;
  /** Default: by the route. */
  mayRepeat?: () => boolean;
  identity?: RequestIdentity;
  heldBackMs?: () => number | undefined;
  resumedVersion?: string;
}

export interface StartedRequest {
  state: RequestState;
  /** Ends the request's time at once, if it has any left. */
  expire(): void;
  /** To be called once the request has its response. */
  end(): void;
}

/** Starts the request's timer. */
export function createRequestState(options: RequestStateOptions): StartedRequest {
  const { exchange, route, service, priority = route.priority } = options;
  const { isAccessGranted = () => true, heldBackMs = () => undefined } = options;
  const { mayRepeat = () => isRepeatable(route) } = options;
  const { request } = exchange;
  const { identity = createRequestIdentity(request) } = options;
  const endsAtMs = Math.min(request.arrivedAtMs + route.timeoutMs, request.deadlineAtMs);
  const expiry = new AbortController();
  const timer = setTimeout(() => expiry.abort(), Math.max(0, endsAtMs - monotonicNowMs()));
  const state: RequestState = {
    exchange,
    request,
    route,
    service,
    priority,
    isAccessGranted,
    mayRepeat,
    identity,
    heldBackMs,
    endsAtMs,
    signal: AbortSignal.any([exchange.signal, expiry.signal]),
    expiry: expiry.signal,
    sentCount: 0,
    furtherAttemptCount: 0,
    wasMisdirected: false,
    hasPrefilled: false,
    resumedVersion: options.resumedVersion,
    failedServerIds: new Set(),
    softwareVersions: [],
    hasNotedOrigin: false,
    trail: [],
  };
  return {
    state,
    expire() {
      state.endsAtMs = Math.min(state.endsAtMs, monotonicNowMs());
      expiry.abort();
    },
    end: () => clearTimeout(timer),
  };
}

/** Whether requests of the route do no harm if they run more than once. */
export function isRepeatable({ kind, allowsResume }: Route): boolean {
  return kind === routeKinds.idempotent || (kind === routeKinds.stream && allowsResume);
}

export function noteStep(state: RequestState, detail: string): void {
  const atMs = Math.round(monotonicNowMs() - state.request.arrivedAtMs);
  state.trail.push({ atMs, detail });
}

/** Why a request may not be sent, and how long at least. */
export type NotSendable =
  | { reason: typeof notRunReasons.staleConfiguration }
  | { reason: typeof notRunReasons.rejected }
  | { reason: typeof notRunReasons.quarantined; retryAfterMs: number };

/** Why the request may not be sent to a server any more; undefined if it may. To be checked before each sending. */
export function reasonNotToSend(state: RequestState): NotSendable | undefined {
  if (!state.isAccessGranted()) {
    noteStep(state, 'access no longer granted');
    return { reason: notRunReasons.staleConfiguration };
  }
  const retryAfterMs = state.heldBackMs();
  if (retryAfterMs === undefined) {
    return undefined;
  }
  noteStep(state, notRunReasons.quarantined);
  return { reason: notRunReasons.quarantined, retryAfterMs };
}

/** Whether the request may still be sent; for the check just before sending. */
export function maySend(state: RequestState): boolean {
  return reasonNotToSend(state) === undefined;
}

export function remainingMs(state: RequestState): number {
  return state.endsAtMs - monotonicNowMs();
}

/**
 * Refusal for a request that may have run and has no complete response. A call's own time-out ends at the same moment
 * as the request's and may fire first, so the remaining time is checked as well: otherwise the caller would be told of
 * a lost response instead of a time-out.
 */
export function createLostRefusal(state: RequestState, detail: string): Refusal {
  const hasTimedOut = state.expiry.aborted || remainingMs(state) <= timerToleranceMs;
  return hasTimedOut ? { kind: 'timed-out' } : { kind: 'answer-lost', detail };
}
