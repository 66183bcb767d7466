/** Stored form of a duty lease. The object is never removed, so that its fencing number never restarts. */
import * as z from 'zod';

export const dutyLeaseRecordSchema = z.object({
  /** Strictly increases with each acquisition. */
  fencingNumber: z.number().int().positive(),
  /**
   * Era of the platform when the record was written; absent in the first era. If it differs from the
   * current era, records of later holders may have been lost.
   */
  era: z.number().int().nonnegative().optional(),
  /** Absent if the lease was released. */
  holderId: z.string().optional(),
  /** Distinguishes processes, or runs of a process, that use the same holder id. */
  session: z.string(),
  /** Number of the session's write; shows which write took effect when responses were lost. */
  sequence: z.number().int().nonnegative(),
  ttlMs: z.number().positive(),
});
export type DutyLeaseRecord = z.infer<typeof dutyLeaseRecordSchema>;

export function parseDutyLease(value: unknown): DutyLeaseRecord | undefined {
  const parsed = dutyLeaseRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
