/** Reads a service document and reports every finding at once. */
import { err, ok, type Result } from 'neverthrow';
import type { Finding } from '@bluebellhitch/shared';
import { documentFindings, documentRemarks } from './documentChecks';
import { serviceDocumentSchema, type ServiceDocument } from './documentSchema';
import { normalizeDocument } from './normalizeDocument';
import { schemaFindings } from './schemaFindings';
import { readSourceText, type SourceText } from './sourceText';

export interface ParseDocumentOptions {
  /** A `.json` name asks for strict JSON. */
  fileName?: string;
  /** Overrides what the file's name says. */
  format?: DocumentFormat;
}

export type DocumentFormat = 'yaml' | 'json';

export interface ParsedDocument {
  /** Normalised, with all defaults filled in. */
  document: ServiceDocument;
  /** Remarks that do not refuse the document. */
  findings: Finding[];
}

export function parseDocument(
  text: string,
  { fileName = 'document', format = formatOf(fileName) }: ParseDocumentOptions = {},
): Result<ParsedDocument, Finding[]> {
  return readSourceText(text, format).andThen(checkSource).mapErr(inOrder);
}

/** Format by the extension of a file's name. */
export function formatOf(fileName: string): DocumentFormat {
  return fileName.toLowerCase().endsWith('.json') ? 'json' : 'yaml';
}

function checkSource(source: SourceText): Result<ParsedDocument, Finding[]> {
  const parsed = serviceDocumentSchema.safeParse(source.value);
  const findings = [
    ...source.findings,
    ...schemaFindings(parsed.error?.issues ?? [], source),
    ...documentFindings(source),
  ];
  return parsed.success && findings.length === 0
    ? ok({
        document: normalizeDocument(parsed.data),
        findings: documentRemarks(parsed.data, source),
      })
    : err(findings);
}

function inOrder(findings: readonly Finding[]): Finding[] {
  return [...findings].sort(
    (left, right) =>
      (left.line ?? 0) - (right.line ?? 0) || (left.column ?? 0) - (right.column ?? 0),
  );
}
