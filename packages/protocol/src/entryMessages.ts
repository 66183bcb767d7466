/** Messages between entries, and from agents to entries that act as relays. */
import * as z from 'zod';
import { identifierSchema, workerRoleSchema } from './ids';

/** Kinds of records that relays distribute. Each kind is versioned separately. */
export const feedKinds = { accepted: 'accepted', quarantine: 'quarantine' } as const;
export const feedKindSchema = z.enum(['accepted', 'quarantine']);
export type FeedKind = z.infer<typeof feedKindSchema>;

/** One record of the feed. Every receiver keeps the highest generation that it has seen. */
export const feedRecordSchema = z.object({
  kind: feedKindSchema,
  key: identifierSchema,
  generation: z.number().int().nonnegative(),
  /** Removed records are kept as tombstones, so that a stale copy cannot restore them. */
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
  /** `http://ip:port` of the operators' port, if the platform knows it. */
  adminAddress: z.string().min(1).optional(),
  state: z.enum(['live', 'leaving']),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Version of the list of instances that a process has, and the time since it was read from the platform. */
export const instanceListStateSchema = z.object({
  digest: z.string().max(32),
  ageMs: z.number().nonnegative(),
});
export type InstanceListState = z.infer<typeof instanceListStateSchema>;

/** A more recent list; `instances` is absent if the requester already has the same list. */
export const instanceListUpdateSchema = instanceListStateSchema.extend({
  instances: z.array(listedInstanceSchema).max(20_000).optional(),
});
export type InstanceListUpdate = z.infer<typeof instanceListUpdateSchema>;

/** Long poll: replies at once if there are records newer than `cursor`, otherwise after at most `waitMs`. */
export const feedRequestSchema = z.object({
  /** Position in this relay's log; without it the reply is a snapshot. */
  cursor: z.string().optional(),
  waitMs: z.number().nonnegative().max(60_000),
  /** Restricts the reply to records of these services; an agent requests only its own service. */
  services: z.array(identifierSchema).optional(),
  /** The list that the requester has; without it the reply has none. An agent gets only the entries. */
  instanceList: instanceListStateSchema.optional(),
});
export type FeedRequest = z.infer<typeof feedRequestSchema>;

export const feedReplySchema = z.object({
  cursor: z.string(),
  /** Whether `records` holds all records of the relay rather than a delta. */
  snapshot: z.boolean(),
  records: z.array(feedRecordSchema),
  instanceList: instanceListUpdateSchema.optional(),
});
export type FeedReply = z.infer<typeof feedReplySchema>;

/** Report of a request that was in flight on a backend server when the server died. */
export const strikeSchema = z.object({
  service: identifierSchema,
  /** Identifies the request's content: its institution and the digest of its body. */
  fingerprint: identifierSchema,
  /** The attempt that was in flight; only one strike is counted per attempt. */
  attemptId: identifierSchema,
  instanceId: identifierSchema,
});
export type Strike = z.infer<typeof strikeSchema>;
