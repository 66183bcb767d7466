/** Renders findings, changes and tables as text. */
import type { DocumentChange } from '@bluebellhitch/document';
import type { Finding } from '@bluebellhitch/shared';
import type { TextStyles } from './ctlIo';

/** `file:line:column: field: message (hint)`; editors and terminals make this format clickable. */
export function renderFinding(fileName: string, finding: Finding): string {
  const location = [fileName, finding.line, finding.column].filter((part) => part !== undefined);
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${location.join(':')}: ${finding.path}: ${finding.message}${hint}`;
}

/** `+` added, `-` removed, `~` changed. */
export function renderChange(styles: TextStyles, { path, before, after }: DocumentChange): string {
  if (before === undefined) {
    return styles.success(`+ ${path}: ${JSON.stringify(after)}`);
  }
  if (after === undefined) {
    return styles.failure(`- ${path}: ${JSON.stringify(before)}`);
  }
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

/** Left-aligned columns below their headings. */
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
export function formatCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}
