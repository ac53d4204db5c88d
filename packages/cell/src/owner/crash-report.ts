/** What a guard tells of its runner's crash is counted against the tasks that may have caused it. */
import type { RunnerCrash } from '@zincspan/core';
import { suspectsAmong } from '../job/crash-record.js';
import type { RunCrash } from '../job/progress.js';
import { parseTaskName } from '../job/task-name.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunBook } from './run-book.js';

/** Takes it up. It may be told again, also of runs that were given up before: each run counts once. */
export function takeUpCrash(book: RunBook, { vm }: Worker, { runs, livedMs }: RunnerCrash): void {
  suspectsAmong(runs).forEach(({ task, run, ranMs }) => {
    const parsed = parseTaskName(task);
    if (parsed === undefined) return;
    const { jobId, ref } = parsed;
    count(book, jobId, { ref, run, ranMs, livedMs }, { task, vm, runsThere: runs.length });
  });
}

/** The same of a crash that no guard could tell of: how old the run was isn't known. */
export function takeUpUntoldCrash(
  book: RunBook,
  { vm }: Worker,
  { name: task, jobId, ref, run }: Assignment,
): void {
  count(book, jobId, { ref, run, ranMs: undefined, livedMs: 0 }, { task, vm });
}

function count(book: RunBook, jobId: string, crash: RunCrash, inputs: object): void {
  const job = book.jobs.get(jobId);
  if (job === undefined || !book.noteCrash(job, crash)) return;
  const { run, ranMs, livedMs } = crash;
  const { atStart, all } = job.progress.findTask(crash.ref)?.crashes ?? {};
  const { outcome } = job.progress;
  book.log('runner crashed under a run', {
    ...inputs,
    run,
    ranMs,
    livedMs,
    atStart,
    all,
    outcome,
  });
}
