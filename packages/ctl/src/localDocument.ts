/** Documents in files, read and checked. */
import { formatOf, parseDocument, type ServiceDocument } from '@bluebellhitch/document';
import type { Finding } from '@bluebellhitch/shared';
import { splitVersionNote } from './baseVersion';
import type { CtlIo } from './ctlIo';
import type { DocumentValue } from './documentObject';
import { countOf, renderFinding } from './render';

/** A file: readable or not, with or without a valid document. */
export type LocalDocument =
  | { kind: 'unreadable'; file: string; detail: string }
  | { kind: 'invalid'; file: string; findings: Finding[] }
  | ValidDocument;

export interface ValidDocument {
  kind: 'valid';
  file: string;
  value: DocumentValue;
  document: ServiceDocument;
  remarks: Finding[];
  /** Noted in the file by `get`. */
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
      remarks: findings.map((finding) => movedDown(finding, noteLines)),
      ...(baseVersion === undefined ? {} : { baseVersion }),
    }),
    (findings) => ({
      kind: 'invalid',
      file,
      findings: findings.map((finding) => movedDown(finding, noteLines)),
    }),
  );
}

export function isValid(local: LocalDocument): local is ValidDocument {
  return local.kind === 'valid';
}

/** Lines about one file for people. */
export function describeLocal(io: CtlIo, local: LocalDocument): string[] {
  switch (local.kind) {
    case 'unreadable':
      return [io.paint.bad(`${local.file}: cannot be read: ${local.detail}`)];
    case 'invalid':
      return [
        ...local.findings.map((finding) => renderFinding(local.file, finding)),
        io.paint.bad(`${local.file}: ${countOf(local.findings.length, 'finding')}`),
      ];
    case 'valid':
      return [
        ...local.remarks.map((remark) => `${renderFinding(local.file, remark)} [remark]`),
        io.paint.good(`${local.file}: ${local.document.service} is valid`),
      ];
    default:
      return local satisfies never;
  }
}

/** The JSON form of one file. */
export function localData(local: LocalDocument): Record<string, unknown> {
  switch (local.kind) {
    case 'unreadable':
      return { file: local.file, state: 'unreadable', detail: local.detail };
    case 'invalid':
      return { file: local.file, state: 'invalid', findings: local.findings };
    case 'valid': {
      const { file, document, remarks } = local;
      return { file, state: 'valid', service: document.service, findings: remarks };
    }
    default:
      return local satisfies never;
  }
}

function movedDown(finding: Finding, lines: number): Finding {
  return finding.line === undefined ? finding : { ...finding, line: finding.line + lines };
}
