/** Orders to engines, protected by the fencing number of the duty lease that their sender holds. */
import * as z from 'zod';
import { identifierSchema, workerRoleSchema } from './ids';

export const engineOrderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('load-model'), model: identifierSchema, version: identifierSchema }),
  z.object({ kind: z.literal('load-adapter'), model: identifierSchema, adapter: identifierSchema }),
  z.object({
    kind: z.literal('unload-adapter'),
    model: identifierSchema,
    adapter: identifierSchema,
  }),
  z.object({ kind: z.literal('set-role'), role: workerRoleSchema }),
]);
export type EngineOrder = z.infer<typeof engineOrderSchema>;

export const orderRequestSchema = z.object({
  service: identifierSchema,
  holderId: identifierSchema,
  fencingNumber: z.number().int().positive(),
  /** Remaining validity of the holder's lease at the time of sending. */
  validForMs: z.number().nonnegative(),
  order: engineOrderSchema,
});
export type OrderRequest = z.infer<typeof orderRequestSchema>;

export const orderReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done') }),
  z.object({ kind: z.literal('stale'), highestFencingNumber: z.number().int().nonnegative() }),
  z.object({ kind: z.literal('expired') }),
  z.object({ kind: z.literal('not-ready'), detail: z.string() }),
  z.object({ kind: z.literal('failed'), detail: z.string(), effect: z.enum(['none', 'unknown']) }),
]);
export type OrderReply = z.infer<typeof orderReplySchema>;

/** Current state of a worker, which the lease holder reconciles with the desired state. */
export const workerStateSchema = z.object({
  incarnation: identifierSchema,
  role: workerRoleSchema,
  models: z.array(z.object({ model: identifierSchema, version: identifierSchema })),
  adapters: z.array(z.object({ model: identifierSchema, adapter: identifierSchema })),
  highestFencingNumber: z.number().int().nonnegative(),
  leaving: z.boolean(),
});
export type WorkerState = z.infer<typeof workerStateSchema>;
