/** Counts a runner's crash against the tasks that may have caused it. */
import type { RunnerCrash } from '@zincspan/core';
import { selectSuspects } from '../job/crash-record.js';
import type { RunCrash } from '../job/progress.js';
import { parseTaskName } from '../job/task-name.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunRegistry } from './run-registry.js';

/** Counts a crash that a guard reports. It may be reported again, also for runs already marked lost: each run counts once. */
export function recordReportedCrash(
  registry: RunRegistry,
  { vm }: Worker,
  { runs, livedMs }: RunnerCrash,
): void {
  const suspects = selectSuspects(runs).flatMap(({ task, run, ranMs }) => {
    const parsed = parseTaskName(task);
    return parsed === undefined ? [] : [{ ...parsed, task, run, ranMs }];
  });
  const isAlone = new Set(suspects.map(({ jobId }) => jobId)).size === 1;
  suspects.forEach(({ jobId, ref, task, run, ranMs }) => {
    const crash = { ref, run, ranMs, livedMs, isAlone };
    countCrash(registry, jobId, crash, { task, vm, runsThere: runs.length });
  });
}

/** Counts a crash that no guard could report: the age of the run isn't known. */
export function recordUnreportedCrash(
  registry: RunRegistry,
  { vm }: Worker,
  { name: task, jobId, ref, run }: Assignment,
): void {
  countCrash(
    registry,
    jobId,
    { ref, run, ranMs: undefined, livedMs: 0, isAlone: false },
    { task, vm },
  );
}

function countCrash(registry: RunRegistry, jobId: string, crash: RunCrash, inputs: object): void {
  const job = registry.jobs.get(jobId);
  if (job === undefined || !registry.recordCrash(job, crash)) return;
  const { run, ranMs, livedMs, isAlone } = crash;
  const { atStart, alone, all } = job.progress.findTask(crash.ref)?.crashes ?? {};
  const { outcome } = job.progress;
  registry.log('runner crash counted against task', {
    ...inputs,
    run,
    ranMs,
    livedMs,
    isAlone,
    atStart,
    alone,
    all,
    outcome,
  });
}
