/**
 * What the acceptor remembers of an `accepted` object: enough to tell whether an edit changes
 * anything, without keeping every document in memory.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { serviceDocumentSchema, type Route, type ServiceDocument } from '@bluebellhitch/document';
import type { StoredObject } from '@bluebellhitch/objects';

export interface AcceptedSummary {
  /** Version of the `accepted` object: the condition of the next update. */
  objectVersion: number;
  generation: number;
  documentVersion: number;
  /** Digest of the normalised document. */
  digest: string;
  routes: Route[];
}

/** Only the counters, so that a document of a later schema still yields its generation. */
const countersSchema = z.object({
  generation: z.number().int().positive(),
  documentVersion: z.number().int().nonnegative(),
  document: z.unknown(),
});

/** Digest of a value that is no document. */
const unreadable = 'unreadable';

/** A value that cannot be read counts as generation 0 and differs from every document. */
export function summariseAccepted(object: StoredObject): AcceptedSummary {
  const counters = countersSchema.safeParse(object.value);
  const document = serviceDocumentSchema.safeParse(counters.data?.document);
  return {
    objectVersion: object.version,
    generation: counters.data?.generation ?? 0,
    documentVersion: counters.data?.documentVersion ?? 0,
    digest: document.success ? documentDigest(document.data) : unreadable,
    routes: document.data?.routes ?? [],
  };
}

/** Equal for documents that differ only in layout, comments and the order of fields. */
export function documentDigest(document: ServiceDocument): string {
  const inSchemaOrder = serviceDocumentSchema.parse(document);
  return createHash('sha256').update(JSON.stringify(inSchemaOrder)).digest('base64');
}
