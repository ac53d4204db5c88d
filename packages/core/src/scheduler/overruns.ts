/** Work that takes more than it said: acted upon only where it harms others. */
import type { DomainState } from './domain-state.js';
import type { Reservations } from './reservations.js';
import { markLeaving, type RunningJob } from './running-jobs.js';
import type { Decision, SchedulerEvent } from './scheduler.js';

/** Use above this part of what was asked for counts as too much. */
const USE_MARGIN = 1.1;

/** A reservation is let slip by this much before those who hold it up must go. */
const GRACE_MS = 60_000;

type Usage = Extract<SchedulerEvent, { type: 'job-usage' }>;

/** Watches usage and run times in one failure domain. */
export class Overruns {
  readonly #state: DomainState;

  readonly #reservations: Reservations;

  /** Cores used on each worker, by job and member, as last reported. */
  readonly #cores = new Map<string, Map<string, number>>();

  readonly #throttled = new Set<string>();

  #decisions: Decision[] = [];

  constructor({ state, reservations }: { state: DomainState; reservations: Reservations }) {
    this.#state = state;
    this.#reservations = reservations;
  }

  /** Notes usage; a task that takes cores others were promised is throttled to what it asked for. */
  usage({ key, member: index, cores }: Usage): void {
    const running = this.#state.running.get(key);
    const member = running?.members.find((one) => one.member === index);
    if (member === undefined) return;
    const name = `${key}#${index}`;
    const used = this.#cores.get(member.worker) ?? new Map<string, number>();
    this.#cores.set(member.worker, used.set(name, cores));
    const total = [...used.values()].reduce((sum, value) => sum + value, 0);
    const has = this.#state.capacity.workers.get(member.worker)?.spec.cores ?? Infinity;
    if (total <= has || cores <= member.cores * USE_MARGIN || this.#throttled.has(name)) return;
    this.#throttled.add(name);
    this.#decisions.push({ type: 'throttle', key, member: index, cores: member.cores });
  }

  ended({ job, members }: RunningJob): void {
    members.forEach(({ worker, member }) => {
      this.#cores.get(worker)?.delete(`${job.key}#${member}`);
      this.#throttled.delete(`${job.key}#${member}`);
    });
  }

  /** Throttles due, and evictions of jobs that overran and hold up a gang's reservation. */
  decide(now: number): Decision[] {
    const decisions = this.#decisions;
    this.#decisions = [];
    for (const key of this.#reservations.keys()) {
      const reservation = this.#reservations.get(key);
      if (reservation === undefined || now < reservation.at + GRACE_MS) continue;
      reservation.workers.forEach((worker) => {
        for (const running of this.#state.running.on(worker)) {
          if (!mayEvict(running, now)) continue;
          markLeaving(running);
          decisions.push({
            type: 'evict',
            key: running.job.key,
            reason: 'overrun',
            for: key,
            limitMs: this.#state.view.policy.checkpointLimitMs,
          });
        }
      });
    }
    return decisions;
  }
}

/** Well past its estimate, of a waiting kind, and able to go on from a checkpoint. */
function mayEvict(running: RunningJob, now: number): boolean {
  const { kind, leaving, inside, within, expectedEndAt, placedAt } = running;
  if (leaving || inside || within !== undefined) return false;
  if (kind.urgency === 'urgent' || !kind.checkpointable) return false;
  return now > expectedEndAt + (expectedEndAt - placedAt);
}
