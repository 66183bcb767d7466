/**
 * The version that an edit started from. `get` notes it in the first line, so that `apply` of the
 * edited file cannot silently undo what somebody else wrote in between.
 */

const notePattern = /^# bluebellctl: version (\d+)\r?\n/;

/** JSON has no comments: its base version is given by a flag. */
export function addVersionNote(text: string, format: 'yaml' | 'json', version: number): string {
  return format === 'json' ? text : `# bluebellctl: version ${version}\n${text}`;
}

export interface NotedText {
  /** The text without the note: this is what is stored. */
  text: string;
  baseVersion?: number;
}

export function splitVersionNote(text: string): NotedText {
  const match = notePattern.exec(text);
  return match === null
    ? { text }
    : { text: text.slice(match[0].length), baseVersion: Number(match[1]) };
}
