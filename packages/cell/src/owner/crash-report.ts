/** What a guard tells of its runner's crash is counted against the tasks that may have caused it. */
import type { RunnerCrash } from '@zincspan/core';
import { selectSuspects } from '../job/crash-record.js';
import type { RunCrash } from '../job/progress.js';
import { parseTaskName } from '../job/task-name.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunBook } from './run-book.js';

/** Takes it up. It may be told again, also of runs that were given up before: each run counts once. */
export function takeUpCrash(book: RunBook, { vm }: Worker, { runs, livedMs }: RunnerCrash): void {
  const suspects = selectSuspects(runs).flatMap(({ task, run, ranMs }) => {
    const parsed = parseTaskName(task);
    return parsed === undefined ? [] : [{ ...parsed, task, run, ranMs }];
  });
  const isAlone = new Set(suspects.map(({ jobId }) => jobId)).size === 1;
  suspects.forEach(({ jobId, ref, task, run, ranMs }) => {
    const crash = { ref, run, ranMs, livedMs, isAlone };
    count(book, jobId, crash, { task, vm, runsThere: runs.length });
  });
}

/** The same of a crash that no guard could tell of: how old the run was isn't known. */
export function takeUpUntoldCrash(
  book: RunBook,
  { vm }: Worker,
  { name: task, jobId, ref, run }: Assignment,
): void {
  count(book, jobId, { ref, run, ranMs: undefined, livedMs: 0, isAlone: false }, { task, vm });
}

function count(book: RunBook, jobId: string, crash: RunCrash, inputs: object): void {
  const job = book.jobs.get(jobId);
  if (job === undefined || !book.noteCrash(job, crash)) return;
  const { run, ranMs, livedMs, isAlone } = crash;
  const { atStart, alone, all } = job.progress.findTask(crash.ref)?.crashes ?? {};
  const { outcome } = job.progress;
  book.log('runner crashed under a run', {
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
