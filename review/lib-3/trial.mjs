/** Runs one trial in the folder of its case; the process ends with its verdict, which `run.sh` translates. */
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cell } from './cell.mjs';
import { Record } from './record.mjs';

/** Codes that no crash of the process has. */
const EXIT = { held: 20, broken: 21, notRun: 22 };

/** Longest trial, in ms. */
const LIMIT_MS = 112_000;

/** False if the trial is to do without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** `play` gets the cell and the record, and returns what broke the rule: an empty list if it held. */
export async function runTrial(caseUrl, play) {
  const record = new Record(join(fileURLToPath(new URL('.', caseUrl)), 'record.txt'));
  const cell = new Cell({ record });
  process.exitCode = EXIT.notRun;
  const exitCode = await verdictOf(record, () => play({ cell, record }));
  await cell.stop();
  await record.close();
  process.exitCode = exitCode;
}

async function verdictOf(record, play) {
  try {
    const violations = await withinLimit(play());
    violations.forEach((violation) => record.note('rule broken', violation));
    record.note('verdict', { hasTrouble: HAS_TROUBLE, violations: violations.length });
    return violations.length > 0 ? EXIT.broken : EXIT.held;
  } catch (err) {
    record.note('could not run', { err: String(err?.stack ?? err) });
    return EXIT.notRun;
  }
}

async function withinLimit(result) {
  let timer;
  const limit = new Promise((_, reject) => {
    timer = setTimeout(() => reject(new Error('the trial took too long')), LIMIT_MS);
  });
  return Promise.race([result, limit]).finally(() => clearTimeout(timer));
}
