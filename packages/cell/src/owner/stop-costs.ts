/** What stopping each running unit would cost, in the unit of `jobValue`, and when what runs is expected to end. One instance per pass. */
import type { UrgencyFactors } from '../placing/job-urgency.js';
import { CapacityForecast } from '../placing/capacity-forecast.js';
import { meanValuePerWork, valueOfDelay, valueOfWork } from '../placing/stop-value.js';
import type { OwnedJob } from './owned-job.js';
import type { PlacementInput, RunningUnit } from './placement-types.js';
import { forecastRemainingMs } from './remaining-time.js';
import { expectedDurations } from './urgency-factors.js';

/** A stopped task starts again once capacity is free: when half of what runs now has ended. */
const RESTART_QUANTILE = 0.5;

/** Computed on demand: most passes stop nothing. */
export class StopCosts {
  /** Units that end by themselves within the time of a stop. */
  readonly endingSoon: ReadonlySet<RunningUnit>;

  readonly forecast: CapacityForecast;

  readonly #input: PlacementInput;

  readonly #factorsOf: (job: OwnedJob) => UrgencyFactors;

  readonly #remainingMs = new Map<RunningUnit, number>();

  readonly #priced = new Map<RunningUnit, RunningUnit>();

  readonly #hasWaitingTasks = new Map<OwnedJob, boolean>();

  readonly #restartMs: number;

  #meanValuePerWork: number | undefined;

  constructor(input: PlacementInput, factorsOf: (job: OwnedJob) => UrgencyFactors) {
    this.#input = input;
    this.#factorsOf = factorsOf;
    const { runningUnits, bounds } = input;
    const running = runningUnits.filter(({ stopping }) => !stopping);
    running.forEach((unit) => this.#remainingMs.set(unit, this.#computeRemainingMs(unit)));
    this.endingSoon = new Set(running.filter((unit) => this.remainingMs(unit) <= bounds.stopMs));
    this.forecast = new CapacityForecast(
      running
        .filter((unit) => !this.endingSoon.has(unit))
        .map((unit) => ({ inMs: this.remainingMs(unit), members: unit.members })),
    );
    this.#restartMs = bounds.stopMs + this.forecast.quantile(RESTART_QUANTILE);
  }

  /** Until the unit is expected to end by itself, in ms; Infinity if that isn't known. */
  remainingMs(unit: RunningUnit): number {
    return this.#remainingMs.get(unit) ?? Infinity;
  }

  /** The unit with what stopping it costs as its loss. */
  priced(unit: RunningUnit): RunningUnit {
    const known = this.#priced.get(unit);
    if (known !== undefined) return known;
    const priced = this.#price(unit);
    this.#priced.set(unit, priced);
    return priced;
  }

  #price(unit: RunningUnit): RunningUnit {
    const { job, assignments, loss: lostWork } = unit;
    const { now } = this.#input;
    const factors = this.#factorsOf(job);
    const elapsedMs = Math.max(0, ...assignments.map(({ assignedAt }) => now - assignedAt));
    const saves = assignments.some(({ ref }) => job.submission.steps[ref.step]?.checkpointing);
    const delay = valueOfDelay(factors, {
      elapsedMs,
      keptMs: saves ? elapsedMs : 0,
      hasWaitingTasks: this.#hasWaiting(job),
      restartMs: this.#restartMs,
    });
    return {
      ...unit,
      loss: valueOfWork(factors, { lostWork, valuePerWork: this.#meanValue() }),
      jobLoss: { jobId: job.id, loss: delay },
    };
  }

  /** Value for each accelerator-ms of the jobs that run or wait. */
  #meanValue(): number {
    this.#meanValuePerWork ??= meanValuePerWork(this.#input.jobs.map(this.#factorsOf));
    return this.#meanValuePerWork;
  }

  #computeRemainingMs({ job, assignments }: RunningUnit): number {
    const expectedMs = expectedDurations(job, this.#input.durations);
    const remaining = assignments.map((assignment) => {
      const step = job.submission.steps[assignment.ref.step];
      if (step === undefined || step.lasting) return Infinity;
      return forecastRemainingMs(assignment, {
        expectedMs: expectedMs(step),
        now: this.#input.now,
      });
    });
    // The members of a gang end together.
    return remaining.length === 0 ? Infinity : Math.max(...remaining);
  }

  #hasWaiting(job: OwnedJob): boolean {
    const known = this.#hasWaitingTasks.get(job);
    if (known !== undefined) return known;
    const hasWaiting = job.progress.occurrences.some(({ steps }) =>
      steps.some(({ tasks }) => tasks.some(({ done, active }) => !done && active === undefined)),
    );
    this.#hasWaitingTasks.set(job, hasWaiting);
    return hasWaiting;
  }
}
