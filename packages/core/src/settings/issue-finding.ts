/** Turns zod's issues into findings: what was expected, and the remedy. */
import type { z } from 'zod';
import { formatPath, type Finding } from './finding.js';

type Issue = z.core.$ZodIssue;

/** Findings for a value that failed its schema. */
export function issuesToFindings(issues: readonly Issue[], value: unknown): Finding[] {
  return issues.flatMap((issue) => issueToFindings(issue, value));
}

function issueToFindings(issue: Issue, value: unknown): Finding[] {
  const path = formatPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: formatPath([...issue.path, key]),
      expected: 'no field of this name here',
      remedy: 'Remove it, or correct its spelling.',
    }));
  }
  const present = valueAt(value, issue.path) !== undefined;
  return [{ path, expected: expectedOf(issue), remedy: remedyOf(issue, path, present) }];
}

function expectedOf(issue: Issue): string {
  if (issue.code === 'invalid_value') {
    return issue.values.map((v) => JSON.stringify(v)).join(' or ');
  }
  if (issue.code === 'invalid_type') return article(issue.expected);
  if (issue.code === 'invalid_union') return expectedOfUnion(issue);
  // zod's own wording for bounds and formats ends with what it wanted.
  return issue.message.replace(/^.*?expected /i, '');
}

function expectedOfUnion(issue: Extract<Issue, { code: 'invalid_union' }>): string {
  const { options } = issue as { options?: unknown[] };
  if (options) return options.map((option) => JSON.stringify(option)).join(' or ');
  const branches = issue.errors.map((errors) => errors.map(expectedOf).join(' and '));
  return [...new Set(branches)].join(' or ') || 'one of the allowed forms';
}

function article(type: string): string {
  return /^[aeiou]/.test(type) ? `an ${type}` : `a ${type}`;
}

function remedyOf(issue: Issue, path: string, present: boolean): string {
  if (!present) return `Add "${path}".`;
  if (issue.code === 'too_big') return 'Lower it to the bound.';
  if (issue.code === 'too_small') return 'Raise it to the bound.';
  return 'Correct the value.';
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((at, part) => {
    if (typeof at !== 'object' || at === null) return undefined;
    return (at as Record<PropertyKey, unknown>)[part];
  }, value);
}
