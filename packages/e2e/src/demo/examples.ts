/** Reads the files under examples/, which a user may edit. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'jsonc-parser';

const ROOT = new URL('../../../../examples/', import.meta.url);

/** Path of an example file, such as `tuul/bundle.jsonc`. */
export function examplePath(name: string): string {
  return fileURLToPath(new URL(name, ROOT));
}

/** An example file's content: JSON with comments. */
export function readExample(name: string): unknown {
  return parse(readFileSync(examplePath(name), 'utf8'), [], { allowTrailingComma: true });
}

/** The example bundles' token of an account: known to everyone, so for examples only. */
export function exampleToken(account: string): string {
  return `example-token-of-${account}`;
}
