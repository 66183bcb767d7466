/** The acceptor's decision about one `document` object: a pure function. */
import * as z from 'zod';
import type { Result } from 'neverthrow';
import type { DocumentFormat, ParsedDocument, ServiceDocument } from '@bluebellhitch/document';
import type { StoredObject } from '@bluebellhitch/objects';
import type { Finding } from '@bluebellhitch/shared';
import { documentDigest, type AcceptedSummary } from './acceptedSummary';
import { findKeyMismatch, findRouteConflicts, type RoutesByService } from './routeConflicts';

/** Parses and validates a document's text, all findings together; `parseDocument` has this shape. */
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
  /** Valid and different from what is in force: becomes the next generation. */
  | { kind: 'changed'; document: ServiceDocument; remarks: Finding[] }
  /** Valid, and says what is in force already. */
  | { kind: 'unchanged'; remarks: Finding[] }
  /** `blocked`: only other documents stand in its way. */
  | { kind: 'rejected'; findings: Finding[]; blocked: boolean };

export interface EvaluateOptions {
  object: StoredObject;
  accepted?: AcceptedSummary;
  routesInForce: RoutesByService;
  validate: DocumentValidator;
}

export function evaluateDocument(options: EvaluateOptions): Verdict {
  const { object, accepted, routesInForce, validate } = options;
  const value = documentValueSchema.safeParse(object.value);
  if (!value.success) {
    return { kind: 'rejected', findings: valueFindings(value.error), blocked: false };
  }
  const { text, format } = value.data;
  const validated = validate(text, { fileName: `${object.key}.${format}`, format });
  if (validated.isErr()) {
    return { kind: 'rejected', findings: validated.error, blocked: false };
  }
  const { document, findings: remarks } = validated.value;
  const mismatches = findKeyMismatch(object.key, document);
  const conflicts = findRouteConflicts(document, routesInForce);
  if (mismatches.length + conflicts.length > 0) {
    const findings = [...mismatches, ...conflicts];
    return { kind: 'rejected', findings, blocked: mismatches.length === 0 };
  }
  const unchanged = accepted?.digest === documentDigest(document);
  return unchanged ? { kind: 'unchanged', remarks } : { kind: 'changed', document, remarks };
}

function valueFindings(error: z.ZodError): Finding[] {
  return error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }));
}
