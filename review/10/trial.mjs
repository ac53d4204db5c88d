/** A gang within its account's guarantee that can never run, as it may not share runners, and small jobs of another account. */
import { wait } from '../lib-3/cell.mjs';
import { Client } from '../lib-3/client.mjs';
import { HAS_TROUBLE, runTrial } from '../lib-3/trial.mjs';

const PREFIX = '/proofs/';
const GANG = 'a1a1a1a1a1a1a1a1';

const ENTRIES = 4;
const WORKERS = 11;

/** Members of the gang: with at most one to a runner, it needs more runners than there are. */
const MEMBERS = 21;

/** Two members fill a worker of 64 cores and 256 GB; each takes one of its eight accelerators. */
const MEMBER_CPU = 26_000;
const MEMBER_MEMORY_MB = 110_000;

/** Accelerators that the gang's account is guaranteed, of 88. */
const GUARANTEED = MEMBERS;

/** Work of each task, in ms. */
const WORK_MS = 1000;

/** With the gang 21 jobs of one queue: a share of 0.048 that can never be done. */
const SMALL_JOBS = 20;

/** Between the small jobs, in ms: all come within 3 s. */
const GAP_MS = 140;

/** From the end of the traffic until every job has something running, in ms: `finish_s`. */
const FINISH_MS = 14_000;

/** Longest time with nothing running, in ms. */
const IDLE_MS = 3000;

await runTrial(import.meta.url, async ({ cell, record }) => {
  const started = new Set();
  await cell.start({
    entries: ENTRIES,
    workers: WORKERS,
    queues: [{ name: 'proofs', prefix: PREFIX, priority: 0 }],
    accounts: [{ name: 'studio', guaranteed: GUARANTEED }, { name: 'counter' }],
    watch: (what, { task }) => {
      if (what === 'run starts') started.add(task.split('.')[0]);
    },
  });
  const { entries } = cell;
  const studio = new Client({ entries, record, account: 'studio' });
  const counter = new Client({ entries, record, account: 'counter' });
  if (HAS_TROUBLE && !(await studio.submit(PREFIX, GANG, impossibleGang()))) {
    throw new Error('the gang was not accepted');
  }
  const accepted = [];
  for (let each = 0; each < SMALL_JOBS; each++) {
    await wait(GAP_MS);
    const id = `c1c1c1c1c1c1c1${String(each).padStart(2, '0')}`;
    if (await counter.submit(PREFIX, id, smallJob())) accepted.push(id);
  }
  if (accepted.length === 0) throw new Error('no small job was accepted');
  await wait(FINISH_MS + IDLE_MS);
  const states = await Promise.all(accepted.map((id) => counter.state(PREFIX, id)));
  record.note('at the end', { accepted: accepted.length, states });
  return accepted
    .filter((id) => !started.has(id))
    .map((id) => ({ rule: 'LOST', id, seen: 'accepted; no task was ever started' }));
});

function impossibleGang() {
  return {
    spec: JSON.stringify({ workMs: WORK_MS, gangs: { 0: MEMBERS } }),
    steps: [
      {
        count: MEMBERS,
        cpu: MEMBER_CPU,
        mem_mb: MEMBER_MEMORY_MB,
        gpu: 1,
        estimate_ms: WORK_MS,
        gang: true,
        anti_affinity: 1,
      },
    ],
  };
}

function smallJob() {
  return {
    spec: JSON.stringify({ workMs: WORK_MS }),
    steps: [{ count: 1, cpu: 4000, mem_mb: 16_384, gpu: 1, estimate_ms: WORK_MS }],
  };
}
