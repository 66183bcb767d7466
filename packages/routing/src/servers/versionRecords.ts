/** The records of software versions in the platform's store: one object for each service. */
import * as z from 'zod';
import {
  changeObject,
  objectKinds,
  type ObjectApi,
  type StoredObject,
} from '@bluebellhitch/objects';

export type VersionRecord =
  | { kind: 'known'; versions: readonly string[] }
  /** The store did not answer, or another router was faster. */
  | { kind: 'failed' };

const recordSchema = z.object({ versions: z.array(z.string()) });
const kind = objectKinds.serviceVersions;

/** A service without a record has no versions. */
export async function readVersionRecord(
  objects: Pick<ObjectApi, 'get'>,
  serviceName: string,
): Promise<VersionRecord> {
  const read = await objects.get(kind, serviceName);
  return read.match(
    (object) => ({ kind: 'known', versions: versionsIn(object) }) as const,
    (error) => (error.kind === 'not-found' ? { kind: 'known', versions: [] } : { kind: 'failed' }),
  );
}

/** Replaces the versions on record, unless they are as wanted already. */
export async function changeVersionRecord(
  objects: Pick<ObjectApi, 'get' | 'create' | 'update'>,
  serviceName: string,
  next: (recorded: readonly string[]) => string[],
): Promise<VersionRecord> {
  let versions: readonly string[] = [];
  const change = await changeObject({
    ...{ objects, kind, key: serviceName },
    next(current) {
      const recorded = current === undefined ? [] : versionsIn(current);
      versions = next(recorded);
      return current !== undefined && isSameSet(recorded, versions) ? undefined : { versions };
    },
  });
  return change.kind === 'written' || change.kind === 'unchanged'
    ? { kind: 'known', versions }
    : { kind: 'failed' };
}

/** An object that cannot be read counts as empty and is replaced. */
function versionsIn({ value }: StoredObject): readonly string[] {
  const parsed = recordSchema.safeParse(value);
  return parsed.success ? parsed.data.versions : [];
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((version) => right.includes(version));
}
