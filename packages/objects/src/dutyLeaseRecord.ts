/** Stored form of a duty lease. The object is never removed, so its fencing number never restarts. */
import * as z from 'zod';

export const dutyLeaseRecordSchema = z.object({
  /** Strictly increases with each acquisition. */
  fencingNumber: z.number().int().positive(),
  /** Of the platform when it was written; absent in its first era. Another than now: later holders may be lost. */
  era: z.number().int().nonnegative().optional(),
  /** Absent: released. */
  holderId: z.string().optional(),
  /** Differs between two processes, or two runs, that use one holder id. */
  session: z.string(),
  /** Counts the session's writes: tells which of them took effect when answers are lost. */
  sequence: z.number().int().nonnegative(),
  ttlMs: z.number().positive(),
});
export type DutyLeaseRecord = z.infer<typeof dutyLeaseRecordSchema>;

export function parseDutyLease(value: unknown): DutyLeaseRecord | undefined {
  const parsed = dutyLeaseRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
