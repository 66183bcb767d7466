/**
 * What the router asks of backend servers. One implementation for each interface that they speak. All
 * calls resolve; none retries. Time-outs are in milliseconds from the call on.
 */
import type { ReportedRun } from '@bluebellhitch/decisions';
import type { BackendServer, CallerRequest, Stage } from './model';

/** Why a call had no effect at the backend server. */
export type NotRunCause =
  /** No connection came about. */
  | { kind: 'unreachable'; detail: string }
  /** The server said that it did not run the request. */
  | { kind: 'rejected'; status: number }
  /** The address belongs to another server now. */
  | { kind: 'other-server' }
  /** Nothing was sent: by the moment of sending the server wanted nothing more. */
  | { kind: 'withheld' };

/** A call without a usable answer: it may have taken effect. */
export interface LostAnswer {
  kind: 'lost';
  detail: string;
  /** The caller or a time-out ended it, rather than the server. */
  isOurs: boolean;
}

export type CallOutcome<Value> =
  { kind: 'done'; value: Value } | { kind: 'not-run'; cause: NotRunCause } | LostAnswer;

/** What a backend server says of itself in the head of an answer. */
export type ServerWord =
  /** It takes so many requests a second from all routers together. */
  | { kind: 'limit'; requestsPerSecond: number }
  /** It has taken a request without naming a limit. */
  | { kind: 'no-limit' }
  /** It leaves, and gets nothing new for the rest of its life. */
  | { kind: 'leaving' }
  /** It wants nothing from this router for so long. */
  | { kind: 'rest'; forMs: number }
  /** It says something that can't be read. */
  | { kind: 'unreadable'; about: 'limit' | 'leaving' | 'rest'; text: string };

/** Memory and a slot set aside for one request. */
export interface Reservation {
  id: string;
  server: BackendServer;
  tokens: number;
}

/** A prompt's KV cache, kept by the server that computed it until it is taken or released. */
export interface PrefillResult {
  handle: string;
  server: BackendServer;
  tokens: number;
}

/** An engine's load as it reports it; some hundred milliseconds old. */
export interface EngineLoad {
  stage: Stage;
  /** Start of the engine's life in Unix milliseconds, where it tells it. */
  bornAtMs?: number;
  waiting: number;
  running: number;
  /** Memory that cannot yield, with what is reserved. */
  usedTokens: number;
  totalTokens: number;
  reservedTokens: number;
  isBusyWithOrder: boolean;
  isDraining: boolean;
  /** Until it is gone, where it knows. */
  leavesInMs?: number;
  /** Orders accepted in this life of the engine. */
  orderCount: number;
  /** Those in progress, where it lists them. */
  runs: ReportedRun[];
}

export interface AnswerBody {
  /** Starts the flow; exactly one of `onEnd` and `onLost` follows. */
  read(reader: BodyReader): void;
  pause(): void;
  resume(): void;
}

export interface BodyReader {
  onData(chunk: Buffer): void;
  /** The body is whole. */
  onEnd(): void;
  onLost(detail: string): void;
}

/** The head of a backend server's answer; the body flows once it is read. */
export interface BackendAnswer {
  status: number;
  /** Names and values by turns, without those of the connection. */
  headers: readonly string[];
  /** Proved to come from the server for this request. */
  isSealed: boolean;
  body: AnswerBody;
}

export interface RunOptions {
  /** What is left to the caller: the server stops work then. */
  remainingMs: number;
  /** The time that we wait for the answer's head. */
  headTimeoutMs: number;
  signal: AbortSignal;
  reservation?: Reservation;
  prefill?: PrefillResult;
  /** Go on after this event. */
  lastEventId?: number;
}

export interface PrefillOptions {
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

/** An order to an engine: refused where `expectedOrderCount` no longer holds. */
export interface StageOrder {
  stage: Stage;
  holderId: string;
  fencingNumber: number;
  expectedOrderCount: number;
}

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
  ): Promise<CallOutcome<BackendAnswer>>;
  readLoad(server: BackendServer, timeoutMs: number): Promise<CallOutcome<EngineLoad>>;
  orderStage(
    server: BackendServer,
    order: StageOrder,
    timeoutMs: number,
  ): Promise<CallOutcome<'accepted' | 'holds' | 'refused'>>;
  /** Closes the connections to an address that no server uses any more. */
  forget(address: string): void;
  close(): Promise<void>;
}
