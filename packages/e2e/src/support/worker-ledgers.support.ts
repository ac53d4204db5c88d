/** What truly ran in a scenario: the workers' own ledgers, those of workers that were killed included. */
import { setTimeout as pause } from 'node:timers/promises';
import Wreck from '@hapi/wreck';
import type { TaskEntry, WorkerLedger } from '@zincspan/stand-ins';
import type { Deployment } from '../deployment/deployment.js';
import type { UpstreamVm } from '../deployment/machines.js';

/** One task as its worker's ledger has it. */
export interface LedgerTask extends TaskEntry {
  worker: string;
  /** Account and id of the job that it belongs to. */
  job: string;
  attempt: number;
}

const POLL_MS = 20;

/** Names of tasks, as `taskName` of @zincspan/core makes them. */
const NAME_PATTERN = /^jobs~([^~]+)~([^~]+)~(\d+)~\d+$/;

/** Ledgers of one deployment's workers. */
export class WorkerLedgers {
  readonly #deployment: Deployment;

  /** Ledgers of workers that were killed, as read right before. */
  readonly #closed: LedgerTask[] = [];

  #closedViolations = 0;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Kills a worker's process; its tasks end with it. */
  async killWorker(id: string): Promise<void> {
    const worker = this.#workers.find((each) => each.id === id);
    if (worker === undefined) throw new Error(`No worker "${id}" in this scenario.`);
    const { entries, violations } = await readLedger(worker);
    await this.#deployment.process(id).kill();
    const endedAt = Date.now();
    this.#closedViolations += violations;
    entries.forEach((entry) => {
      const isRunning = entry.state === 'running';
      this.#closed.push(toTask(id, isRunning ? { ...entry, endedAt, state: 'lapsed' } : entry));
    });
  }

  /** All tasks of all workers, in order of their start. */
  async tasks(): Promise<LedgerTask[]> {
    const open = await Promise.all(
      this.#running.map(async (worker) =>
        (await readLedger(worker)).entries.map((entry) => toTask(worker.id, entry)),
      ),
    );
    const all = [...this.#closed, ...open.flat()];
    return all.sort((a, b) => (a.startedAt ?? Infinity) - (b.startedAt ?? Infinity));
  }

  /** Tasks of one job. */
  async tasksOf(job: string): Promise<LedgerTask[]> {
    return (await this.tasks()).filter((task) => task.job === job);
  }

  /** Tasks that were ordered onto accelerators which others held. */
  async violations(): Promise<number> {
    const open = await Promise.all(this.#running.map(readLedger));
    return open.reduce((sum, { violations }) => sum + violations, this.#closedViolations);
  }

  /** Resolves with the tasks of a job once they satisfy `done`. Ledgers answer whatever faults workers have. */
  async until(job: string, done: (tasks: LedgerTask[]) => boolean): Promise<LedgerTask[]> {
    for (;;) {
      const tasks = await this.tasksOf(job);
      if (done(tasks)) return tasks;
      await pause(POLL_MS);
    }
  }

  get #workers(): UpstreamVm[] {
    return this.#deployment.layout.upstreams.filter(({ type }) => type === 'worker');
  }

  get #running(): UpstreamVm[] {
    return this.#workers.filter(({ id }) => this.#deployment.process(id).running);
  }
}

async function readLedger({ vm }: UpstreamVm): Promise<WorkerLedger> {
  const { payload } = await Wreck.get<WorkerLedger>(`http://${vm.upstream}/ledger`, {
    json: true,
    timeout: 10_000,
  });
  return payload;
}

function toTask(worker: string, entry: TaskEntry): LedgerTask {
  const [, account = '', id = entry.task, attempt = '0'] = NAME_PATTERN.exec(entry.task) ?? [];
  return { ...entry, worker, job: `${account}/${id}`, attempt: Number(attempt) };
}
