/** The `status` object of a service: the result of the operators' last edit. */
import * as z from 'zod';

const findingSchema = z.object({
  path: z.string(),
  line: z.number().optional(),
  column: z.number().optional(),
  message: z.string(),
  hint: z.string().optional(),
});

export const serviceStatusSchema = z.object({
  /** Version of the `document` object that this status refers to. */
  documentVersion: z.number().int().nonnegative(),
  state: z.enum(['accepted', 'rejected']),
  /** Generation in force: of this edit if accepted, of the last accepted edit if rejected; 0: none. */
  generation: z.number().int().nonnegative(),
  /** Why the edit was rejected, or warnings about an accepted one. */
  findings: z.array(findingSchema),
});
export type ServiceStatus = z.infer<typeof serviceStatusSchema>;
