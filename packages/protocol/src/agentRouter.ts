/** The agent's trpc router. Sender and receiver validate every message against the schemas. */
import { initTRPC } from '@trpc/server';
import * as z from 'zod';
import {
  attemptReferenceSchema,
  bidRequestSchema,
  bidSchema,
  heartbeatReplySchema,
  heartbeatSchema,
  prefillReplySchema,
  prefillRequestSchema,
  reserveReplySchema,
  reserveRequestSchema,
  type AttemptReference,
  type Bid,
  type BidRequest,
  type Heartbeat,
  type HeartbeatReply,
  type PrefillReply,
  type PrefillRequest,
  type ReserveReply,
  type ReserveRequest,
} from './agentMessages';
import {
  orderReplySchema,
  orderRequestSchema,
  workerStateSchema,
  type OrderReply,
  type OrderRequest,
  type WorkerState,
} from './orderMessages';

/** An agent's handler for each message. `signal` aborts when the sender's connection closes. */
export interface AgentHandlers {
  bid(request: BidRequest): Promise<Bid>;
  reserve(request: ReserveRequest, signal?: AbortSignal): Promise<ReserveReply>;
  prefill(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply>;
  cancel(reference: AttemptReference): Promise<void>;
  heartbeat(heartbeat: Heartbeat): Promise<HeartbeatReply>;
  order(request: OrderRequest): Promise<OrderReply>;
  workerState(): Promise<WorkerState>;
}

const trpc = initTRPC.create();
const doneSchema = z.object({ done: z.literal(true) });

export function createAgentRouter(handlers: AgentHandlers) {
  return trpc.router({
    bid: trpc.procedure
      .input(bidRequestSchema)
      .output(bidSchema)
      .mutation(({ input }) => handlers.bid(input)),
    reserve: trpc.procedure
      .input(reserveRequestSchema)
      .output(reserveReplySchema)
      .mutation(({ input, signal }) => handlers.reserve(input, signal)),
    prefill: trpc.procedure
      .input(prefillRequestSchema)
      .output(prefillReplySchema)
      .mutation(({ input, signal }) => handlers.prefill(input, signal)),
    cancel: trpc.procedure
      .input(attemptReferenceSchema)
      .output(doneSchema)
      .mutation(async ({ input }) => {
        await handlers.cancel(input);
        return { done: true as const };
      }),
    heartbeat: trpc.procedure
      .input(heartbeatSchema)
      .output(heartbeatReplySchema)
      .mutation(({ input }) => handlers.heartbeat(input)),
    order: trpc.procedure
      .input(orderRequestSchema)
      .output(orderReplySchema)
      .mutation(({ input }) => handlers.order(input)),
    workerState: trpc.procedure.output(workerStateSchema).query(() => handlers.workerState()),
  });
}

export type AgentRouter = ReturnType<typeof createAgentRouter>;
