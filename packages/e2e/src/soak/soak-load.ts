/** The load of a soak run: matches, bookings, bookings repeated by key, and now and then a job. */
import { setTimeout as sleep } from 'node:timers/promises';
import { RequestLog, problemOf, type SentRequest } from '../audit/request-log.js';
import type { Caller } from '../deployment/caller.js';
import { JobLog } from './job-log.js';

const LANES = 8;
const PAUSE_MS = 25;
const DEADLINE_MS = 3000;
const JOB_EVERY_MS = 700;
const JOB_TASKS = [1, 2, 3];
const KEYED_EVERY = 4;
const REPEATS = 3;

/** Sends until stopped. */
export class SoakLoad {
  readonly requests = new RequestLog();

  readonly jobs: JobLog;

  readonly #caller: Caller;

  readonly #urls: string[];

  #sent = 0;

  #turn = 0;

  #stopped = false;

  #lanes: Promise<void>[] = [];

  constructor({ caller, urls }: { caller: Caller; urls: string[] }) {
    this.#caller = caller;
    this.#urls = urls;
    this.jobs = new JobLog({ caller, url: () => this.#nextUrl() });
  }

  start(): void {
    this.#lanes = [...Array.from({ length: LANES }, () => this.#run()), this.#submitJobs()];
  }

  /** Resolves once the last answer is there. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#lanes);
  }

  #nextUrl(): string {
    this.#turn += 1;
    return this.#urls[this.#turn % this.#urls.length]!;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      this.#sent += 1;
      const n = this.#sent;
      const idempotent = n % 2 === 0;
      if (!idempotent && n % KEYED_EVERY === 1) await this.#sendKeyed(n);
      else await this.#send(n, { idempotent });
      await sleep(PAUSE_MS);
    }
  }

  #send(
    n: number,
    { idempotent, key }: { idempotent: boolean; key?: string },
  ): Promise<SentRequest> {
    return this.requests.send({
      caller: this.#caller,
      url: this.#nextUrl(),
      kind: idempotent ? 'match' : 'booking',
      idempotent,
      name: `soak-${n}`,
      serviceMs: (n * 13) % 60,
      padding: 'x'.repeat((n * 37) % 2000),
      deadlineMs: DEADLINE_MS,
      ...(key === undefined ? {} : { key }),
    });
  }

  /** Repeats while the caller doesn't know what became of it. */
  async #sendKeyed(n: number): Promise<void> {
    for (let tries = 0; tries <= REPEATS; tries += 1) {
      const sent = await this.#send(n, { idempotent: false, key: `soak-${n}` });
      if (sent.answer !== undefined && problemOf(sent)?.ran !== 'unknown') return;
    }
  }

  async #submitJobs(): Promise<void> {
    const submissions: Promise<void>[] = [];
    for (let n = 0; !this.#stopped; n += 1) {
      const tasks = JOB_TASKS[n % JOB_TASKS.length]!;
      submissions.push(
        this.jobs.submit({ tasks, idempotent: n % 2 === 0, runMs: 100 + (n % 5) * 200 }),
      );
      await sleep(JOB_EVERY_MS);
    }
    await Promise.all(submissions);
  }
}
