/** Tables for people at a terminal. */

/** Columns aligned, two spaces apart; a line under the headings. */
export function formatTable(headings: readonly string[], rows: readonly unknown[][]): string {
  const cells = rows.map((row) => row.map((cell) => String(cell ?? '-')));
  const widths = headings.map((heading, i) =>
    Math.max(heading.length, ...cells.map((row) => row[i]?.length ?? 0)),
  );
  const line = (row: readonly string[]): string =>
    row
      .map((cell, i) => cell.padEnd(widths[i] ?? 0))
      .join('  ')
      .trimEnd();
  const rule = widths.map((width) => '-'.repeat(width));
  return [line(headings), line(rule), ...cells.map(line)].join('\n');
}

/** Wall-clock ms as date and time in UTC. */
export function formatTime(ms: number | undefined): string {
  return ms === undefined ? '-' : new Date(ms).toISOString().replace('T', ' ').replace('Z', '');
}
