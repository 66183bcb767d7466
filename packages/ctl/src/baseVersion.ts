/**
 * The version that an edit started from. `get` writes it as a comment into the first line, so that `apply` of the
 * edited file cannot silently revert what somebody else wrote in the meantime.
 */

const versionNotePattern = /^# bluebellctl: version (\d+)\r?\n/;

/** JSON has no comments; its base version is given with `--base-version`. */
export function addVersionNote(text: string, format: 'yaml' | 'json', version: number): string {
  return format === 'json' ? text : `# bluebellctl: version ${version}\n${text}`;
}

export interface TextWithBaseVersion {
  /** The text without the version note, as the platform stores it. */
  text: string;
  baseVersion?: number;
}

export function splitVersionNote(text: string): TextWithBaseVersion {
  const match = versionNotePattern.exec(text);
  return match === null
    ? { text }
    : { text: text.slice(match[0].length), baseVersion: Number(match[1]) };
}
