/** Reads KNOWN-RED.txt: tests that may fail for a known fault, one a line: `scenario name | run and what was seen | cause | issue`. */
import { existsSync, readFileSync } from 'node:fs';

/** Each line names an open issue, so that no fault is listed without one who looks after it. */
const ISSUE = /\| *issue \d+$/;

/** Names of scenarios that may fail, with their lines. */
export function readKnownRed(file = 'KNOWN-RED.txt') {
  if (!existsSync(file)) return new Map();
  const lines = readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.trim() && !line.startsWith('#'));
  const orphan = lines.find((line) => !ISSUE.test(line.trimEnd()));
  if (orphan !== undefined) throw new Error(`${file}: no issue at the end of: ${orphan}`);
  return new Map(lines.map((line) => [line.split('|')[0].trim(), line]));
}
