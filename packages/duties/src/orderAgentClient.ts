/** The agents beside engines as the order holder sees them, and the trpc client that talks to them. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import {
  bidSchema,
  innerPaths,
  orderReplySchema,
  workerStateSchema,
  type AgentRouter,
  type LoadHint,
  type OrderReply,
  type OrderRequest,
  type WorkerState,
} from '@bluebellhitch/protocol';
import { credentialHeaders, innerAudiences, type InnerCredentials } from '@bluebellhitch/security';

export interface OrderCallError {
  /** No answer: the call may or may not have had an effect. */
  kind: 'no-answer';
  detail: string;
}

/** `address` is the agent's `http://ip:port`. */
export interface OrderAgentClient {
  workerState(address: string): ResultAsync<WorkerState, OrderCallError>;
  /** The load of a worker, by a bid that reserves nothing. */
  load(address: string, service: string): ResultAsync<LoadHint, OrderCallError>;
  /** Answers when the engine has carried the order out, or after `timeoutMs`. */
  order(
    address: string,
    request: OrderRequest,
    timeoutMs: number,
  ): ResultAsync<OrderReply, OrderCallError>;
}

export interface OrderAgentClientOptions {
  /** Absent: agents that ask for credentials refuse every call. */
  credentials?: InnerCredentials;
  /** For counting bytes; default: the runtime's. */
  fetch?: typeof fetch;
  /** For calls that only read. */
  readTimeoutMs?: number;
  /** Clients kept; the one used longest ago is dropped. */
  maxClients?: number;
}

export function createOrderAgentClient(options: OrderAgentClientOptions = {}): OrderAgentClient {
  const { fetch: send, readTimeoutMs = 2000, maxClients = 256 } = options;
  const headers = credentialHeaders(options.credentials, innerAudiences.agent);
  const clients = new Map<string, TRPCClient<AgentRouter>>();

  function clientOf(address: string): TRPCClient<AgentRouter> {
    const url = `${address}${innerPaths.trpc}`;
    const client =
      clients.get(address) ??
      createTRPCClient<AgentRouter>({ links: [httpLink({ url, headers, fetch: send })] });
    clients.delete(address);
    clients.set(address, client);
    [...clients.keys()].slice(0, -maxClients).forEach((oldest) => clients.delete(oldest));
    return client;
  }

  return {
    workerState: (address) =>
      checked(
        workerStateSchema,
        clientOf(address).workerState.query(undefined, timeLimit(readTimeoutMs)),
      ),
    load: (address, service) =>
      checked(
        bidSchema,
        clientOf(address).bid.mutate(smallestBid(service), timeLimit(readTimeoutMs)),
      ).map(({ load }) => load),
    order: (address, request, timeoutMs) =>
      checked(orderReplySchema, clientOf(address).order.mutate(request, timeLimit(timeoutMs))),
  };
}

function checked<Schema extends z.ZodType>(
  schema: Schema,
  reply: Promise<unknown>,
): ResultAsync<z.infer<Schema>, OrderCallError> {
  const answer = ResultAsync.fromPromise(reply, (error) => noAnswer(String(error)));
  return answer.andThen((value): Result<z.infer<Schema>, OrderCallError> => {
    const parsed = schema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(noAnswer('unexpected reply'));
  });
}

function noAnswer(detail: string): OrderCallError {
  return { kind: 'no-answer', detail };
}

function timeLimit(timeoutMs: number): { signal: AbortSignal } {
  return { signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))) };
}

function smallestBid(service: string) {
  const className = 'standard';
  return { service, promptTokens: 0, maxOutputTokens: 1, prefixBlocks: [], className };
}
