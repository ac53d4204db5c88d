/** Entries and guards of a small cell in one process: real links over loopback, store and runners in memory. */
import { createServer } from 'node:net';
import { SystemClock, quietContext, type CountingMetrics } from '@zincspan/core';
import { GangBoard, RowTables, RunnerModel, type AdvisorModel } from '@zincspan/stand-ins';
import type { Advisor } from '../advice/advisor.js';
import type { CellConfig } from '../config/cell-config.js';
import { EntryApp } from '../entry/entry-app.js';
import { jobRowKey, unpackProgress, unpackSubmission } from '../job/job-rows.js';
import type { JobProgress } from '../job/progress.js';
import type { JobRequest, Step } from '../job/submission.js';
import { OWNER_KEY, unpackOwner } from '../owner/owner-row.js';
import { HOST, KEY, PREFIX, TEST_QUEUE, testStep } from './test-jobs.support.js';
import type { RowKey, Transaction } from '../store/row-store.js';
import { LogKeeper, type LoggedLine } from './log-keeper.support.js';
import { TEST_EVACUATION_SOURCE } from './test-evacuations.support.js';
import { MemoryRowStore } from './memory-row-store.support.js';
import { MemoryRunner } from './memory-runner.support.js';
import {
  LINK_KEY,
  TEST_LEASE_MS,
  restartGuard,
  sendHeartbeat,
  startGuard,
  type WorkerVm,
} from './worker-vm.support.js';
import { pause } from '../clock/pause.js';

const CONFIG_KEY = { table: 'operator', part: '', key: 'configuration' };
const HEARTBEAT_MS = 300;

/** Of a worker, unless a test says otherwise. */
const FAILURE_DOMAIN = 'hall';

/** Of a worker, unless a test says otherwise. */
const ACCELERATORS = 8;

/** A runner that a task crashed is back as another life after this time, in ms. */
const AWAY_MS = 300;

/** An answer of the emulated advisor takes this long. */
const ADVICE_MS = 20;

interface EntryVm {
  id: string;
  app: EntryApp;
  store: MemoryRowStore;
  metrics: CountingMetrics;
}

/** The host's clocks, with a time of day that can be made to jump. */
class SteppedClock extends SystemClock {
  aheadMs = 0;

  override wall(): number {
    return super.wall() + this.aheadMs;
  }
}

/** A cell that runs until `stop`. */
export class CellWorld {
  readonly tables = new RowTables();

  readonly board = new GangBoard();

  readonly entries: EntryVm[] = [];

  readonly workers: WorkerVm[] = [];

  keepEndedMs = 600_000;

  readonly #log = new LogKeeper();

  /** Of all entries. */
  readonly clock = new SteppedClock();

  /** Where a task crashes a runner, the guard beside it is started anew before the runner is back. */
  crashesTakeGuards = false;

  /** A runner that starts again keeps its id, as it may on the platform; otherwise each life has an id of its own. */
  keepsIds = false;

  /** How far the time of day of runners that start is behind, in ms. */
  runnersBehindMs = 0;

  /** Runs that worked at the same time as another run of their task. */
  readonly overlaps: string[] = [];

  readonly #atWork = new Map<string, number>();

  #lastBornMs = 0;

  /** Asked about queues that need advice; without one these refuse. */
  advisor: AdvisorModel | undefined;

  #ids = 0;

  #entries = 0;

  #version = 0;

  #stopped = false;

  /** The operator's next configuration. */
  configure(change: Partial<CellConfig> = {}): void {
    this.#version += 1;
    const config: CellConfig = {
      version: this.#version,
      queues: [TEST_QUEUE],
      services: [{ name: 'render', guardsCapacity: true, standby: false }],
      accounts: [{ name: 'weddings', keys: [KEY], guaranteedAccelerators: 0 }],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      ...change,
    };
    const value = Buffer.from(JSON.stringify(config));
    this.tables.transact({ expected: [], set: [{ ...CONFIG_KEY, value }], remove: [] });
  }

  /** The operator asks for nothing more to start in a failure domain. */
  evacuate(failureDomain: string): void {
    const row = { ...evacuationKey(failureDomain), value: Buffer.from('{}') };
    this.tables.transact({ expected: [], set: [row], remove: [] });
  }

  /** The operator takes a failure domain back. */
  takeBack(failureDomain: string): void {
    this.tables.transact({ expected: [], set: [], remove: [evacuationKey(failureDomain)] });
  }

