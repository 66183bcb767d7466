/** Suggestions for misspelt names. */

/** The known name nearest to `unknown`, unless all of them are far from it. */
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
  const lastRow = [...left].reduce((row, character, index) => {
    const next = [index + 1];
    [...right].forEach((other, column) => {
      const substitution = row[column]! + (character === other ? 0 : 1);
      next.push(Math.min(row[column + 1]! + 1, next[column]! + 1, substitution));
    });
    return next;
  }, firstRow);
  return lastRow[right.length]!;
}
