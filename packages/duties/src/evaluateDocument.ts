/** Decides whether one `document` object is accepted; pure. */
import * as z from 'zod';
import type { Result } from 'neverthrow';
import type { DocumentFormat, ParsedDocument, ServiceDocument } from '@bluebellhitch/document';
import type { StoredObject } from '@bluebellhitch/objects';
import type { Finding } from '@bluebellhitch/shared';
import { documentDigest, type AcceptedSummary } from './acceptedSummary';
import { findKeyMismatch, findRouteConflicts, type RoutesByService } from './routeConflicts';

/** Parses and validates a document's text and reports all findings together, as `parseDocument` does. */
export type DocumentValidator = (
  text: string,
  options: { fileName: string; format: DocumentFormat },
) => Result<ParsedDocument, Finding[]>;

/** The value of a `document` object. */
export const documentValueSchema = z.object({
  text: z.string(),
  format: z.enum(['yaml', 'json']).default('yaml'),
});

export type Verdict =
  /** Valid and different from the document in force: becomes the next generation. */
  | { kind: 'changed'; document: ServiceDocument; warnings: Finding[] }
  /** Valid and equal to the document in force. */
  | { kind: 'unchanged'; warnings: Finding[] }
  /** `blocked`: rejected only because of routes that other documents have in force. */
  | { kind: 'rejected'; findings: Finding[]; blocked: boolean };

export interface EvaluateOptions {
  object: StoredObject;
  accepted?: AcceptedSummary;
  activeRoutes: RoutesByService;
  validate: DocumentValidator;
}

export function evaluateDocument(options: EvaluateOptions): Verdict {
  const { object, accepted, activeRoutes, validate } = options;
  const value = documentValueSchema.safeParse(object.value);
  if (!value.success) {
    return { kind: 'rejected', findings: valueFindings(value.error), blocked: false };
  }
  const { text, format } = value.data;
  const validated = validate(text, { fileName: `${object.key}.${format}`, format });
  if (validated.isErr()) {
    return { kind: 'rejected', findings: validated.error, blocked: false };
  }
  const { document, findings: warnings } = validated.value;
  const mismatches = findKeyMismatch(object.key, document);
  const conflicts = findRouteConflicts(document, activeRoutes);
  if (mismatches.length + conflicts.length > 0) {
    const findings = [...mismatches, ...conflicts];
    return { kind: 'rejected', findings, blocked: mismatches.length === 0 };
  }
  const unchanged = accepted?.digest === documentDigest(document);
  return unchanged ? { kind: 'unchanged', warnings } : { kind: 'changed', document, warnings };
}

function valueFindings(error: z.ZodError): Finding[] {
  return error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }));
}
