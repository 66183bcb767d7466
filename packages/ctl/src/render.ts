/** Text forms of findings, changes and tables for people. */
import type { DocumentChange } from '@bluebellhitch/document';
import type { Finding } from '@bluebellhitch/shared';
import type { Paint } from './ctlIo';

/** `file:line:column: field: message (hint)`, which editors and terminals make clickable. */
export function renderFinding(fileName: string, finding: Finding): string {
  const place = [fileName, finding.line, finding.column].filter((part) => part !== undefined);
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${place.join(':')}: ${finding.path}: ${finding.message}${hint}`;
}

/** `+` new, `-` gone, `~` changed. */
export function renderChange(paint: Paint, { path, before, after }: DocumentChange): string {
  if (before === undefined) {
    return paint.good(`+ ${path}: ${JSON.stringify(after)}`);
  }
  if (after === undefined) {
    return paint.bad(`- ${path}: ${JSON.stringify(before)}`);
  }
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

/** Left-aligned columns under their headings. */
export function renderTable(headings: readonly string[], rows: readonly string[][]): string[] {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  return [[...headings], ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

export function indent(lines: readonly string[]): string[] {
  return lines.map((line) => `  ${line}`);
}

/** `1 finding`, `2 findings`. */
export function countOf(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}
