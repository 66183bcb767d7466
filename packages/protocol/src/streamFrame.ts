/** Frames of a model response that an agent streams to an entry. */
import * as z from 'zod';
import { agentRefusalReasonSchema, notRunSchema } from './agentMessages';
import { attemptIdSchema } from './ids';
import { loadHintSchema } from './load';

export const finishReasonSchema = z.enum(['stop', 'length']);
export type FinishReason = z.infer<typeof finishReasonSchema>;

/** `offset` counts output tokens from the request's first token on, across attempts. */
export const streamFrameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('tokens'),
    attemptId: attemptIdSchema,
    offset: z.number().int().nonnegative(),
    tokenCount: z.number().int().positive(),
    text: z.string(),
  }),
  z.object({
    kind: z.literal('end'),
    attemptId: attemptIdSchema,
    /** Total number of output tokens; a response with fewer is truncated. */
    offset: z.number().int().nonnegative(),
    finishReason: finishReasonSchema,
    load: loadHintSchema.optional(),
  }),
  z.object({
    kind: z.literal('failed'),
    attemptId: attemptIdSchema,
    reason: agentRefusalReasonSchema,
    notRun: notRunSchema,
    detail: z.string(),
    /** The backend server itself died, possibly because of this request. */
    backendDied: z.boolean(),
    retryAfterMs: z.number().nonnegative().optional(),
  }),
]);
export type StreamFrame = z.infer<typeof streamFrameSchema>;
