/** Quarantine and suspension of workers, as far as placement goes. */
import type { DomainState } from './domain-state.js';
import type { RunningJob } from './running-jobs.js';
import type { AttemptEnd, Decision } from './scheduler.js';

/** A worker that refused a reservation or was silent gets nothing new for this long. */
const SUSPEND_MS = 5000;

/** Follows the health of the workers of one failure domain. */
export class WorkerWatch {
  readonly #state: DomainState;

  readonly #quarantined = new Map<string, number>();

  #decisions: Decision[] = [];

  constructor({ state }: { state: DomainState }) {
    this.#state = state;
  }

  /** Workers in quarantine. */
  quarantined(): string[] {
    return [...this.#quarantined.keys()];
  }

  suspend(worker: string, now: number): void {
    this.#state.workers.closeUntil(worker, now + SUSPEND_MS);
  }

  /** Learns from how an attempt ended on its workers. */
  ended(running: RunningJob, end: AttemptEnd, worker: string | undefined, now: number): void {
    const { health } = this.#state;
    const { job, members } = running;
    const verdict = { job: job.key, account: job.account, kind: job.spec.kind };
    const names = [...new Set(members.map((member) => member.worker))];
    if (end === 'succeeded') {
      names.forEach((name) =>
        this.#quarantine(health.taskEnded({ ...verdict, worker: name, succeeded: true }, now)),
      );
    } else if (end === 'failed' && worker !== undefined) {
      this.#quarantine(health.taskEnded({ ...verdict, worker, succeeded: false }, now));
    } else {
      names.forEach((name) => health.released(name, job.key));
    }
  }

  /** Lets workers out of quarantine whose time has come, on probation; gives new quarantines. */
  decide(now: number): Decision[] {
    this.#quarantined.forEach((until, worker) => {
      if (until > now) return;
      this.#quarantined.delete(worker);
      this.#state.onProbation.add(worker);
    });
    this.#state.onProbation.forEach((worker) => {
      if (this.#state.health.state(worker, now) === 'healthy') {
        this.#state.onProbation.delete(worker);
      }
    });
    const decisions = this.#decisions;
    this.#decisions = [];
    return decisions;
  }

  #quarantine(quarantines: { worker: string; until: number; why: string }[]): void {
    quarantines.forEach(({ worker, until, why }) => {
      this.#quarantined.set(worker, until);
      this.#state.onProbation.delete(worker);
      this.#state.workers.closeUntil(worker, until);
      this.#decisions.push({ type: 'quarantine', worker, until, why });
    });
  }
}
