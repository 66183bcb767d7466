/** Load hints. They travel on replies only, so there is no background load traffic. */
import * as z from 'zod';
import { workerRoleSchema } from './ids';

export const loadHintSchema = z.object({
  role: workerRoleSchema,
  /** True free memory for KV cache, after every lease that the agent holds. */
  freeKvBytes: z.number().nonnegative(),
  capacityKvBytes: z.number().nonnegative(),
  /** Requests that hold a lease, and requests waiting for one. */
  activeCount: z.number().int().nonnegative(),
  queuedCount: z.number().int().nonnegative(),
  /** Expected wait of a request that joins the queue now. */
  queueWaitMs: z.number().nonnegative(),
  /** Recent time between tokens (decode) or per prompt token (prefill). */
  stepMs: z.number().nonnegative(),
  leaving: z.boolean(),
});
export type LoadHint = z.infer<typeof loadHintSchema>;
