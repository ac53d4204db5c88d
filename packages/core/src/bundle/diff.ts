/** What a change to a bundle changes, field by field, for those who review it. */
import type { Bundle } from './bundle.js';
import { compareNames } from './sections.js';
import { SectionSet } from './section-set.js';

/** One field that differs. `path` is dotted from the section; absent values are undefined. */
export interface FieldChange {
  path: string;
  before: unknown;
  after: unknown;
}

/** One section that differs. */
export interface SectionChange {
  section: string;
  change: 'added' | 'removed' | 'changed';
  fields: FieldChange[];
}

/** Changes from one bundle to another, in order of section. */
export function diffBundles(before: Bundle | undefined, after: Bundle): SectionChange[] {
  const old = before ? SectionSet.of(before) : SectionSet.EMPTY;
  const next = SectionSet.of(after);
  return next
    .changedNames(old)
    .sort(compareNames)
    .map((section) => ({
      section,
      change: changeOf(old.has(section), next.has(section)),
      fields: diffValues(old.get(section)?.value, next.get(section)?.value),
    }));
}

function changeOf(was: boolean, is: boolean): SectionChange['change'] {
  if (!was) return 'added';
  return is ? 'changed' : 'removed';
}

function diffValues(before: unknown, after: unknown, path = ''): FieldChange[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  if (!isRecord(before) || !isRecord(after)) return [{ path, before, after }];
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return keys.flatMap((key) =>
    diffValues(before[key], after[key], path === '' ? key : `${path}.${key}`),
  );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
