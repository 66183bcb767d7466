/** Messages between entries, and from agents to entries that act as relays. */
import * as z from 'zod';
import { identifierSchema, workerRoleSchema } from './ids';

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

/** One entry of the platform's list of instances. */
export const listedInstanceSchema = z.object({
  id: z.string().min(1),
  kind: z.enum(['entry', 'agent']),
  /** The service of an agent's backend server; absent for entries. */
  service: z.string().optional(),
  /** The role the instance started with; bids carry the current one. */
  role: workerRoleSchema.optional(),
  dataCentre: z.string().min(1),
  /** `http://ip:port` of the inner protocol. */
  innerAddress: z.string().min(1),
  /** `http://ip:port` for operators, where the platform knows it. */
  adminAddress: z.string().min(1).optional(),
  state: z.enum(['live', 'leaving']),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Which list of instances a process has, and how long ago it was read from the platform. */
export const instanceListStateSchema = z.object({
  digest: z.string().max(32),
  ageMs: z.number().nonnegative(),
});
export type InstanceListState = z.infer<typeof instanceListStateSchema>;

/** A younger list; without `instances` where it is the one that the asker has. */
export const instanceListNewsSchema = instanceListStateSchema.extend({
  instances: z.array(listedInstanceSchema).max(20_000).optional(),
});
export type InstanceListNews = z.infer<typeof instanceListNewsSchema>;

/** Long poll: answers at once with everything newer than `cursor`, else after `waitMs`. */
export const feedRequestSchema = z.object({
  /** Position in this relay's log; absent asks for a snapshot. */
  cursor: z.string().optional(),
  waitMs: z.number().nonnegative().max(60_000),
  /** Only records of these services, where given; an agent asks for its own service only. */
  services: z.array(identifierSchema).optional(),
  /** The list that the asker has; absent: it wants none. An agent gets the entries only. */
  instanceList: instanceListStateSchema.optional(),
});
export type FeedRequest = z.infer<typeof feedRequestSchema>;

export const feedReplySchema = z.object({
  cursor: z.string(),
  /** Whether `records` is everything that the relay knows rather than a delta. */
  snapshot: z.boolean(),
  records: z.array(feedRecordSchema),
  instanceList: instanceListNewsSchema.optional(),
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
