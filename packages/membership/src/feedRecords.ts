/** Converts the platform's objects to records of the feed. */
import * as z from 'zod';
import type { StoredObject } from '@bluebellhitch/objects';
import { canEncode, feedKinds, type FeedKind, type FeedRecord } from '@bluebellhitch/protocol';

const generationSchema = z.object({ generation: z.number().int().nonnegative() });

/**
 * Accepted documents contain their generation; one without it yields no record. A quarantine without a generation takes
 * the version of its object. A value that cannot be passed on yields no record, as it would keep all others from receivers.
 */
export function recordFromObject(object: StoredObject): FeedRecord | undefined {
  const { kind, key, version, value } = object;
  if (!canEncode(value)) {
    return undefined;
  }
  const parsed = generationSchema.safeParse(value);
  if (kind === feedKinds.accepted && parsed.success) {
    return { kind, key, generation: parsed.data.generation, removed: false, value };
  }
  if (kind === feedKinds.quarantine) {
    const generation = parsed.success ? parsed.data.generation : version;
    return { kind, key, generation, removed: false, value };
  }
  return undefined;
}

/** Marks a known record as removed, keeping its generation. */
export function tombstoneOf(record: FeedRecord): FeedRecord {
  return { ...record, removed: true, value: null };
}

/** Whether a record concerns one of the services; the keys of quarantines have the form `<service>/...`. */
export function concernsServices(
  { kind, key }: { kind: FeedKind; key: string },
  services: readonly string[] | undefined,
): boolean {
  if (services === undefined) {
    return true;
  }
  return kind === feedKinds.accepted
    ? services.includes(key)
    : services.some((service) => key.startsWith(`${service}/`));
}
