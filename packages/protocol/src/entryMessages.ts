/** Messages between entries, and from agents to entries that act as relays. */
import { z } from 'zod';
import { identifierSchema } from './ids';

/** Kinds of records that relays spread. Each is versioned on its own. */
export const feedKinds = { accepted: 'accepted', quarantine: 'quarantine' } as const;
export const feedKindSchema = z.enum(['accepted', 'quarantine']);
export type FeedKind = z.infer<typeof feedKindSchema>;

/** One record of the feed: the highest generation seen wins, everywhere and always. */
export const feedRecordSchema = z.object({
  kind: feedKindSchema,
  key: identifierSchema,
  generation: z.number().int().nonnegative(),
  /** Removed records stay as tombstones, so that a stale copy cannot bring them back. */
  removed: z.boolean(),
  value: z.unknown(),
});
export type FeedRecord = z.infer<typeof feedRecordSchema>;

/** Long poll: answers at once with everything newer than `cursor`, else after `waitMs`. */
export const feedRequestSchema = z.object({
  /** Position in this relay's log; absent asks for a snapshot. */
  cursor: z.string().optional(),
  waitMs: z.number().nonnegative().max(60_000),
  /** Only records of these services, where given; an agent asks for its own service only. */
  services: z.array(identifierSchema).optional(),
});
export type FeedRequest = z.infer<typeof feedRequestSchema>;

export const feedReplySchema = z.object({
  cursor: z.string(),
  /** Whether `records` is everything that the relay knows rather than a delta. */
  snapshot: z.boolean(),
  records: z.array(feedRecordSchema),
});
export type FeedReply = z.infer<typeof feedReplySchema>;

/** A request that was in flight on a backend server that died. */
export const strikeSchema = z.object({
  service: identifierSchema,
  /** Institution and body digest. */
  fingerprint: identifierSchema,
  /** The attempt that was in flight; a strike is counted once for each attempt. */
  attemptId: identifierSchema,
  instanceId: identifierSchema,
});
export type Strike = z.infer<typeof strikeSchema>;
