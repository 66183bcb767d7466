/** Records of quarantined requests as objects of the platform's store. Their times are wall-clock milliseconds. */
import * as z from 'zod';
import { mergeQuarantineRecords, type QuarantineRecord } from '@bluebellhitch/decisions';
import { changeObject, objectKinds, type ObjectApi } from '@bluebellhitch/objects';
import { assertNever } from '@bluebellhitch/shared';

/** `raced`: another writer was faster. `failed`: the record may or may not have been written. */
export type QuarantineWrite = 'done' | 'raced' | 'failed';

const recordSchema = z.object({
  service: z.string(),
  fingerprint: z.string(),
  depth: z.number().int().nonnegative().optional(),
  strikes: z.array(
    z.object({
      attemptId: z.string(),
      instanceId: z.string(),
      struckAtMs: z.number(),
      startedAtMs: z.number().optional(),
    }),
  ),
  clearedAttemptIds: z.array(z.string()),
});

/** Returns undefined for a value that is not a record. */
export function decodeQuarantineRecord(value: unknown): QuarantineRecord | undefined {
  const parsed = recordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Merges the record into the object with this key, or creates the object. */
export async function writeQuarantineRecord(
  objects: Pick<ObjectApi, 'get' | 'create' | 'update'>,
  key: string,
  record: QuarantineRecord,
): Promise<QuarantineWrite> {
  const change = await changeObject({
    ...{ objects, kind: objectKinds.quarantine, key },
    next: (current) => mergedRecord(decodeQuarantineRecord(current?.value), record),
  });
  switch (change.kind) {
    case 'written':
    case 'unchanged':
      return 'done';
    case 'raced':
    case 'failed':
      return change.kind;
    default:
      return assertNever(change);
  }
}

/** Undefined if the stored record needs no change. */
function mergedRecord(
  stored: QuarantineRecord | undefined,
  record: QuarantineRecord,
): QuarantineRecord | undefined {
  if (stored === undefined) {
    return record;
  }
  return covers(stored, record) ? undefined : mergeQuarantineRecords(stored, record);
}

/** Whether the stored record has everything that the other one would add. */
function covers(stored: QuarantineRecord, record: QuarantineRecord): boolean {
  const strikeIds = new Set(stored.strikes.map(({ attemptId }) => attemptId));
  const clearedIds = new Set(stored.clearedAttemptIds);
  return (
    record.strikes.every(({ attemptId }) => strikeIds.has(attemptId)) &&
    record.clearedAttemptIds.every((attemptId) => clearedIds.has(attemptId))
  );
}
