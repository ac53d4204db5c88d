/** Jobs that callers submitted, and what they were told of each. */
import type { Caller } from '../deployment/caller.js';

/** A job's status as the API answers it, as far as it is audited. */
export interface JobStatus {
  id: string;
  state: string;
  final: boolean;
  outcome?: { ran: string };
}

/** One submission. */
export interface SubmittedJob {
  idempotent: boolean;
  tasks: number;
  /** Last status that was answered; absent where none was accepted. */
  status?: JobStatus;
  refusedAs?: string;
}

const SUBMIT_TRIES = 20;
const WAIT_MS = 2000;

/** Submits jobs and follows them to their ends. */
export class JobLog {
  readonly jobs: SubmittedJob[] = [];

  readonly #caller: Caller;

  readonly #url: () => string;

  constructor({ caller, url }: { caller: Caller; url: () => string }) {
    this.#caller = caller;
    this.#url = url;
  }

  /** Submits one with a key, so that a lost answer can be asked for again. */
  async submit({
    tasks,
    idempotent,
    runMs,
  }: {
    tasks: number;
    idempotent: boolean;
    runMs: number;
  }): Promise<void> {
    const job: SubmittedJob = { idempotent, tasks };
    this.jobs.push(job);
    const key = `soak-job-${this.jobs.length}`;
    const kind = idempotent ? 'render' : 'entry';
    const body = { kind, shape: { tasks, acceleratorsPerTask: 4 }, params: { runMs } };
    for (let tries = 0; tries < SUBMIT_TRIES && job.status === undefined; tries += 1) {
      await this.#try(job, { key, body });
    }
  }

  async #try(job: SubmittedJob, { key, body }: { key: string; body: unknown }): Promise<void> {
    try {
      const headers = { 'idempotency-key': key };
      const answer = await this.#caller.call('POST', `${this.#url()}/v1/jobs`, { body, headers });
      if (answer.status < 300) {
        Object.assign(job, { status: answer.body });
        return;
      }
      const { kind, ran } = answer.body as { kind: string; ran: string };
      Object.assign(job, { refusedAs: `${kind}, ${ran}` });
    } catch {
      Object.assign(job, { refusedAs: 'cut' });
    }
    await pause();
  }

  /** Asks for each accepted job until it is final or `endAt` (performance clock) has come. */
  async follow(endAt: number): Promise<void> {
    await Promise.all(this.jobs.map((job) => this.#followOne(job, endAt)));
  }

  async #followOne(job: SubmittedJob, endAt: number): Promise<void> {
    while (job.status && !job.status.final && performance.now() < endAt) {
      const url = `${this.#url()}/v1/jobs/${job.status.id}/wait?timeoutMs=${WAIT_MS}`;
      const answer = await this.#caller.call('GET', url).catch(() => undefined);
      if (answer?.status === 200) Object.assign(job, { status: answer.body });
      else await pause();
    }
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
}
