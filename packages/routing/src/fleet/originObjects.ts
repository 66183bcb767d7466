/**
 * Objects of the platform's store that say which software version has begun each stream: one for each router that serves
 * streams. Streams are known by a short digest of their ids, in one text for each version, since an object is rewritten
 * each time that a stream begins.
 */
import * as z from 'zod';
import type { StreamOrigin } from '@bluebellhitch/protocol';
import { digestParts } from '@bluebellhitch/shared';

/** Where streams began, by their digests; undefined if objects contradict each other. */
export type OriginsByDigest = ReadonlyMap<string, StreamOrigin | undefined>;

/** 48 bits: with 65,000 streams on record, an unknown one is taken for another once in four billion times. */
const digestLength = 12;
const digestPattern = new RegExp(`.{${digestLength}}`, 'g');
/** Bytes of a stream in the object. */
export const bytesPerStream = digestLength;

const name = z.string().max(256);
const schema = z.object({
  streams: z.array(
    z.object({ service: name, version: name, digests: z.string().regex(/^[\da-f]*$/) }),
  ),
});

export function originDigest(streamId: string): string {
  return digestParts([streamId]).slice(0, digestLength);
}

export function encodeOrigins(origins: ReadonlyMap<string, StreamOrigin>): unknown {
  const groups = new Map<string, { origin: StreamOrigin; digests: string[] }>();
  origins.forEach((origin, digest) => {
    const key = JSON.stringify([origin.serviceName, origin.softwareVersion]);
    const group = groups.get(key) ?? { origin, digests: [] };
    groups.set(key, group);
    group.digests.push(digest);
  });
  return {
    streams: [...groups.values()].map(({ origin, digests }) => ({
      service: origin.serviceName,
      version: origin.softwareVersion,
      digests: digests.join(''),
    })),
  };
}

/** An object that cannot be read holds no streams. */
export function decodeOrigins(value: unknown): Map<string, StreamOrigin> {
  const parsed = schema.safeParse(value);
  const groups = parsed.success ? parsed.data.streams : [];
  return new Map(
    groups.flatMap(({ service, version, digests }) => {
      const origin = { serviceName: service, softwareVersion: version };
      return (digests.match(digestPattern) ?? []).map((digest) => [digest, origin] as const);
    }),
  );
}

export function mergeOrigins(values: readonly unknown[]): OriginsByDigest {
  const merged = new Map<string, StreamOrigin | undefined>();
  values.map(decodeOrigins).forEach((origins) =>
    origins.forEach((origin, digest) => {
      const known = merged.has(digest) ? merged.get(digest) : origin;
      merged.set(digest, isSameOrigin(known, origin) ? origin : undefined);
    }),
  );
  return merged;
}

function isSameOrigin(left: StreamOrigin | undefined, right: StreamOrigin): boolean {
  return (
    left !== undefined &&
    left.serviceName === right.serviceName &&
    left.softwareVersion === right.softwareVersion
  );
}
