/** Messages between an entry and the agent beside a backend server. Durations are milliseconds. */
import * as z from 'zod';
import { attemptIdSchema, identifierSchema, requestOriginSchema } from './ids';
import { loadHintSchema } from './load';

/** Asks a candidate how it would serve a request. Reserves nothing. */
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
  /** Changes when the agent restarts; leases of an earlier incarnation are gone. */
  incarnation: identifierSchema,
  load: loadHintSchema,
  /** Prompt tokens that the engine most likely holds in its prefix cache. */
  cachedPrefixTokens: z.number().int().nonnegative(),
  /** When a reservation made now would be usable; absent where it never would. */
  usableInMs: z.number().nonnegative().optional(),
  /** Where another engine fetches KV cache from this one. */
  kvAddress: z.string().optional(),
  /** Expected wait until a prompt that arrives now is computed here; absent on plain services. */
  prefillWaitMs: z.number().nonnegative().optional(),
  /** Recent time per uncached prompt token. */
  prefillMsPerToken: z.number().nonnegative().optional(),
  /** 97th percentile of recent times between tokens: prompts computed here stretch it. */
  slowStepMs: z.number().nonnegative().optional(),
  /** Expected time for the prompt's KV cache to leave here, behind those that wait for the link. */
  exportMs: z.number().nonnegative().optional(),
});
export type Bid = z.infer<typeof bidSchema>;

/** Asks for a lease of the engine's memory or, on a plain service, of a concurrency slot. */
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
  /** When the caller needs the slot at the earliest: the end of its prefill and transfer. */
  neededInMs: z.number().nonnegative(),
  /** When the caller gives up waiting in the agent's queue. */
  waitLimitMs: z.number().nonnegative(),
  /** Remaining time to the first-token target, for deadline order. */
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
    /** The slot is usable after this long; prefill may run meanwhile. */
    usableInMs: z.number().nonnegative(),
    load: loadHintSchema,
  }),
  agentRefusalSchema,
]);
export type ReserveReply = z.infer<typeof reserveReplySchema>;

/** Runs the prompt on a prefill worker under a lease of that worker. */
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
    /** Names the exported KV cache at `kvAddress`. */
    exportId: identifierSchema,
    kvAddress: z.string(),
    kvBytes: z.number().nonnegative(),
    promptTokens: z.number().int().nonnegative(),
    cachedTokens: z.number().int().nonnegative(),
    /** The engine drops the export after this long. */
    keptForMs: z.number().nonnegative(),
    prefillMs: z.number().nonnegative(),
    load: loadHintSchema,
  }),
  agentRefusalSchema,
]);
export type PrefillReply = z.infer<typeof prefillReplySchema>;

/** Where the decode engine gets the prompt's KV cache. */
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

/** Body of `POST /streams`; the answer is an event stream of frames, one JSON object an event. */
export const streamRequestSchema = z.object({
  entryId: identifierSchema,
  attemptId: attemptIdSchema,
  model: identifierSchema,
  prompt: z.string(),
  source: kvSourceSchema,
  maxOutputTokens: z.number().int().positive(),
  /** Output that an earlier attempt already delivered; the engine continues behind it. */
  emitted: z.object({ tokenCount: z.number().int().nonnegative(), text: z.string() }),
  priority: z.number().int(),
});
export type StreamRequest = z.infer<typeof streamRequestSchema>;

/** Keyed by request and attempt; cancelling an unknown attempt succeeds (idempotent). */
export const attemptReferenceSchema = z.object({
  entryId: identifierSchema,
  attemptId: attemptIdSchema,
});
export type AttemptReference = z.infer<typeof attemptReferenceSchema>;

/** Renews all leases that one entry holds at one agent. Sent only while they share work. */
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
