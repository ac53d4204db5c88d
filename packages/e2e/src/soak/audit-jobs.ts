/** Holds what callers were told of their jobs against what the workers' ledgers say. */
import type { WorkerLedgerAnswer } from '../audit/stand-in-calls.js';
import type { SubmittedJob } from './job-log.js';

type TaskRun = WorkerLedgerAnswer['entries'][number] & { attempt: number };

const TASK_NAME = /^jobs~[^~]+~(.+)~(\d+)~\d+$/;

/** A line for each violation. Jobs must have ended. */
export function auditJobs(jobs: SubmittedJob[], ledgers: WorkerLedgerAnswer[]): string[] {
  const runs = new Map<string, TaskRun[]>();
  ledgers
    .flatMap(({ entries }) => entries)
    .forEach((entry) => {
      const [, id = '', attempt] = TASK_NAME.exec(entry.task) ?? [];
      runs.set(id, [...(runs.get(id) ?? []), { ...entry, attempt: Number(attempt) }]);
    });
  return [
    ...jobs.flatMap((job) => auditJob(job, runs.get(job.status?.id ?? '') ?? [])),
    ...ledgers.flatMap(({ violations }) =>
      violations > 0 ? [`${violations} tasks were ordered onto taken accelerators`] : [],
    ),
  ];
}

function auditJob({ status, idempotent, tasks }: SubmittedJob, runs: TaskRun[]): string[] {
  if (status === undefined) return [];
  const { id, state, outcome, final } = status;
  const started = runs.filter(({ starts }) => starts > 0);
  const attempts = new Set(started.map(({ attempt }) => attempt));
  const broken: string[] = [];
  if (!final) broken.push(`${id}: ${state} and never final`);
  if (!idempotent && attempts.size > 1) broken.push(`${id}: ${attempts.size} attempts started`);
  if (started.some(({ starts }) => starts > 1)) broken.push(`${id}: a task started twice`);
  if (outcome?.ran === 'not-run' && started.length > 0) {
    broken.push(`${id}: told "not run", but ${started.length} tasks started`);
  }
  if (state === 'succeeded' && !hasWholeAttempt(started, tasks)) {
    broken.push(`${id}: succeeded, but no attempt ran whole`);
  }
  return broken;
}

function hasWholeAttempt(started: TaskRun[], tasks: number): boolean {
  const done = started.filter(({ state }) => state === 'succeeded');
  return [...new Set(done.map(({ attempt }) => attempt))].some(
    (attempt) => done.filter((run) => run.attempt === attempt).length === tasks,
  );
}
