/** Messages between an entry and the agent that runs beside a backend server. Durations are milliseconds. */
import * as z from 'zod';
import { attemptIdSchema, identifierSchema, requestOriginSchema } from './ids';
import { loadHintSchema } from './load';

/** Asks a candidate agent how it would serve a request. Reserves nothing. */
export const bidRequestSchema = z.object({
  service: identifierSchema,
  promptTokens: z.number().int().nonnegative(),
  maxOutputTokens: z.number().int().positive(),
  /** Chained hashes of the prompt's blocks at sampled depths; see `samplePrefixBlocks`. */
  prefixBlocks: z.array(z.string().max(32)).max(64),
  className: identifierSchema,
});
export type BidRequest = z.infer<typeof bidRequestSchema>;

export const bidSchema = z.object({
  /** Changes when the agent restarts, which ends all leases of the earlier incarnation. */
  incarnation: identifierSchema,
  load: loadHintSchema,
  /** Prompt tokens that the engine most likely holds in its prefix cache. */
  cachedPrefixTokens: z.number().int().nonnegative(),
  /** Time until a reservation made now would be usable; absent if it never would be. */
  usableInMs: z.number().nonnegative().optional(),
  /** Address from which other engines fetch KV cache of this one. */
  kvAddress: z.string().optional(),
  /** Expected wait until a prompt that arrives now has been prefilled here; absent for plain services. */
  prefillWaitMs: z.number().nonnegative().optional(),
  /** Recent prefill time per uncached prompt token. */
  prefillMsPerToken: z.number().nonnegative().optional(),
  /** 97th percentile of recent times between tokens; prompts prefilled here raise it. */
  slowStepMs: z.number().nonnegative().optional(),
  /** Expected time to export the prompt's KV cache, including exports queued for the same link. */
  exportMs: z.number().nonnegative().optional(),
});
export type Bid = z.infer<typeof bidSchema>;

/** Asks for a lease on the engine's memory or, for a plain service, on a concurrency slot. */
export const reserveRequestSchema = z.object({
  entryId: identifierSchema,
  /** Changes when the entry restarts. */
  entryIncarnation: identifierSchema,
  requestId: identifierSchema,
  attemptId: attemptIdSchema,
  origin: requestOriginSchema,
  service: identifierSchema,
  purpose: z.enum(['prefill', 'decode', 'plain']),
  promptTokens: z.number().int().nonnegative(),
  maxOutputTokens: z.number().int().nonnegative(),
  /** Earliest time at which the caller needs the slot: the end of its prefill and transfer. */
  neededInMs: z.number().nonnegative(),
  /** Time after which the caller stops waiting in the agent's queue. */
  waitLimitMs: z.number().nonnegative(),
  /** Time left until the first-token target; the queue is ordered by it. */
  firstTokenDeadlineInMs: z.number(),
  repeatable: z.boolean(),
});
export type ReserveRequest = z.infer<typeof reserveRequestSchema>;

export const agentRefusalReasons = {
  leaving: 'leaving',
  queueFull: 'queue-full',
  noCapacity: 'no-capacity',
  deadlineHopeless: 'deadline-hopeless',
  wrongService: 'wrong-service',
  wrongRole: 'wrong-role',
  cancelled: 'cancelled',
  unknownLease: 'unknown-lease',
  backendFailed: 'backend-failed',
  notReady: 'not-ready',
} as const;
export const agentRefusalReasonSchema = z.enum([
  'leaving',
  'queue-full',
  'no-capacity',
  'deadline-hopeless',
  'wrong-service',
  'wrong-role',
  'cancelled',
  'unknown-lease',
  'backend-failed',
  'not-ready',
]);
export type AgentRefusalReason = z.infer<typeof agentRefusalReasonSchema>;

export const notRunSchema = z.union([z.boolean(), z.literal('unknown')]);

export const agentRefusalSchema = z.object({
  kind: z.literal('refused'),
  reason: agentRefusalReasonSchema,
  notRun: notRunSchema,
  detail: z.string(),
  retryAfterMs: z.number().nonnegative().optional(),
  load: loadHintSchema.optional(),
});
export type AgentRefusal = z.infer<typeof agentRefusalSchema>;

export const reserveReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('granted'),
    incarnation: identifierSchema,
    /** Time until the slot is usable; prefill may run meanwhile. */
    usableInMs: z.number().nonnegative(),
    load: loadHintSchema,
  }),
  agentRefusalSchema,
]);
export type ReserveReply = z.infer<typeof reserveReplySchema>;

/** Prefills the prompt on a prefill worker, under a lease on that worker. */
export const prefillRequestSchema = z.object({
  attemptId: attemptIdSchema,
  model: identifierSchema,
  prompt: z.string(),
  priority: z.number().int(),
});
export type PrefillRequest = z.infer<typeof prefillRequestSchema>;

export const prefillReplySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('prefilled'),
    /** Identifies the exported KV cache at `kvAddress`. */
    exportId: identifierSchema,
    kvAddress: z.string(),
    kvBytes: z.number().nonnegative(),
    promptTokens: z.number().int().nonnegative(),
    cachedTokens: z.number().int().nonnegative(),
    /** Time after which the engine deletes the export. */
    keptForMs: z.number().nonnegative(),
    prefillMs: z.number().nonnegative(),
    load: loadHintSchema,
  }),
  agentRefusalSchema,
]);
export type PrefillReply = z.infer<typeof prefillReplySchema>;

/** Source from which the decode engine gets the prompt's KV cache. */
export const kvSourceSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('transfer'),
    exportId: identifierSchema,
    kvAddress: z.string(),
    kvBytes: z.number().nonnegative(),
    keptForMs: z.number().nonnegative(),
  }),
  z.object({ kind: z.literal('local') }),
]);
export type KvSource = z.infer<typeof kvSourceSchema>;

/** Body of `POST /streams`; the response is an event stream of frames, one JSON object per event. */
export const streamRequestSchema = z.object({
  entryId: identifierSchema,
  attemptId: attemptIdSchema,
  model: identifierSchema,
  prompt: z.string(),
  source: kvSourceSchema,
  maxOutputTokens: z.number().int().positive(),
  /** Output that an earlier attempt already delivered; the engine continues after it. */
  emitted: z.object({ tokenCount: z.number().int().nonnegative(), text: z.string() }),
  priority: z.number().int(),
});
export type StreamRequest = z.infer<typeof streamRequestSchema>;

/** Identifies an attempt of an entry. Cancelling an unknown attempt succeeds, so that cancels are idempotent. */
export const attemptReferenceSchema = z.object({
  entryId: identifierSchema,
  attemptId: attemptIdSchema,
});
export type AttemptReference = z.infer<typeof attemptReferenceSchema>;

/** Renews all leases that one entry holds at one agent. Sent only while the entry holds any. */
export const heartbeatSchema = z.object({
  entryId: identifierSchema,
  entryIncarnation: identifierSchema,
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

export const heartbeatReplySchema = z.object({
  incarnation: identifierSchema,
  heldAttempts: z.number().int().nonnegative(),
  load: loadHintSchema,
});
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>;
