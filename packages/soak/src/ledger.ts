/** What callers sent and were told, and what reached backend servers, by request. */
import type { WorkerArrival } from '@bluebellhitch/platform-standins';
import type { RouteKind } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { ShownKey } from './keyring';

/** How a request looked to its caller. */
export type RequestEnd =
  /** A whole answer with the seal of a backend server. */
  | { kind: 'whole'; status: number; body: string }
  /** The router's own word that nothing ran and nothing will. */
  | { kind: 'refused'; status: number; retryAfterMs?: number }
  /** Any other answer of the router's own. */
  | { kind: 'failed'; status: number }
  /** An answer that began and did not come to its end. */
  | { kind: 'broken'; status: number; body: string }
  | { kind: 'no-answer'; detail: string; isNewConnection: boolean }
  | { kind: 'caller-left' };

export interface SentRequest {
  id: string;
  routerName: string;
  routeName: string;
  routeKind: RouteKind;
  /** A stream that may be resumed, or an idempotent request: it may run more than once. */
  isRepeatable: boolean;
  timeoutMs: number;
  shownKey: ShownKey;
  /** Sent to see which configuration a router has: 404 may be right. */
  isProbe: boolean;
  sentAtMs: number;
  endedAtMs?: number;
  end?: RequestEnd;
}

export interface Arrival extends WorkerArrival {
  serverId: string;
  serviceName: string;
  atMs: number;
}

export interface Ledger {
  send(request: Omit<SentRequest, 'sentAtMs'>): SentRequest;
  arrive(arrival: Omit<Arrival, 'atMs'>): void;
  request(id: string): SentRequest | undefined;
  requests(): IterableIterator<SentRequest>;
  arrivals(): readonly Arrival[];
  arrivalsOf(requestId: string): readonly Arrival[];
  /** Times that a server ran the request, prompts read apart not counted. */
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
    send(fields) {
      const request: SentRequest = { ...fields, sentAtMs: monotonicNowMs() };
      requests.set(request.id, request);
      return request;
    },
    arrive(fields) {
      const arrival: Arrival = { ...fields, atMs: monotonicNowMs() };
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
