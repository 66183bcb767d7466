/** Reads and validates documents in local files. */
import { formatOf, parseDocument, type ServiceDocument } from '@bluebellhitch/document';
import type { Finding } from '@bluebellhitch/shared';
import { splitVersionNote } from './baseVersion';
import type { CtlIo } from './ctlIo';
import type { DocumentValue } from './documentObject';
import { formatCount, renderFinding } from './render';

/** The result of reading and validating one file. */
export type LocalDocument =
  | { kind: 'unreadable'; file: string; detail: string }
  | { kind: 'invalid'; file: string; findings: Finding[] }
  | ValidDocument;

export interface ValidDocument {
  kind: 'valid';
  file: string;
  value: DocumentValue;
  document: ServiceDocument;
  warnings: Finding[];
  /** From the version note that `get` wrote into the file. */
  baseVersion?: number;
}

export async function readLocalDocument(io: CtlIo, file: string): Promise<LocalDocument> {
  const content = await io.readFile(file);
  if (content.isErr()) {
    return { kind: 'unreadable', file, detail: content.error };
  }
  const format = formatOf(file);
  const { text, baseVersion } = splitVersionNote(content.value);
  const noteLines = baseVersion === undefined ? 0 : 1;
  return parseDocument(text, { fileName: file, format }).match<LocalDocument>(
    ({ document, findings }) => ({
      kind: 'valid',
      file,
      value: { text, format },
      document,
      warnings: findings.map((finding) => shiftLine(finding, noteLines)),
      ...(baseVersion === undefined ? {} : { baseVersion }),
    }),
    (findings) => ({
      kind: 'invalid',
      file,
      findings: findings.map((finding) => shiftLine(finding, noteLines)),
    }),
  );
}

export function isValid(local: LocalDocument): local is ValidDocument {
  return local.kind === 'valid';
}

/** Lines of the text output about one file. */
export function describeLocal(io: CtlIo, local: LocalDocument): string[] {
  switch (local.kind) {
    case 'unreadable':
      return [io.styles.failure(`${local.file}: cannot be read: ${local.detail}`)];
    case 'invalid':
      return [
        ...local.findings.map((finding) => renderFinding(local.file, finding)),
        io.styles.failure(`${local.file}: ${formatCount(local.findings.length, 'finding')}`),
      ];
    case 'valid':
      return [
        ...local.warnings.map((warning) => `${renderFinding(local.file, warning)} [warning]`),
        io.styles.success(`${local.file}: ${local.document.service} is valid`),
      ];
    default:
      return local satisfies never;
  }
}

/** Fields of the JSON output about one file. */
export function localData(local: LocalDocument): Record<string, unknown> {
  switch (local.kind) {
    case 'unreadable':
      return { file: local.file, state: 'unreadable', detail: local.detail };
    case 'invalid':
      return { file: local.file, state: 'invalid', findings: local.findings };
    case 'valid': {
      const { file, document, warnings } = local;
      return { file, state: 'valid', service: document.service, findings: warnings };
    }
    default:
      return local satisfies never;
  }
}

function shiftLine(finding: Finding, lineCount: number): Finding {
  return finding.line === undefined ? finding : { ...finding, line: finding.line + lineCount };
}
