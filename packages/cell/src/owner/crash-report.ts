/** What a guard tells of its runner's crash is counted against the tasks that may have caused it. */
import type { RunnerCrash } from '@zincspan/core';
import { blamedFor } from '../job/crash-record.js';
import { parseTaskName } from '../job/task-name.js';
import type { Worker } from '../worker/worker.js';
import type { RunBook } from './run-book.js';

/** Takes it up. It may be told again, also of runs that were given up before: each run counts once. */
export function takeUpCrash(book: RunBook, { vm }: Worker, { runs, livedMs }: RunnerCrash): void {
  blamedFor(runs).forEach(({ task, run, ranMs }) => {
    const parsed = parseTaskName(task);
    const job = book.jobs.get(parsed?.jobId ?? '');
    if (parsed === undefined || job === undefined) return;
    const { ref } = parsed;
    if (!book.noteCrash(job, { ref, run, ranMs, livedMs })) return;
    const { atStart, all } = job.progress.findTask(ref)?.crashes ?? {};
    const { outcome } = job.progress;
    const aboard = runs.length;
    const inputs = { task, run, vm, ranMs, livedMs, aboard, atStart, all };
    book.log('runner crashed under a run', { ...inputs, outcome });
  });
}
