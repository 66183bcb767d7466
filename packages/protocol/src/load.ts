/** Load hints. They are sent only as part of replies, so that there is no background load traffic. */
import * as z from 'zod';
import { workerRoleSchema } from './ids';

export const loadHintSchema = z.object({
  role: workerRoleSchema,
  /** Free memory for KV cache, after subtracting all leases that the agent has granted. */
  freeKvBytes: z.number().nonnegative(),
  capacityKvBytes: z.number().nonnegative(),
  /** Requests that hold a lease; `queuedCount` are those that wait for one. */
  activeCount: z.number().int().nonnegative(),
  queuedCount: z.number().int().nonnegative(),
  /** Expected wait of a request that joins the queue now. */
  queueWaitMs: z.number().nonnegative(),
  /** Recent time between tokens (decode) or per prompt token (prefill). */
  stepMs: z.number().nonnegative(),
  leaving: z.boolean(),
});
export type LoadHint = z.infer<typeof loadHintSchema>;
