/** Tables in Markdown, which can be copied into docs/BENCHMARKS.md as printed. */

/** Renders a Markdown table; the cells of a column are padded to the same width. */
export function renderTable(
  headers: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headers.map((header, column) =>
    Math.max(header.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]) =>
    `| ${widths.map((width, column) => (cells[column] ?? '').padEnd(width)).join(' | ')} |`;
  const rule = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [line(headers), rule, ...rows.map(line)].join('\n');
}

export function formatMs(valueMs: number): string {
  return valueMs >= 100 ? valueMs.toFixed(0) : valueMs.toFixed(valueMs >= 10 ? 1 : 2);
}

export function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

export function formatCounts(counts: Readonly<Record<string, number>>): string {
  const texts = Object.entries(counts).map(([name, count]) => `${name} ${count}`);
  return texts.length === 0 ? '-' : texts.join(', ');
}
