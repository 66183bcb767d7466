/** Records of quarantined requests as objects of the platform's store. Their times are wall-clock milliseconds. */
import * as z from 'zod';
import { mergeQuarantineRecords, type QuarantineRecord } from '@bluebellhitch/decisions';
import { objectKinds, type ObjectApi, type StoredObject } from '@bluebellhitch/objects';

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
  const current = await objects.get(objectKinds.quarantine, key);
  if (current.isErr()) {
    return current.error.kind === 'not-found' ? create(objects, key, record) : 'failed';
  }
  return update(objects, current.value, record);
}

async function create(
  objects: Pick<ObjectApi, 'create'>,
  key: string,
  record: QuarantineRecord,
): Promise<QuarantineWrite> {
  const created = await objects.create(objectKinds.quarantine, key, record);
  return created.match(
    () => 'done' as const,
    (error) => (error.kind === 'conflict' ? 'raced' : 'failed'),
  );
}

async function update(
  objects: Pick<ObjectApi, 'update'>,
  { key, version, value }: StoredObject,
  record: QuarantineRecord,
): Promise<QuarantineWrite> {
  const known = decodeQuarantineRecord(value);
  if (known !== undefined && covers(known, record)) {
    return 'done';
  }
  const merged = known === undefined ? record : mergeQuarantineRecords(known, record);
  const updated = await objects.update(objectKinds.quarantine, key, version, merged);
  return updated.match(
    () => 'done' as const,
    (error) => (error.kind === 'conflict' ? 'raced' : 'failed'),
  );
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
