/** Findings: what is wrong with a file an operator wrote, where, and what to do about it. */
import * as z from 'zod';
import { ProblemError, problem } from '../error/problem.js';

/** One thing wrong. `path` is dotted from the root of the file; the root itself is `(root)`. */
export const findingSchema = z.strictObject({
  path: z.string(),
  expected: z.string(),
  remedy: z.string(),
  /** 1 for the first line; absent where the text isn't at hand. */
  line: z.optional(z.int().min(1)),
});
export type Finding = z.infer<typeof findingSchema>;

/** One finding as one line of text. */
export function formatFinding({ path, expected, remedy, line }: Finding): string {
  const place = line === undefined ? path : `line ${line}, ${path}`;
  return `${place}: expected ${expected}. ${remedy}`;
}

/** Thrown for a file with findings, as problem `bad-input`; its detail lists them all, one a line. */
export class FindingsError extends ProblemError {
  readonly findings: Finding[];

  constructor(source: string, findings: Finding[]) {
    const lines = findings.map((finding) => `  ${formatFinding(finding)}`);
    const detail = [`${source} is refused:`, ...lines, ''].join('\n');
    super(problem('bad-input', { detail, remedy: 'Correct these and try again.' }));
    this.name = 'FindingsError';
    this.findings = findings;
  }
}

/** Path of a field as people write it: `accounts[2].tokens[0].sha256`. */
export function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) return '(root)';
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}
