/** Wire format of the engine: paths, bodies and events. Sizes are in bytes, durations in milliseconds. */
import * as z from 'zod';
import { engineOrderSchema, finishReasonSchema, workerRoleSchema } from '@bluebellhitch/protocol';

/** Paths of the engine's HTTP interface. */
export const enginePaths = {
  prefill: '/prefill',
  exports: '/exports',
  import: '/import',
  decode: '/decode',
  resume: '/resume',
  cancel: '/cancel',
  holdings: '/holdings',
  load: '/load',
  cacheEvents: '/cache-events',
  orders: '/orders',
  /** KV cache of an export, fetched by another engine. */
  kv: '/kv',
} as const;

const byteCount = z.number().nonnegative();
const count = z.number().int().nonnegative();

/** Error returned by an engine; the kinds are those of `EngineError`. */
export const engineErrorSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('not-started'), detail: z.string() }),
  z.object({ kind: z.literal('out-of-memory'), detail: z.string() }),
  z.object({ kind: z.literal('gone'), detail: z.string() }),
  z.object({ kind: z.literal('died'), detail: z.string() }),
  z.object({ kind: z.literal('timeout'), detail: z.string() }),
  z.object({ kind: z.literal('stale-order'), highestFencingNumber: count }),
  z.object({ kind: z.literal('failed'), detail: z.string() }),
]);
export const errorBodySchema = z.object({ error: engineErrorSchema });

/** HTTP status of each error kind. */
export const engineErrorStatus = {
  'not-started': 503,
  'out-of-memory': 507,
  gone: 410,
  died: 502,
  timeout: 504,
  'stale-order': 409,
  failed: 500,
} as const;

export const prefillBodySchema = z.object({
  attemptId: z.string(),
  model: z.string(),
  prompt: z.string(),
  priority: z.number(),
});

export const prefillReplySchema = z.object({
  exportId: z.string(),
  promptTokens: count,
  cachedTokens: count,
  kvBytes: byteCount,
  keptForMs: z.number().nonnegative(),
});

export const exportBodySchema = z.object({ action: z.enum(['keep', 'drop']) });

export const importBodySchema = z.object({
  attemptId: z.string(),
  kvAddress: z.string(),
  exportId: z.string(),
  rateBytesPerSecond: z.number().positive(),
});

/** Events of an import's response; the last one has `done` set or is an `error`. */
export const importEventSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('progress'),
    receivedBytes: byteCount,
    totalBytes: byteCount,
    done: z.boolean(),
  }),
  z.object({ kind: z.literal('error'), error: engineErrorSchema }),
]);
export type ImportEvent = z.infer<typeof importEventSchema>;

export const decodeBodySchema = z.object({
  attemptId: z.string(),
  model: z.string(),
  prompt: z.string(),
  imported: z.boolean(),
  maxOutputTokens: z.number().int().positive(),
  priority: z.number(),
});

export const resumeBodySchema = decodeBodySchema.omit({ imported: true }).extend({
  emitted: z.object({ tokenCount: count, text: z.string() }),
});

/** Events of a decode stream. */
export const chunkEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('token'), attemptId: z.string(), offset: count, text: z.string() }),
  z.object({
    kind: z.literal('end'),
    attemptId: z.string(),
    offset: count,
    finishReason: finishReasonSchema,
  }),
]);

export const cancelBodySchema = z.object({ attemptId: z.string() });

export const holdingsReplySchema = z.object({
  holdings: z.array(
    z.object({
      attemptId: z.string(),
      phase: z.enum(['prefill', 'export', 'import', 'decode']),
      heldKvBytes: byteCount,
    }),
  ),
});

export const loadReplySchema = z.object({
  role: workerRoleSchema,
  capacityKvBytes: byteCount,
  kvBytesPerToken: byteCount,
  heldKvBytes: byteCount,
  runningCount: count,
  slotCount: count,
  stepMs: z.number().nonnegative(),
  ageMs: z.number().nonnegative(),
  models: z.array(z.object({ model: z.string(), version: z.string() })),
  adapters: z.array(z.object({ model: z.string(), adapter: z.string() })),
});

export const cacheEventsReplySchema = z.object({
  events: z.array(
    z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('stored'), sequence: count, block: z.string() }),
      z.object({ kind: z.literal('evicted'), sequence: count, block: z.string() }),
      z.object({ kind: z.literal('cleared'), sequence: count }),
    ]),
  ),
});

export const orderBodySchema = z.object({
  order: engineOrderSchema,
  fencingNumber: z.number().int().positive(),
});

/** Events of a KV transfer between engines: first `open`, then `bytes` for each piece sent. */
export const kvEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('open'), totalBytes: byteCount, promptTokens: count }),
  z.object({ kind: z.literal('bytes'), bytes: byteCount }),
]);
export type KvEvent = z.infer<typeof kvEventSchema>;

export const emptyReplySchema = z.object({});
