/**
 * Calls to backend servers, with one implementation for each protocol. Calls report failures in their outcome, never
 * reject, and are not retried. Time-outs are in milliseconds and start with the call.
 */
import type { ReportedRun } from '@bluebellhitch/decisions';
import type { BackendServer, CallerRequest, Stage } from './model';

/** Reason why a call had no effect at the backend server. */
export type NotRunCause =
  /** The call was not sent: no connection was available. */
  | { kind: 'unreachable'; detail: string }
  /** The server stated that it did not execute the request. */
  | { kind: 'rejected'; status: number }
  /** The address is now used by another server. */
  | { kind: 'other-server' }
  /** The call was not sent: by the time of sending, the server no longer accepted requests. */
  | { kind: 'withheld' };

/** A call without a usable response: it may have had its effect. */
export interface LostResponse {
  kind: 'lost';
  detail: string;
  /** Ended on the router's side, by an abort or a time-out, rather than by the server. */
  isOurs: boolean;
}

export type CallOutcome<Value> =
  { kind: 'done'; value: Value } | { kind: 'not-run'; cause: NotRunCause } | LostResponse;

/** A statement of a backend server about itself in the headers of a response. */
export type ServerNotice =
  /** The server accepts this many requests per second from all routers together. */
  | { kind: 'limit'; requestsPerSecond: number }
  /** The server has accepted a request without stating a limit. */
  | { kind: 'no-limit' }
  /** The server is shutting down, and gets no new requests until it has restarted. */
  | { kind: 'leaving' }
  /** Backoff: the server asks this router for no requests during this time. */
  | { kind: 'rest'; forMs: number }
  /** A statement that cannot be parsed. */
  | { kind: 'unreadable'; about: 'limit' | 'leaving' | 'rest'; text: string };

/** Memory and a slot that an engine has reserved for one request. */
export interface Reservation {
  id: string;
  server: BackendServer;
  tokens: number;
}

/** A prompt's KV cache, kept by the server that computed it until it is transferred or released. */
export interface PrefillResult {
  handle: string;
  server: BackendServer;
  tokens: number;
}

/** An engine's load report, some hundred milliseconds old. */
export interface EngineLoad {
  stage: Stage;
  /** Start time of the engine's incarnation in Unix milliseconds, if it reports it. */
  bornAtMs?: number;
  waiting: number;
  running: number;
  /** Memory that cannot be evicted, including reserved memory. */
  usedTokens: number;
  totalTokens: number;
  reservedTokens: number;
  isBusyWithOrder: boolean;
  isDraining: boolean;
  /** Time until the engine stops, if it knows. */
  leavesInMs?: number;
  /** Number of orders accepted by this incarnation of the engine. */
  orderCount: number;
  /** Runs in progress; empty if the engine does not list them. */
  runs: ReportedRun[];
}

export interface ResponseBody {
  /** Starts the flow of data; it ends with exactly one call of `onEnd` or `onLost`. */
  read(reader: BodyReader): void;
  pause(): void;
  resume(): void;
  /** Closes the connection; the body ends as lost. */
  abandon(reason: string): void;
  /** Tells how many bytes of the body its reader keeps. Too many of all responses together: the longest is abandoned. */
  noteKept?(bytes: number): void;
  /** Bytes that its connection has received since the call began. */
  receivedBytes?(): number;
  /** The body has neither a length nor chunks, and ends with its connection. */
  isUnframed?: boolean;
}

export interface BodyReader {
  onData(chunk: Buffer): void;
  /** The body is complete. */
  onEnd(): void;
  onLost(detail: string): void;
}

/** The head of a backend server's response; the body flows once `body.read` is called. */
export interface BackendResponse {
  status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  headers: readonly string[];
  /** Carries the seal which proves that the server sent it for this request. */
  isSealed: boolean;
  body: ResponseBody;
}

export interface RunOptions {
  /** Asked just before sending, after any wait for a connection; the call is withheld if it returns false. */
  maySend?: () => boolean;
  /** Time left until the caller's deadline; the server stops work after it. */
  remainingMs: number;
  /** Time to wait for the head of the response. */
  headTimeoutMs: number;
  signal: AbortSignal;
  reservation?: Reservation;
  prefill?: PrefillResult;
  /** Resume after the event with this id. */
  lastEventId?: number;
}

export interface PrefillOptions {
  /** See `RunOptions`. */
  maySend?: () => boolean;
  remainingMs: number;
  timeoutMs: number;
  signal: AbortSignal;
}

export interface ReserveOptions {
  tokens: number;
  lifetimeMs: number;
  timeoutMs: number;
  signal: AbortSignal;
}

/** An order to an engine to change its stage. The engine refuses it if `expectedOrderCount` is outdated. */
export interface StageOrder {
  stage: Stage;
  holderId: string;
  fencingNumber: number;
  expectedOrderCount: number;
}

/** Whether an incarnation of a server still runs; `unknown` if it could not be determined. */
export type ServerPresence = 'running' | 'ended' | 'unknown';

/** What a server states of its own health; `unknown` if it does not answer, or is too busy to. */
export type ServerHealth = 'healthy' | 'unhealthy' | 'unknown';

export interface BackendApi {
  reserve(server: BackendServer, options: ReserveOptions): Promise<CallOutcome<Reservation>>;
  releaseReservation(reservation: Reservation): void;
  prefill(
    server: BackendServer,
    request: CallerRequest,
    options: PrefillOptions,
  ): Promise<CallOutcome<PrefillResult>>;
  releasePrefill(result: PrefillResult): void;
  run(
    server: BackendServer,
    request: CallerRequest,
    options: RunOptions,
  ): Promise<CallOutcome<BackendResponse>>;
  readLoad(server: BackendServer, timeoutMs: number): Promise<CallOutcome<EngineLoad>>;
  /** Resolves with 'holds' if the engine already has that stage. */
  orderStage(
    server: BackendServer,
    order: StageOrder,
    timeoutMs: number,
  ): Promise<CallOutcome<'accepted' | 'holds' | 'refused'>>;
  /** Asks the server's address whether this incarnation of the server still runs there. */
  probe(server: BackendServer, timeoutMs: number): Promise<ServerPresence>;
  /** Asks this incarnation of the server for its health; a server that is leaving is unhealthy. */
  readHealth(server: BackendServer, timeoutMs: number): Promise<ServerHealth>;
  /** Closes the idle connections to an address that no server uses any more. */
  closeIdleConnections(address: string): void;
  close(): Promise<void>;
}
