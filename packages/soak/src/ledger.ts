/** Records callers' requests with their outcomes, and arrivals at backend servers, by request. */
import type { WorkerArrival } from '@bluebellhitch/platform-standins';
import type { RouteKind } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { PresentedKey } from './keyring';

/** The outcome of a request as its caller saw it. */
export type RequestOutcome =
  /** A complete response with the seal of a backend server. */
  | { kind: 'whole'; status: number; body: string }
  /** A response of the router itself which states that the request has not run and will not. */
  | { kind: 'refused'; status: number; retryAfterMs?: number }
  /** Any other response of the router itself. */
  | { kind: 'failed'; status: number }
  /** A response that began but did not complete. */
  | { kind: 'broken'; status: number; body: string }
  | { kind: 'no-answer'; detail: string; isNewConnection: boolean }
  /** With what had arrived of a response. */
  | { kind: 'caller-left'; status?: number; body?: string };

export interface SentRequest {
  id: string;
  routerName: string;
  routeName: string;
  routeKind: RouteKind;
  /** A stream that may be resumed, or an idempotent request: it may run more than once. */
  isRepeatable: boolean;
  timeoutMs: number;
  shownKey: PresentedKey;
  /** Sent to find out which configuration a router has; 404 can be correct. */
  isProbe: boolean;
  /** It crashes each server that runs it, so no complete response is expected. */
  isCrashing: boolean;
  /** The stream that the request takes up, by the id of the request that brought its first event. */
  resumes?: { streamId: string; afterEvent: number };
  sentAtMs: number;
  endedAtMs?: number;
  end?: RequestOutcome;
}

export interface Arrival extends WorkerArrival {
  serverId: string;
  serviceName: string;
  atMs: number;
}

export interface Ledger {
  recordRequest(request: Omit<SentRequest, 'sentAtMs'>): SentRequest;
  recordArrival(arrival: Omit<Arrival, 'atMs'>): void;
  request(id: string): SentRequest | undefined;
  requests(): IterableIterator<SentRequest>;
  arrivals(): readonly Arrival[];
  arrivalsOf(requestId: string): readonly Arrival[];
  /** How many times servers ran the request, not counting remote prefills. */
  runCount(requestId: string): number;
}

export interface LedgerOptions {
  onArrival(arrival: Arrival): void;
}

export function createLedger({ onArrival }: LedgerOptions): Ledger {
  const requests = new Map<string, SentRequest>();
  const arrivals: Arrival[] = [];
  const byRequest = new Map<string, Arrival[]>();

  const arrivalsOf = (requestId: string) => byRequest.get(requestId) ?? [];

  return {
    recordRequest(fields) {
      const request: SentRequest = { ...fields, sentAtMs: monotonicNowMs() };
      requests.set(request.id, request);
      return request;
    },
    recordArrival(fields) {
      const arrival: Arrival = { ...fields, atMs: monotonicNowMs() - fields.waitedMs };
      arrivals.push(arrival);
      byRequest.set(arrival.requestId, [...arrivalsOf(arrival.requestId), arrival]);
      onArrival(arrival);
    },
    request: (id) => requests.get(id),
    requests: () => requests.values(),
    arrivals: () => arrivals,
    arrivalsOf,
    runCount: (requestId) =>
      arrivalsOf(requestId).filter(({ isPrefill, hasRun }) => hasRun && !isPrefill).length,
  };
}