  async addEntry({ processorShare = 1 } = {}): Promise<EntryVm> {
    const id = `entry-${this.#nextEntry()}`;
    const store = new MemoryRowStore(this.tables);
    const ctx = quietContext({ id, role: 'entry', clock: this.clock, log: this.#log.logOf(id) });
    const app = new EntryApp({
      ctx,
      store,
      configSource: {
        key: CONFIG_KEY,
        decode: (value) => JSON.parse(value.toString()) as CellConfig,
      },
      advisor: this.advisor && memoryAdvisor(this.advisor),
      linkAddress: `127.0.0.1:${await freePort()}`,
      linkKey: LINK_KEY,
      processorShare,
      leaseMs: TEST_LEASE_MS,
      reclaim: { reclaimMs: 2700, stopMs: 200 },
      evacuation: {
        source: TEST_EVACUATION_SOURCE,
        applyMs: 5000,
      },
      keepEndedMs: this.keepEndedMs,
      revokeMs: 5000,
      configApplyMs: 2000,
    });
    await app.start();
    const entry = { id, app, store, metrics: ctx.metrics };
    this.entries.push(entry);
    return entry;
  }

  /** Starts it with this many entries and workers, and waits until it has an owner. */
  async start(entries: number, workers: number): Promise<void> {
    this.configure();
    for (let each = 0; each < entries; each++) await this.addEntry();
    for (let each = 0; each < workers; each++) this.addWorker();
    const isReady = (): boolean => this.entries.every(({ app }) => app.isReady);
    if (await eventually(() => isReady() && this.owner() !== undefined)) return;
    throw new Error('the cell of a test is not ready');
  }

  addWorker({ rack = 'r1', failureDomain = FAILURE_DOMAIN } = {}): WorkerVm {
    const id = `worker-${this.workers.length + 1}`;
    const store = new MemoryRowStore(this.tables);
    const life = this.#newLife(id, `${id}-runner`);
    const runner = new MemoryRunner(life);
    const guard = startGuard({ id, store, runner });
    const worker: WorkerVm = {
      id,
      guard,
      runner,
      store,
      lives: [life],
      beat: setInterval(() => sendHeartbeat(worker, rack), HEARTBEAT_MS),
      remainingMs: undefined,
      mute: false,
      beats: 0,
      accelerators: ACCELERATORS,
      failureDomain,
    };
    this.workers.push(worker);
    sendHeartbeat(worker, rack);
    return worker;
  }

  /** The runner on this worker crashes and comes back as another life. */
  replaceRunner(worker: WorkerVm): void {
    worker.runner.life?.crash();
    const earlier = worker.lives.at(-1)?.id ?? '';
    const life = this.#newLife(worker.id, this.keepsIds ? earlier : `${earlier}'`);
    Object.assign(worker.runner, { life });
    Object.assign(worker, { beats: 0, remainingMs: undefined });
    worker.lives.push(life);
  }

  /** The runner on this worker crashes, and comes back as another life after `awayMs`. */
  crashRunner(worker: WorkerVm, awayMs: number): void {
    worker.runner.life?.crash();
    if (this.#stopped) return;
    Object.assign(worker.runner, { life: undefined });
    setTimeout(() => {
      if (!this.#stopped) this.replaceRunner(worker);
    }, awayMs);
  }

  #crashByTask(id: string): void {
    const worker = this.workers.find((each) => each.id === id);
    if (worker === undefined) return;
    this.crashRunner(worker, AWAY_MS);
    if (!this.crashesTakeGuards || this.#stopped) return;
    restartGuard(worker);
  }

  newJobId(): string {
    this.#ids += 1;
    return this.#ids.toString(16).padStart(16, '0');
  }

  /** What any entry says of a job. */
  async state(id: string): Promise<string> {
    const entry = this.entries.find(({ app }) => app.isReady) ?? this.entries[0];
    const result = await entry?.app.jobApi.state(callOf(id));
    return result?.outcome === 'state' ? result.state : (result?.outcome ?? 'no entry');
  }

  /** The id of the entry that owns the cell, by its row. */
  owner(): EntryVm | undefined {
    const row = this.tables.get(OWNER_KEY);
    const holder = row && unpackOwner(row.value).holder?.id;
    return this.entries.find(({ id }) => id === holder);
  }

  /** Starts of a job's tasks, over all runners and lives. */
  starts(jobId: string): { task: string; run: number; at: number; checkpoint: string }[] {
    return this.workers
      .flatMap(({ lives }) => lives.flatMap(({ starts }) => starts))
      .filter(({ task }) => task.startsWith(`${jobId}.`))
      .sort((a, b) => a.at - b.at);
  }

  /** A job's progress as its row says; undefined while there is none. */
  writtenProgress(jobId: string): JobProgress | undefined {
    const progressRow = this.tables.get(jobRowKey(jobId, 'progress'));
    const submissionRow = this.tables.get(jobRowKey(jobId, 'submission'));
    if (progressRow === undefined || submissionRow === undefined) return undefined;
    return unpackProgress(unpackSubmission(submissionRow.value), progressRow.value);
  }

  /** Highest run of any task of the job that its row knows. */
  writtenRuns(jobId: string): number {
    const occurrences = this.writtenProgress(jobId)?.occurrences ?? [];
    const tasks = occurrences.flatMap(({ steps }) => steps.flatMap((step) => step.tasks));
    return Math.max(0, ...tasks.map(({ run }) => run));
  }

  /** Lines of all entries with this message, the oldest first. */
  logged(msg: string): LoggedLine[] {
    return this.#log.of(msg);
  }

  #nextEntry(): number {
    this.#entries += 1;
    return this.#entries;
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.workers.forEach(({ guard, beat, runner }) => {
      clearInterval(beat);
      guard.stop();
      runner.life?.crash();
    });
    await Promise.all(this.entries.map(({ app }) => app.stop()));
  }

  #newLife(vm: string, id: string): RunnerModel {
    this.#lastBornMs = Math.max(this.#lastBornMs + 1, Date.now());
    return new RunnerModel({
      id,
      bornMs: this.#lastBornMs - this.runnersBehindMs,
      slots: 8,
      board: this.board,
      takesTicket: (step, ticket) => this.advisor?.isValid(step, id, ticket) ?? true,
      onCrash: () => this.#crashByTask(vm),
      observer: {
        onStart: ({ task, run }) => this.#noteAtWork(task, run, 1),
        onEnd: ({ task, run }) => this.#noteAtWork(task, run, -1),
      },
    });
  }

  #noteAtWork(task: string, run: number, change: number): void {
    const count = (this.#atWork.get(task) ?? 0) + change;
    this.#atWork.set(task, count);
    if (count > 1) this.overlaps.push(`${task}#${run}`);
  }
}

function evacuationKey(failureDomain: string): RowKey {
  const { table, part, keyPrefix } = TEST_EVACUATION_SOURCE;
  return { table, part, key: `${keyPrefix}${failureDomain}` };
}

/** The emulated advisor as an owner calls it. */
function memoryAdvisor(model: AdvisorModel): Advisor {
  return {
    advise: async (step, runners) => {
      await pause(ADVICE_MS);
      const approvals = model.advise(step, runners);
      return { outcome: 'advised', approvals, validMs: model.validMs };
    },
  };
}

/** The entry is gone, and nothing that it sends reaches the store any more. */
export function loseEntry({ app, store }: EntryVm): void {
  Object.assign(store, { fault: 'silent' });
  void app.stop();
}

/** The same the moment it writes a run down. */
export function loseEntryAtWrite(entry: EntryVm): void {
  Object.assign(entry.store, {
    onDone: ({ set }: Transaction) => {
      if (set.some(({ key }) => key.endsWith('/p'))) loseEntry(entry);
    },
  });
}

/** A call about a job of the tests' queue. */
export function callOf(rest: string, key = KEY): { host: string; path: string; key: string } {
  return { host: HOST, path: `${PREFIX}${rest}`, key };
}

/** Hands a job in at an entry; answers the outcome. */
export async function submit(
  entry: EntryVm,
  id: string,
  {
    steps = [testStep()],
    spec = {},
    schedule,
  }: { steps?: Step[]; spec?: object; schedule?: JobRequest['schedule'] } = {},
): Promise<string> {
  const job: JobRequest = { spec: JSON.stringify(spec), steps, schedule };
  const { outcome } = await entry.app.jobApi.submit(callOf(id), { decode: () => ({ job }) });
  return outcome;
}

/** Awaits a condition, for at most this long, in ms; true if it came. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
  limitMs = 10_000,
): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await condition()) return true;
    await pause(20);
  }
  return false;
}

async function freePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' && address !== null ? address.port : 0;
      server.close(() => resolve(port));
    });
  });
}
