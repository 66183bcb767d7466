/** Suggestions for misspelt names. */

/** Returns the known name closest to `unknown`, or `undefined` if none is close. */
export function nearestName(unknown: string, known: readonly string[]): string | undefined {
  const limit = Math.max(2, Math.floor(unknown.length / 3));
  const [nearest] = known
    .map((name) => ({ name, distance: editDistance(unknown.toLowerCase(), name.toLowerCase()) }))
    .filter(({ distance }) => distance <= limit)
    .sort((left, right) => left.distance - right.distance);
  return nearest?.name;
}

/** Levenshtein distance, one row of the table at a time. */
function editDistance(left: string, right: string): number {
  const firstRow = Array.from({ length: right.length + 1 }, (_, column) => column);
  const lastRow = [...left].reduce((row, character) => nextRow(row, character, right), firstRow);
  return lastRow.at(-1) ?? 0;
}

function nextRow(row: readonly number[], character: string, right: string): number[] {
  const [above = 0, ...rest] = row;
  const next = [above + 1];
  rest.reduce((diagonal, upper, column) => {
    const substitution = diagonal + (character === right[column] ? 0 : 1);
    next.push(Math.min(upper + 1, (next.at(-1) ?? 0) + 1, substitution));
    return upper;
  }, above);
  return next;
}
