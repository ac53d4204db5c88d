/** Progress of a job. Only the owner of its cell changes it, and each change is stored before it takes effect. */
import {
  isCrashLooping,
  addCrash,
  type CrashObservation,
  type CrashRecord,
} from './crash-record.js';
import type { Step, Submission } from './submission.js';

/** A run that was given to a runner and isn't known to have ended. */
export interface ActiveRun {
  run: number;
  vm: string;
  /** Incarnation of the runner that it was given to. */
  runner: string;
  /** Checkpoint to continue from; empty if it starts from the beginning. */
  checkpoint: string;
}

/** One task. `run` is the highest run number assigned so far. */
export interface TaskProgress {
  done: boolean;
  run: number;
  failures: number;
  checkpoint: string;
  active?: ActiveRun;
  /** Absent until a runner crashed during one of its runs. */
  crashes?: CrashRecord;
}

/** One step. For a gang, `failures` counts failed runs of all members together, and `failedRun` is the last one counted. */
export interface StepProgress {
  tasks: TaskProgress[];
  failures: number;
  failedRun: number;
}

/** The steps of one occurrence. */
export interface Occurrence {
  index: number;
  steps: StepProgress[];
}

/** `open` until the last task has ended, the attempts are exhausted, or the job is cancelled. */
export type JobOutcome = 'open' | 'completed' | 'failed' | 'cancelled';

/** State as reported to callers. */
export type JobState = 'queued' | 'running' | Exclude<JobOutcome, 'open'>;

/** How a run ended according to its runner. `lost`: the runner's incarnation or the lease ended without a report. */
export type RunEndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'lost';

/** Identifies a task of a job: occurrence, step, and index within the step. */
export interface TaskRef {
  occurrence: number;
  step: number;
  index: number;
}

/** End of one run. */
export interface RunEnd {
  ref: TaskRef;
  run: number;
  how: RunEndKind;
  /** Last checkpoint; empty if there is none. */
  checkpoint: string;
}

/** A runner crash as seen by one run, with the task. Times in ms. */
export interface RunCrash extends CrashObservation {
  ref: TaskRef;
  /** For how long the runner's incarnation had been known. */
  livedMs: number;
}

/** Placement of a task. */
export interface PlacedTask {
  ref: TaskRef;
  vm: string;
  /** Incarnation of the runner there. */
  runner: string;
}

/** Contents of a progress row. */
export interface ProgressRow {
  outcome: JobOutcome;
  begun: boolean;
  opened: number;
  occurrences: Occurrence[];
}

/** Progress of all occurrences of a job. Completed occurrences are dropped. */
export class JobProgress {
  readonly #submission: Submission;

  #outcome: JobOutcome;

  #begun: boolean;

  /** Number of occurrences that have been due so far. */
  #opened: number;

  #occurrences: Occurrence[];

  /** Without a row, progress of a newly accepted job; without a schedule the job is due immediately. */
  constructor(submission: Submission, row?: ProgressRow) {
    this.#submission = submission;
    this.#outcome = row?.outcome ?? 'open';
    this.#begun = row?.begun ?? false;
    this.#opened = row?.opened ?? 0;
    this.#occurrences = row?.occurrences ?? [];
    if (row === undefined && submission.schedule === undefined) this.#openOccurrence();
  }

  get outcome(): JobOutcome {
    return this.#outcome;
  }

  /** True once any task was started. */
  get begun(): boolean {
    return this.#begun;
  }

  get occurrences(): readonly Occurrence[] {
    return this.#occurrences;
  }

