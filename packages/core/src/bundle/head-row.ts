/** Rows by which a bundle is rolled out. */
import * as z from 'zod';
import { nameSchema } from '../vm/vm.js';
import { bundleHeadSchema } from './bundle.js';

/** Key of the row that names the bundle in force; it only moves forward. */
export const BUNDLE_HEAD_KEY = 'bundle/head';

/** Prefix of the rows that keep every head ever rolled out. */
export const BUNDLE_HISTORY_PREFIX = 'bundle-history/';

const VERSION_DIGITS = 12;

/** Key of a version's row; keys are in order of version. */
export function bundleHistoryKey(version: number): string {
  return `${BUNDLE_HISTORY_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`;
}

/** Key of a bundle's body in the object store. */
export function bundleObjectKey(digest: string): string {
  return `bundles/${digest}`;
}

/** Value of both rows: the head, and who rolled it out when (wall-clock ms). */
export const bundleHeadRowSchema = z.strictObject({
  head: bundleHeadSchema,
  by: nameSchema,
  at: z.number(),
});
export type BundleHeadRow = z.infer<typeof bundleHeadRowSchema>;
