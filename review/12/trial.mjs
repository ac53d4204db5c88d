/** A timed job that runs once a minute for a day. */
import { wait } from '../lib-3/cell.mjs';
import { Client } from '../lib-3/client.mjs';
import { HAS_TROUBLE, runTrial } from '../lib-3/trial.mjs';

const PREFIX = '/scans/';
const JOB = 'e0e0e0e0e0e0e0e0';

/** Work of each task, in ms. */
const WORK_MS = 500;

const INTERVAL_MS = 60_000;

/** Once a minute for a day, and for an hour. */
const OCCURRENCES_OF_A_DAY = 1440;
const OCCURRENCES_OF_AN_HOUR = 60;

/** From the submission to the first occurrence, in ms. */
const FIRST_AFTER_MS = 2000;

/** After its acknowledgement a job is visible within this time, in ms: `visible_ms`. */
const VISIBLE_MS = 3000;

/** Time for the first occurrence, in ms. */
const FINISH_MS = 14_000;

const GONE = 410;

await runTrial(import.meta.url, async ({ cell, record }) => {
  let starts = 0;
  await cell.start({
    entries: 3,
    workers: 3,
    queues: [{ name: 'scans', prefix: PREFIX }],
    accounts: [{ name: 'archive' }],
    watch: (what) => {
      if (what === 'run starts') starts += 1;
    },
  });
  const { entries } = cell;
  const client = new Client({ entries, record, account: 'archive' });
  if (!(await client.submit(PREFIX, JOB, timedJob()))) throw new Error('the job was not accepted');
  await wait(VISIBLE_MS);
  const states = [];
  for (let each = 0; each < entries.length; each++) states.push(await client.state(PREFIX, JOB));
  await wait(FINISH_MS);
  states.push(await client.state(PREFIX, JOB));
  record.note('at the end', { states, starts });
  const gone = states.filter((state) => state === GONE).length;
  if (gone === 0 && starts > 0) return [];
  return [{ rule: 'LOST', id: JOB, answered410: gone, of: states.length, starts }];
});

function timedJob() {
  return {
    spec: JSON.stringify({ workMs: WORK_MS }),
    steps: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: WORK_MS }],
    repeat_count: HAS_TROUBLE ? OCCURRENCES_OF_A_DAY : OCCURRENCES_OF_AN_HOUR,
    interval_ms: INTERVAL_MS,
    start_at_ms: Date.now() + FIRST_AFTER_MS,
  };
}
