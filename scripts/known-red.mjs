/** Reads KNOWN-RED.txt: tests that may fail for a known fault, one a line: `scenario name | cause | issue`. */
import { existsSync, readFileSync } from 'node:fs';

const LIMIT = 3;

/** Names of scenarios that may fail, with their lines. */
export function readKnownRed(file = 'KNOWN-RED.txt') {
  if (!existsSync(file)) return new Map();
  const lines = readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.trim() && !line.startsWith('#'));
  if (lines.length > LIMIT) {
    throw new Error(`${file} has ${lines.length} lines; at most ${LIMIT}. Mend the others.`);
  }
  return new Map(lines.map((line) => [line.split('|')[0].trim(), line]));
}
