/** Wire format of the platform's HTTP interface: paths, and schemas that validate bodies on receipt. */
import * as z from 'zod';
import { listedInstanceSchema } from '@bluebellhitch/protocol';
import type { ObjectKind } from './platformApi';

export const objectKindSchema = z.enum([
  'document',
  'accepted',
  'status',
  'claim',
  'lease',
  'quarantine',
  'configuration',
  'backend-server',
]);

export const storedObjectSchema = z.object({
  kind: objectKindSchema,
  key: z.string().min(1),
  version: z.number().int().nonnegative(),
  value: z.unknown(),
});

export const objectListSchema = z.object({
  objects: z.array(storedObjectSchema),
  cursor: z.string(),
});

export const watchReplySchema = z.object({
  events: z.array(
    z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('put'), object: storedObjectSchema }),
      z.object({ kind: z.literal('removed'), key: z.string(), version: z.number().int() }),
    ]),
  ),
  cursor: z.string(),
  compacted: z.boolean(),
});

export const platformInstanceSchema = listedInstanceSchema;
/** Each entry of the list is read by itself: one that another writer has left must not hide all others. */
export const platformInstancesSchema = z
  .array(z.unknown())
  .transform((listed) =>
    listed.flatMap((instance) => platformInstanceSchema.safeParse(instance).data ?? []),
  );

/** Body of a `POST` or `PUT` request for an object. */
export const writeBodySchema = z.object({ value: z.unknown() });

/**
 * Body of a response whose status is not 2xx. The platform itself reports the failure, so a call that
 * ended with `unavailable` here certainly had no effect.
 */
export const platformErrorSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('conflict'), current: storedObjectSchema.optional() }),
  z.object({ kind: z.literal('not-found') }),
  z.object({ kind: z.literal('rate-limited'), retryAfterMs: z.number().nonnegative() }),
  z.object({ kind: z.literal('unavailable'), detail: z.string() }),
  z.object({ kind: z.literal('unknown-outcome'), detail: z.string() }),
  z.object({ kind: z.literal('rejected'), detail: z.string() }),
]);

/** Paths; keys are percent-encoded because they may contain slashes. */
export const platformPaths = {
  object: (kind: ObjectKind, key: string) => `/objects/${kind}/${encodeURIComponent(key)}`,
  objects: (kind: ObjectKind) => `/objects/${kind}`,
  watch: (kind: ObjectKind) => `/watch/${kind}`,
  instances: '/instances',
} as const;
