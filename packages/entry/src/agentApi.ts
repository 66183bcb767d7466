/**
 * The agents beside backend servers as an entry sees them. One implementation talks trpc and HTTP;
 * tests put fakes behind the same interface.
 */
import type { ResultAsync } from 'neverthrow';
import type { Readable } from 'node:stream';
import type {
  AgentRefusal,
  AttemptReference,
  Bid,
  BidRequest,
  Heartbeat,
  HeartbeatReply,
  LoadHint,
  PrefillReply,
  PrefillRequest,
  ReserveReply,
  ReserveRequest,
  StreamFrame,
  StreamRequest,
} from '@bluebellhitch/protocol';

export type AgentCallError =
  /** No connection: the agent certainly did not see the call. */
  | { kind: 'not-sent'; detail: string }
  /** No answer in time: the agent may or may not have acted. */
  | { kind: 'timeout'; detail: string }
  /** The connection broke after the call was sent. */
  | { kind: 'lost'; detail: string }
  | { kind: 'malformed'; detail: string }
  /** The entry itself gave the call up. */
  | { kind: 'cancelled' };

export interface AgentCallOptions {
  timeoutMs: number;
  signal?: AbortSignal;
}

/** What opening a stream can fail with: a refusal by the agent, or a failed call. */
export type StreamOpenError = AgentCallError | AgentRefusal;

/** A plain call on its way to the agent. */
export interface PlainCall {
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  headers: Record<string, string | string[]>;
  body?: Readable | Buffer;
  /** Time until the response's head must have arrived. */
  headTimeoutMs: number;
  signal: AbortSignal;
}

/** The head of a plain answer; `body` must be read or destroyed. */
export interface PlainAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Readable;
  load?: LoadHint;
  /** Set where the agent itself answered instead of the backend server. */
  refusal?: AgentRefusal;
}

/** `address` is the agent's `http://ip:port` in each call. */
export interface AgentApi {
  bid(
    address: string,
    request: BidRequest,
    options: AgentCallOptions,
  ): ResultAsync<Bid, AgentCallError>;
  reserve(
    address: string,
    request: ReserveRequest,
    options: AgentCallOptions,
  ): ResultAsync<ReserveReply, AgentCallError>;
  prefill(
    address: string,
    request: PrefillRequest,
    options: AgentCallOptions,
  ): ResultAsync<PrefillReply, AgentCallError>;
  cancel(
    address: string,
    reference: AttemptReference,
    options: AgentCallOptions,
  ): ResultAsync<void, AgentCallError>;
  heartbeat(
    address: string,
    heartbeat: Heartbeat,
    options: AgentCallOptions,
  ): ResultAsync<HeartbeatReply, AgentCallError>;
  /** Iteration ends without an `end` or `failed` frame where the connection broke. */
  openStream(
    address: string,
    request: StreamRequest,
    options: AgentCallOptions,
  ): ResultAsync<AsyncIterable<StreamFrame>, StreamOpenError>;
  plain(address: string, call: PlainCall): ResultAsync<PlainAnswer, AgentCallError>;
}
