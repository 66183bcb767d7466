/** Findings: problems that are collected with their locations and reported together. */

export interface FindingLocation {
  /** Setting name, or a path such as `classes[0].weight`. */
  path: string;
  /** 1-based line and column in the source text, if there is one. */
  line?: number;
  column?: number;
}

export interface Finding extends FindingLocation {
  message: string;
  /** A suggestion, such as the nearest known field name. */
  hint?: string;
}

/** Formats a finding on one line: `path:line:column: message (hint)`. */
export function formatFinding(finding: Finding): string {
  const location = [finding.path, finding.line, finding.column]
    .filter((part) => part !== undefined)
    .join(':');
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${location}: ${finding.message}${hint}`;
}

export function formatFindings(findings: readonly Finding[]): string {
  return findings.map(formatFinding).join('\n');
}
