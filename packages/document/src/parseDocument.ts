/** Parses a service document and reports all findings at once. */
import { err, ok, type Result } from 'neverthrow';
import type { Finding } from '@bluebellhitch/shared';
import { documentFindings, documentWarnings } from './documentChecks';
import { serviceDocumentSchema, type ServiceDocument } from './documentSchema';
import { normalizeDocument } from './normalizeDocument';
import { schemaFindings } from './schemaFindings';
import { readSourceText, type SourceText } from './sourceText';

export interface ParseDocumentOptions {
  /** A name that ends in `.json` requires strict JSON. */
  fileName?: string;
  /** Overrides the format derived from the file name. */
  format?: DocumentFormat;
}

export type DocumentFormat = 'yaml' | 'json';

export interface ParsedDocument {
  /** Normalised, with all defaults filled in. */
  document: ServiceDocument;
  /** Warnings, which do not reject the document. */
  findings: Finding[];
}

export function parseDocument(
  text: string,
  { fileName = 'document', format = formatOf(fileName) }: ParseDocumentOptions = {},
): Result<ParsedDocument, Finding[]> {
  return readSourceText(text, format).andThen(checkSource).mapErr(sortByPosition);
}

/** Format according to the file name's extension. */
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
        findings: documentWarnings(parsed.data, source),
      })
    : err(findings);
}

function sortByPosition(findings: readonly Finding[]): Finding[] {
  return [...findings].sort(
    (left, right) =>
      (left.line ?? 0) - (right.line ?? 0) || (left.column ?? 0) - (right.column ?? 0),
  );
}
