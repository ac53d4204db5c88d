/** Reads JSON with comments against a schema; refuses with line, path, expected and remedy. */
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import type { z } from 'zod';
import { FindingsError, formatPath, type Finding } from './finding.js';
import { issuesToFindings } from './issue-finding.js';

/**
 * The value that `text` holds, checked and with its defaults filled in. Throws FindingsError.
 * `source` names the file in the message.
 */
export function parseJsonc<S extends z.ZodType>(
  text: string,
  schema: S,
  { source = 'The file' }: { source?: string } = {},
): z.infer<S> {
  const root = parseText(text, source);
  const duplicates = findDuplicates(root, text);
  if (duplicates.length > 0) throw new FindingsError(source, duplicates);
  const parsed = schema.safeParse(getNodeValue(root));
  if (parsed.success) return parsed.data;
  throw new FindingsError(source, findingsWithLines(parsed.error.issues, root, text));
}

/** A value that was parsed already, checked and with its defaults filled in. Throws FindingsError. */
export function checkValue<S extends z.ZodType>(
  value: unknown,
  schema: S,
  { source = 'The value' }: { source?: string } = {},
): z.infer<S> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new FindingsError(source, issuesToFindings(parsed.error.issues, value));
}

function parseText(text: string, source: string): Node {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (root && errors.length === 0) return root;
  const findings = errors.map(({ error, offset }) => ({
    path: '(syntax)',
    expected: `JSON with comments, not ${printParseErrorCode(error)}`,
    remedy: 'Correct the syntax at this line or just before it.',
    line: lineOf(text, offset),
  }));
  const empty = { path: '(root)', expected: 'an object', remedy: 'Fill the file.', line: 1 };
  throw new FindingsError(source, findings.length > 0 ? findings : [empty]);
}

/** A field given twice would silently lose its first value. */
function findDuplicates(node: Node, text: string, path: PropertyKey[] = []): Finding[] {
  if (node.type === 'array') {
    return (node.children ?? []).flatMap((item, i) => findDuplicates(item, text, [...path, i]));
  }
  if (node.type !== 'object') return [];
  const seen = new Set<string>();
  return (node.children ?? []).flatMap((property) => {
    const [key, value] = property.children ?? [];
    if (!key || !value) return [];
    const name = String(key.value);
    const repeated = seen.has(name);
    seen.add(name);
    const nested = findDuplicates(value, text, [...path, name]);
    return repeated ? [duplicateOf([...path, name], lineOf(text, key.offset)), ...nested] : nested;
  });
}

function duplicateOf(path: PropertyKey[], line: number): Finding {
  const remedy = 'Remove one of the two.';
  return { path: formatPath(path), expected: 'a field only once', remedy, line };
}

function findingsWithLines(
  issues: readonly z.core.$ZodIssue[],
  root: Node,
  text: string,
): Finding[] {
  const value: unknown = getNodeValue(root);
  return issues.flatMap((issue) =>
    issuesToFindings([issue], value).map((finding) => ({
      ...finding,
      line: lineOf(text, offsetOf(issue, finding, root)),
    })),
  );
}

/** Where a finding stands; a missing field stands where the object that lacks it begins. */
function offsetOf(issue: z.core.$ZodIssue, finding: Finding, root: Node): number {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  if (issue.code === 'unrecognized_keys') {
    const key = issue.keys.find((name) => formatPath([...path, name]) === finding.path);
    if (key !== undefined) path.push(key);
  }
  for (let { length } = path; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node) return node.offset;
  }
  return root.offset;
}

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
