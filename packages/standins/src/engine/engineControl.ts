/** Faults that can be switched on and off in a running stand-in engine. */
import * as z from 'zod';

export const engineControlSchema = z.strictObject({
  /** This engine's link transmits nothing. */
  stallTransfers: z.boolean().optional(),
  /** Cancels have no effect and fail. */
  failCancels: z.boolean().optional(),
  /** Cancels take effect, but their responses are lost. */
  loseCancelAnswers: z.boolean().optional(),
  /** Factor on the duration of each step. */
  slowFactor: z.number().positive().optional(),
  /** No step runs. */
  paused: z.boolean().optional(),
  /** New prefills and decodes are refused. */
  refuseWork: z.boolean().optional(),
  /** Orders fail without effect. */
  failOrders: z.boolean().optional(),
  /** Once: all runs end, streams without their end marker, and their memory is freed. */
  truncateStreams: z.literal(true).optional(),
  /** Once: empties the prefix cache. */
  clearCache: z.literal(true).optional(),
  /** Once: the engine crashes. */
  crash: z.literal(true).optional(),
});
export type EngineControl = z.infer<typeof engineControlSchema>;
