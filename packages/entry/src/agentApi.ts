/**
 * Client interface of an entry to the agents that run beside backend servers. `createHttpAgentClient` implements it
 * over tRPC and HTTP; tests use fakes.
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
  /** No connection: the agent cannot have received the call. */
  | { kind: 'not-sent'; detail: string }
  /** No response in time: the agent may or may not have acted. */
  | { kind: 'timeout'; detail: string }
  /** The connection broke after the call was sent. */
  | { kind: 'lost'; detail: string }
  | { kind: 'malformed'; detail: string }
  /** The entry cancelled the call. */
  | { kind: 'cancelled' };

export interface AgentCallOptions {
  timeoutMs: number;
  signal?: AbortSignal;
}

/** Error of opening a stream: a refusal by the agent, or a failed call. */
export type StreamOpenError = AgentCallError | AgentRefusal;

/** A plain call that an entry forwards to an agent. */
export interface PlainCall {
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  headers: Record<string, string | string[]>;
  body?: Readable | Buffer;
  /** Time within which the response head must arrive. */
  headTimeoutMs: number;
  signal: AbortSignal;
}

/** Response to a plain call; `body` must be read or destroyed. */
export interface PlainResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Readable;
  load?: LoadHint;
  /** Set if the agent refused the call instead of forwarding it to the backend server. */
  refusal?: AgentRefusal;
}

/** In each call, `address` is the agent's `http://ip:port`. */
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
  /** The iteration ends without an `end` or `failed` frame if the connection broke. */
  openStream(
    address: string,
    request: StreamRequest,
    options: AgentCallOptions,
  ): ResultAsync<AsyncIterable<StreamFrame>, StreamOpenError>;
  plain(address: string, call: PlainCall): ResultAsync<PlainResponse, AgentCallError>;
}
