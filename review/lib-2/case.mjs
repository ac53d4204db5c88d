/** Frame of a case's script: record, deployment, verdict, exit code. */
import { fileURLToPath } from 'node:url';
import { Fleet } from './fleet.mjs';
import { JobBook } from './jobs.mjs';
import { Record } from './record.mjs';

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Longest time of a run, in ms. */
const MAX_RUN_MS = 118_000;

/**
 * Runs a case. `play({ fleet, jobs, record, isTroubled })` returns the ways in which the rule was broken, as texts. `folder`: URL of the
 * case's folder.
 */
export async function runCase(folder, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const record = new Record(fileURLToPath(new URL('record.txt', folder)));
  const jobs = new JobBook();
  const fleet = new Fleet({ record, jobs });
  const timer = setTimeout(() => {
    record.add('test', 'took too long', {});
    process.exitCode = COULD_NOT_RUN;
    void fleet.stop();
  }, MAX_RUN_MS);
  try {
    record.add('test', 'begins', { isTroubled });
    const breaches = await play({ fleet, jobs, record, isTroubled });
    breaches.forEach((breach) => record.add('test', 'RULE BROKEN', { breach }));
    record.add('test', breaches.length === 0 ? 'rule held' : 'rule broken');
    process.stdout.write(`${breaches.length === 0 ? 'rule held' : breaches.join('\n')}\n`);
    process.exitCode = breaches.length === 0 ? HELD : BROKEN;
  } catch (err) {
    record.add('test', 'could not run', { err: String(err?.stack ?? err) });
    process.stderr.write(`${err?.stack ?? err}\n`);
    process.exitCode = COULD_NOT_RUN;
  }
  clearTimeout(timer);
  await fleet.stop();
  await record.close();
}
