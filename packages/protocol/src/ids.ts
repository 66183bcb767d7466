/** Identifiers and small enumerations that cross process boundaries. */
import * as z from 'zod';

export const identifierSchema = z.string().min(1).max(200);

/** Identifies one attempt to run a request on one backend server. The response must echo it. */
export const attemptIdSchema = identifierSchema;
export type AttemptId = z.infer<typeof attemptIdSchema>;

/** Role of a worker; a `both` worker serves as a prefill worker and as a decode worker. */
export const workerRoles = {
  prefill: 'prefill',
  decode: 'decode',
  both: 'both',
  plain: 'plain',
} as const;
export const workerRoleSchema = z.enum(['prefill', 'decode', 'both', 'plain']);
export type WorkerRole = z.infer<typeof workerRoleSchema>;

/** Origin of a request, used for fairness, limits and metrics. */
export const requestOriginSchema = z.object({
  institution: identifierSchema,
  workspace: identifierSchema.optional(),
  className: identifierSchema,
});
export type RequestOrigin = z.infer<typeof requestOriginSchema>;
