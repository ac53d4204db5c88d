/** Settings of the operators' client: one JSON file with comments. */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import {
  FindingsError,
  addressSchema,
  nameSchema,
  operatorKeySchema,
  parseJsonc,
  type OperatorKey,
} from '@zincspan/core';
import * as z from 'zod';
import { UsageError } from '../usage-error.js';

/** File that is read unless `--config` names another. */
export const DEFAULT_CONFIG_FILE = 'zincspan-client.jsonc';

export const clientConfigSchema = z.strictObject({
  /** Where the entries serve HTTP; tried in this order. */
  entries: z.array(addressSchema).min(1).max(256),
  /** Name under which the entries' settings list the key. */
  operator: nameSchema,
  /** Key file of `zincspan keys new`, relative to this file. */
  keyFile: z.string().min(1),
  /** Longest wait for one entry, in ms. */
  timeoutMs: z.int().min(100).max(300_000).default(10_000),
});
export type ClientConfig = z.infer<typeof clientConfigSchema>;

/** Client settings with the operator's key. Throws UsageError. */
export function loadClientConfig(file: string): ClientConfig & { key: OperatorKey } {
  const config = readFile(file, clientConfigSchema, 'Write one, or name it with --config.');
  const key = loadKey(resolve(dirname(file), config.keyFile));
  if (key.operator === config.operator) return { ...config, key };
  throw new UsageError(
    `${file}: "operator" is "${config.operator}", but its key file belongs to "${key.operator}".`,
    'Correct "operator" or "keyFile".',
  );
}

/** An operator's key. Throws UsageError. */
export function loadKey(file: string): OperatorKey {
  return readFile(file, operatorKeySchema, 'Make one with "zincspan keys new NAME".');
}

function readFile<S extends z.ZodType>(file: string, schema: S, remedy: string): z.infer<S> {
  try {
    return parseJsonc(readText(file, remedy), schema, { source: file });
  } catch (err) {
    if (!(err instanceof FindingsError)) throw err;
    throw new UsageError(err.problem.detail, err.problem.remedy);
  }
}

/** Text of a file. Throws UsageError with `remedy` if it can't be read. */
export function readText(file: string, remedy: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new UsageError(`${file} can't be read: ${(err as Error).message}.`, remedy);
  }
}
