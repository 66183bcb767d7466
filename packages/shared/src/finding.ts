/** Findings: problems collected with their place and reported together. */

export interface FindingPlace {
  /** Setting name, or a path such as `classes[0].weight`. */
  path: string;
  /** 1-based line and column in the source text, where there is one. */
  line?: number;
  column?: number;
}

export interface Finding extends FindingPlace {
  message: string;
  /** A suggestion, such as the nearest known field name. */
  hint?: string;
}

/** One line a finding: `path:line:column: message (hint)`. */
export function formatFinding(finding: Finding): string {
  const place = [finding.path, finding.line, finding.column]
    .filter((part) => part !== undefined)
    .join(':');
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${place}: ${finding.message}${hint}`;
}

export function formatFindings(findings: readonly Finding[]): string {
  return findings.map(formatFinding).join('\n');
}
