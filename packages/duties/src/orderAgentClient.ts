/** tRPC client for the agents of engines, as the order reconciler uses them. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import { createBoundedFetch } from '@bluebellhitch/ports';
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
  /** No usable response: the call may or may not have had an effect. */
  kind: 'no-answer';
  detail: string;
}

/** `address` is the agent's `http://ip:port`. */
export interface OrderAgentClient {
  workerState(address: string): ResultAsync<WorkerState, OrderCallError>;
  /** The load of a worker, from a bid request that reserves nothing. */
  load(address: string, service: string): ResultAsync<LoadHint, OrderCallError>;
  /** Resolves when the engine has executed the order, or fails after `timeoutMs`. */
  order(
    address: string,
    request: OrderRequest,
    timeoutMs: number,
  ): ResultAsync<OrderReply, OrderCallError>;
}

export interface OrderAgentClientOptions {
  /** Absent: agents that require credentials refuse every call. */
  credentials?: InnerCredentials;
  /** Replaces the `fetch` that reads replies within limits, for example to count bytes. */
  fetch?: typeof fetch;
  /** Timeout of calls that only read. */
  readTimeoutMs?: number;
  /** Size of the client cache; the least recently used client is evicted. */
  maxClients?: number;
}

export function createOrderAgentClient(options: OrderAgentClientOptions = {}): OrderAgentClient {
  const {
    fetch: fetchImpl = createBoundedFetch(),
    readTimeoutMs = 2000,
    maxClients = 256,
  } = options;
  const headers = credentialHeaders(options.credentials, innerAudiences.agent);
  const clients = new Map<string, TRPCClient<AgentRouter>>();

  function clientOf(address: string): TRPCClient<AgentRouter> {
    const url = `${address}${innerPaths.trpc}`;
    const client =
      clients.get(address) ??
      createTRPCClient<AgentRouter>({ links: [httpLink({ url, headers, fetch: fetchImpl })] });
    clients.delete(address);
    clients.set(address, client);
    [...clients.keys()].slice(0, -maxClients).forEach((oldest) => clients.delete(oldest));
    return client;
  }

  return {
    workerState: (address) =>
      parseReply(
        workerStateSchema,
        clientOf(address).workerState.query(undefined, timeLimit(readTimeoutMs)),
      ),
    load: (address, service) =>
      parseReply(
        bidSchema,
        clientOf(address).bid.mutate(probeBid(service), timeLimit(readTimeoutMs)),
      ).map(({ load }) => load),
    order: (address, request, timeoutMs) =>
      parseReply(orderReplySchema, clientOf(address).order.mutate(request, timeLimit(timeoutMs))),
  };
}

function parseReply<Schema extends z.ZodType>(
  schema: Schema,
  reply: Promise<unknown>,
): ResultAsync<z.infer<Schema>, OrderCallError> {
  const response = ResultAsync.fromPromise(reply, (error) => noResponse(String(error)));
  return response.andThen((value): Result<z.infer<Schema>, OrderCallError> => {
    const parsed = schema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(noResponse('unexpected reply'));
  });
}

function noResponse(detail: string): OrderCallError {
  return { kind: 'no-answer', detail };
}

function timeLimit(timeoutMs: number): { signal: AbortSignal } {
  return { signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))) };
}

function probeBid(service: string) {
  const className = 'standard';
  return { service, promptTokens: 0, maxOutputTokens: 1, prefixBlocks: [], className };
}