  get state(): JobState {
    if (this.#outcome !== 'open') return this.#outcome;
    return this.#begun ? 'running' : 'queued';
  }

  toRow(): ProgressRow {
    return {
      outcome: this.#outcome,
      begun: this.#begun,
      opened: this.#opened,
      occurrences: this.#occurrences,
    };
  }

  /** The given task; undefined if there is none. */
  findTask(ref: TaskRef): TaskProgress | undefined {
    return this.findStep(ref)?.tasks[ref.index];
  }

  /** The step that a task belongs to; undefined if there is none. */
  findStep({ occurrence, step }: Omit<TaskRef, 'index'>): StepProgress | undefined {
    return this.#occurrences.find(({ index }) => index === occurrence)?.steps[step];
  }

  /** Opens the occurrences that are due at `wallMs` (time of day). True if there were any. */
  openDueOccurrences(wallMs: number): boolean {
    const { schedule } = this.#submission;
    if (schedule === undefined || this.#outcome !== 'open') return false;
    const before = this.#opened;
    while (
      this.#opened < schedule.count &&
      schedule.firstAtMs + this.#opened * schedule.everyMs <= wallMs
    ) {
      this.#openOccurrence();
    }
    return this.#opened > before;
  }

  /** Records that tasks are given to runners, all under the same new run number, which is returned. */
  startRuns(placed: readonly PlacedTask[]): number {
    const tasks = placed.map(({ ref }) => this.findTask(ref)).filter((task) => task !== undefined);
    const run = Math.max(0, ...tasks.map((task) => task.run)) + 1;
    // All members of a gang continue from the same checkpoint.
    const checkpoint = tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    for (const { ref, vm, runner } of placed) {
      const task = this.findTask(ref);
      if (task !== undefined) Object.assign(task, { run, active: { run, vm, runner, checkpoint } });
    }
    this.#begun = true;
    return run;
  }

  /** Records the end of a run. False if it is no longer the task's active run: its end was recorded before, or it was given up. */
  endRun(end: RunEnd, { maxAttempts }: { maxAttempts: number }): boolean {
    const task = this.findTask(end.ref);
    if (task?.active?.run !== end.run) return false;
    delete task.active;
    const progress = this.findStep(end.ref);
    const step = this.#submission.steps[end.ref.step];
    if (step === undefined || progress === undefined) return true;
    if (!task.done) {
      // One member's end and checkpoint count for the whole gang.
      const affected = step.gang ? progress.tasks : [task];
      if (end.checkpoint !== '') assignToAll(affected, { checkpoint: end.checkpoint });
      if (end.how === 'done' && !step.lasting) assignToAll(affected, { done: true });
      if (end.how === 'failed') this.#countFailure(end, step);
      if (this.#hasExhaustedAttempts(end, step, maxAttempts)) this.#outcome = 'failed';
    }
    this.#completeIfDone();
    return true;
  }

  /**
   * Records that a runner crashed during a run. The job fails once the task itself counts as the cause: without a limit such a
   * task was started 33 times within two minutes, according to one day's logs. False if the crash was already counted or is obsolete.
   */
  recordCrash({ ref, livedMs, ...crash }: RunCrash): boolean {
    const { run } = crash;
    const task = this.findTask(ref);
    const step = this.#submission.steps[ref.step];
    if (task === undefined || step === undefined || task.done) return false;
    if (this.#outcome !== 'open' || run > task.run || run <= (task.crashes?.run ?? 0)) return false;
    task.crashes = addCrash(task.crashes, crash);
    if (isCrashLooping(task.crashes, { lasting: step.lasting, livedMs })) this.#outcome = 'failed';
    return true;
  }

  /** Records a checkpoint of a run that continues. True if it is a new one. */
  recordCheckpoint({ ref, run, checkpoint }: Omit<RunEnd, 'how'>): boolean {
    const task = this.findTask(ref);
    if (checkpoint === '' || task?.active?.run !== run || task.checkpoint === checkpoint) {
      return false;
    }
    const gang = this.#submission.steps[ref.step]?.gang ?? false;
    assignToAll(gang ? (this.findStep(ref)?.tasks ?? []) : [task], { checkpoint });
    return true;
  }

  /** Cancels the job; false if it had already ended. The caller stops the runs that are still active. */
  cancel(): boolean {
    if (this.#outcome !== 'open') return false;
    this.#outcome = 'cancelled';
    return true;
  }

  /** All runs that aren't known to have ended. */
  activeRuns(): { ref: TaskRef; active: ActiveRun }[] {
    return this.#occurrences.flatMap(({ index: occurrence, steps }) =>
      steps.flatMap(({ tasks }, step) =>
        tasks.flatMap(({ active }, index) =>
          active === undefined ? [] : [{ ref: { occurrence, step, index }, active }],
        ),
      ),
    );
  }

  #openOccurrence(): void {
    this.#occurrences.push({
      index: this.#opened,
      steps: this.#submission.steps.map(newStep),
    });
    this.#opened += 1;
  }

  #countFailure({ ref, run }: RunEnd, step: Step): void {
    const task = this.findTask(ref);
    const progress = this.findStep(ref);
    if (task === undefined || progress === undefined) return;
    if (!step.gang) {
      task.failures += 1;
      return;
    }
    if (progress.failedRun === run) return;
    progress.failedRun = run;
    progress.failures += 1;
  }

  #hasExhaustedAttempts({ ref }: RunEnd, step: Step, maxAttempts: number): boolean {
    if (this.#outcome !== 'open' || step.lasting) return false;
    const failures = step.gang ? this.findStep(ref)?.failures : this.findTask(ref)?.failures;
    return (failures ?? 0) >= maxAttempts;
  }

  #completeIfDone(): void {
    if (this.#outcome !== 'open') return;
    const count = this.#submission.schedule?.count ?? 1;
    const allDone = this.#occurrences.every(({ steps }) => steps.every(isStepDone));
    if (allDone && this.#opened >= count) this.#outcome = 'completed';
    this.#occurrences = this.#occurrences.filter(
      ({ steps }) => !steps.every((step) => isStepDone(step) && !hasActiveRun(step)),
    );
  }
}

/** True if all steps that this step waits for are done. */
export function isStepReady(step: Step, occurrence: Occurrence): boolean {
  return step.after.every((other) => occurrence.steps[other]?.tasks.every(({ done }) => done));
}

function newStep(step: Step): StepProgress {
  const tasks = Array.from({ length: step.tasks }, () => ({
    done: false,
    run: 0,
    failures: 0,
    checkpoint: '',
  }));
  return { tasks, failures: 0, failedRun: 0 };
}

function assignToAll(tasks: readonly TaskProgress[], change: Partial<TaskProgress>): void {
  tasks.forEach((task) => Object.assign(task, change));
}

function isStepDone(step: StepProgress): boolean {
  return step.tasks.every(({ done }) => done);
}

function hasActiveRun(step: StepProgress): boolean {
  return step.tasks.some(({ active }) => active !== undefined);
}
