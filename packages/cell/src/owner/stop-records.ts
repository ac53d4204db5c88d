/** What the owner remembers of its stops for capacity during one term: which tasks were stopped, and what is held for whom. */
import type { ProcessContext } from '@zincspan/core';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import { HeldRoom } from './held-room.js';
import type { PlacementResult, RunningUnit, WeighedStop } from './placement-types.js';
import { expectedDurations } from './urgency-factors.js';

/** At most one log line per job and outcome within this time, in ms. */
const LOG_INTERVAL_MS = 1000;

/** Victims named in a log line: 52 runs have been stopped for one job. */
const MAX_LOGGED_VICTIMS = 8;

/** Values are measured in thousandths of a job of mean size and the lowest priority. */
const VALUE_UNITS = 1000;

/** One instance per ownership term. A successor starts without records. */
export class StopRecords {
  readonly heldRoom = new HeldRoom();

  readonly #ctx: Pick<ProcessContext, 'clock' | 'log' | 'metrics'>;

  /** Until when a task that was stopped for capacity isn't stopped for it again, by task name. */
  readonly #sparedUntil = new Map<string, number>();

  /** When the last line about a job was logged, by outcome and job. */
  readonly #loggedAt = new Map<string, number>();

  constructor(ctx: Pick<ProcessContext, 'clock' | 'log' | 'metrics'>) {
    this.#ctx = ctx;
  }

  /** True if a task of the unit was stopped for capacity within its own expected duration. */
  wasStoppedRecently({ assignments }: RunningUnit, now: number): boolean {
    return assignments.some(({ name }) => now < (this.#sparedUntil.get(name) ?? -Infinity));
  }

  /** Records the stops and starts of a pass. */
  record(
    { starts, weighedStops }: Pick<PlacementResult, 'starts' | 'weighedStops'>,
    durations: DurationEstimator,
  ): void {
    const now = this.#ctx.clock.now();
    this.#prune(now);
    starts.forEach(({ pending, placements }) =>
      this.heldRoom.noteStarted(pending.group, placements.length),
    );
    weighedStops.forEach((stop) => {
      if (stop.isMade) this.#recordMade(stop, durations, now);
      else this.#ctx.metrics.count('stop.declined');
      this.#log(stop, now);
    });
  }

  #recordMade(
    { pending, held, victims, gain, cost }: WeighedStop,
    durations: DurationEstimator,
    now: number,
  ): void {
    const { metrics } = this.#ctx;
    this.heldRoom.hold(pending.group, held, now);
    victims.forEach(({ job, assignments }) =>
      assignments.forEach(({ name, ref }) => {
        const step = job.submission.steps[ref.step];
        if (step === undefined) return;
        this.#sparedUntil.set(name, now + expectedDurations(job, durations)(step));
      }),
    );
    victims.forEach(() => metrics.count('stop.for-room'));
    metrics.timing('stop.gain', Math.round(gain * VALUE_UNITS));
    metrics.timing('stop.cost', Math.round(cost * VALUE_UNITS));
  }

  #log({ pending, isMade, gain, cost, waitMs, victims }: WeighedStop, now: number): void {
    const key = `${isMade} ${pending.job.id}`;
    if (now - (this.#loggedAt.get(key) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.#loggedAt.set(key, now);
    const { group, job } = pending;
    this.#ctx.log.info(
      {
        job: job.id,
        step: `${group.occurrence}.${group.step}`,
        tasks: group.indexes.length,
        gain: rounded(gain),
        cost: rounded(cost),
        waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : 'never',
        victims: victims
          .slice(0, MAX_LOGGED_VICTIMS)
          .map(({ key: unit, loss, jobLoss }) => `${unit}:${rounded(loss + (jobLoss?.loss ?? 0))}`)
          .join(' '),
        victimCount: victims.length,
      },
      isMade ? 'stopping for room' : 'stop declined',
    );
  }

  #prune(now: number): void {
    this.heldRoom.prune(now);
    this.#sparedUntil.forEach((until, name) => {
      if (now >= until) this.#sparedUntil.delete(name);
    });
    this.#loggedAt.forEach((at, key) => {
      if (now - at >= LOG_INTERVAL_MS) this.#loggedAt.delete(key);
    });
  }
}

function rounded(value: number): number {
  return Math.round(value * VALUE_UNITS) / VALUE_UNITS;
}
