/**
 * A VM's guard is killed and started again, and the runner beside it crashes meanwhile and is lost for good. Its job has to go on
 * elsewhere: seven of eight runners are idle.
 */
import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Caller } from '../lib/caller.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { findIdleJobs } from '../lib/idle-jobs.mjs';
import { Runs } from '../lib/runs.mjs';
import { HAS_TROUBLE, VERDICT, runScenario, waitUntil } from '../lib/scenario.mjs';

const ENTRIES = 3;
const WORKERS = 8;

/** Tasks that a runner takes at once: one for each of its accelerators. */
const SLOTS = 8;

const QUEUE = {
  name: 'render',
  prefix: '/render/',
  account: 'crews',
  key: 'key-crews',
  maxAttempts: 4,
};

const FIRST_JOB = 'a000000000000001';
const LATER_JOBS = ['b000000000000001', 'b000000000000002', 'b000000000000003'];

const FIRST = { tasks: 2, workMs: 8000 };
const LATER = { tasks: 1, workMs: 500 };

const SERVING_LIMIT_MS = 20_000;
const SUBMIT_LIMIT_MS = 12_000;
const RUN_BEFORE_CRASH_MS = 1500;

/** The guard is away for this long, in ms. */
const GUARD_AWAY_MS = 2000;

/** Pause between the later jobs, in ms. */
const SUBMIT_PAUSE_MS = 1500;

function encodeJob({ tasks, workMs }) {
  const spec = JSON.stringify({ workMs });
  const step = { count: tasks, cpu: 4000, mem_mb: 1000, gpu: 1, estimate_ms: workMs };
  return { spec, steps: [step] };
}

async function submit(caller, id, shape) {
  const { prefix, key } = QUEUE;
  return caller.submit({ prefix, id, key, body: encodeJob(shape), forMs: SUBMIT_LIMIT_MS });
}

async function loseRunner({ workers }, record) {
  const { program, runner } = workers.find((worker) => worker.runner.life.running().length > 0);
  record.add(`${program.name} is killed, and its runner ${runner.life.id} is lost for good`);
  await program.kill();
  runner.close();
  await sleep(GUARD_AWAY_MS);
  program.start();
  record.add(`${program.name} is started again`);
}

async function run({ record, cleanUps }) {
  const log = (line) => record.add(line);
  const runs = new Runs({ record: log });
  const deployment = await Deployment.start({
    entries: ENTRIES,
    workers: WORKERS,
    slots: SLOTS,
    observer: runs.observer,
    onRefused: log,
  });
  cleanUps.push(() => deployment.stop());
  deployment.configure({ version: 1, queues: [QUEUE] });
  const caller = new Caller({ entries: deployment.entries, record: log });
  cleanUps.push(() => caller.close());

  if (!(await submit(caller, FIRST_JOB, FIRST))) return VERDICT.notRun;
  const runsWhole = () => runs.running(FIRST_JOB) === FIRST.tasks;
  if (!(await waitUntil(runsWhole, SERVING_LIMIT_MS))) return VERDICT.notRun;
  await sleep(RUN_BEFORE_CRASH_MS);
  if (HAS_TROUBLE) await loseRunner(deployment, record);
  for (const id of LATER_JOBS) {
    if (!(await submit(caller, id, LATER))) return VERDICT.notRun;
    await sleep(SUBMIT_PAUSE_MS);
  }
  record.add('end of the traffic');
  const jobs = [FIRST_JOB, ...LATER_JOBS].map((id) => ({ queue: QUEUE, id }));
  const idle = await findIdleJobs({ jobs, caller, runs, record });
  return idle.length > 0 ? VERDICT.broken : VERDICT.held;
}

await runScenario({ folder: dirname(fileURLToPath(import.meta.url)), run });
