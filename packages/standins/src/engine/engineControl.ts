/** Faults that tests switch on and off in a running stand-in engine. */
import * as z from 'zod';

export const engineControlSchema = z.strictObject({
  /** Nothing passes this engine's link. */
  stallTransfers: z.boolean().optional(),
  /** Cancels have no effect and fail. */
  failCancels: z.boolean().optional(),
  /** Cancels take effect, but their answers are lost. */
  loseCancelAnswers: z.boolean().optional(),
  /** Multiplies the time of each step. */
  slowFactor: z.number().positive().optional(),
  /** No step runs. */
  paused: z.boolean().optional(),
  /** New prefills and decodes are refused. */
  refuseWork: z.boolean().optional(),
  /** Orders fail without effect. */
  failOrders: z.boolean().optional(),
  /** Once: running streams end without their end marker, and their memory is freed. */
  truncateStreams: z.literal(true).optional(),
  /** Once: empties the prefix cache. */
  clearCache: z.literal(true).optional(),
  /** Once: the engine dies. */
  crash: z.literal(true).optional(),
});
export type EngineControl = z.infer<typeof engineControlSchema>;
