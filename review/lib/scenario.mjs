/* eslint no-console: "off", n/no-process-exit: "off" */
/** Runs one scenario and ends the process with its verdict. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Record } from './record.mjs';

/** Exit codes of a script. */
export const VERDICT = { held: 0, broken: 1, notRun: 2 };

const WORDS = ['the rule held', 'the rule was broken', "the case couldn't run"];

/** Longest run, in ms. */
const MAX_RUN_MS = 115_000;

/** True unless `TROUBLE=0` switches the disruption off. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Calls `run` with a record; it returns a verdict and may add to `cleanUps`. */
export async function runScenario({ folder, run }) {
  const record = new Record(`${folder}/record.txt`);
  const cleanUps = [];
  let verdict = VERDICT.notRun;
  try {
    record.add(`start, disruption ${HAS_TROUBLE ? 'on' : 'off'}`);
    verdict = await Promise.race([run({ record, cleanUps }), timeLimit(record)]);
  } catch (err) {
    record.add(`failed: ${err.stack}`);
  }
  for (const cleanUp of cleanUps.reverse()) await cleanUp();
  record.add(`verdict: ${WORDS[verdict]}`);
  await record.save();
  console.log(WORDS[verdict]);
  process.exit(verdict);
}

/** Resolves once `isSo` holds; false after `limitMs`. */
export async function waitUntil(isSo, limitMs) {
  const endsAt = performance.now() + limitMs;
  while (performance.now() < endsAt) {
    if (await isSo()) return true;
    await sleep(100);
  }
  return false;
}

async function timeLimit(record) {
  await sleep(MAX_RUN_MS, undefined, { ref: false });
  record.add('out of time');
  return VERDICT.notRun;
}
