/** Changes to a bundle as text for reviewers. */
import type { SectionChange } from '@zincspan/core';

const SIGNS = { added: '+', removed: '-', changed: '~' } as const;

/** One line for each section, and one for each field of a changed one. */
export function formatDiff(changes: readonly SectionChange[]): string {
  if (changes.length === 0) return 'No difference.';
  return changes.map(formatChange).join('\n');
}

function formatChange({ section, change, fields }: SectionChange): string {
  const head = `${SIGNS[change]} ${section} (${change})`;
  if (change === 'removed') return head;
  if (change === 'added') return `${head}\n    ${JSON.stringify(fields[0]?.after)}`;
  const lines = fields.map(
    ({ path, before, after }) => `    ${path}: ${formatValue(before)} -> ${formatValue(after)}`,
  );
  return [head, ...lines].join('\n');
}

function formatValue(value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value);
}
