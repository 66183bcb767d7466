/**
 * Summary of an `accepted` object as the acceptor caches it: enough to detect whether an edit changes anything,
 * without keeping every document in memory.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { serviceDocumentSchema, type Route, type ServiceDocument } from '@bluebellhitch/document';
import type { StoredObject } from '@bluebellhitch/objects';

export interface AcceptedSummary {
  /** Version of the `accepted` object, which the next update is conditional on. */
  objectVersion: number;
  generation: number;
  documentVersion: number;
  /** Digest of the normalised document. */
  digest: string;
  routes: Route[];
}

/** Parses the counters only, so that a document of a later schema still yields its generation. */
const countersSchema = z.object({
  generation: z.number().int().positive(),
  documentVersion: z.number().int().nonnegative(),
  document: z.unknown(),
});

/** Stands for the digest of a value that is not a valid document. */
const unreadableDigest = 'unreadable';

/** An unreadable value has generation 0 and a digest that no document has. */
export function summariseAccepted(object: StoredObject): AcceptedSummary {
  const counters = countersSchema.safeParse(object.value);
  const document = serviceDocumentSchema.safeParse(counters.data?.document);
  return {
    objectVersion: object.version,
    generation: counters.data?.generation ?? 0,
    documentVersion: counters.data?.documentVersion ?? 0,
    digest: document.success ? documentDigest(document.data) : unreadableDigest,
    routes: document.data?.routes ?? [],
  };
}

/** Base64 SHA-256 digest, equal for documents that differ only in layout, comments or field order. */
export function documentDigest(document: ServiceDocument): string {
  const normalised = serviceDocumentSchema.parse(document);
  return createHash('sha256').update(JSON.stringify(normalised)).digest('base64');
}
