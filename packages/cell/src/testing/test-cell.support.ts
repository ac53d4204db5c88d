/** Entries and guards of a small cell in one process, with real links over loopback and in-memory store and runners. */
import { createServer } from 'node:net';
import { SystemClock, quietContext, type CountingMetrics } from '@zincspan/core';
import { GangBoard, RowTables, RunnerModel, type AdvisorModel } from '@zincspan/stand-ins';
import type { Advisor } from '../advice/advisor.js';
import type { CellConfig } from '../config/cell-config.js';
import { DEFAULT_CELL_POLICY, type CellPolicy } from '../config/cell-policy.js';
import { EntryApp } from '../entry/entry-app.js';
import { jobRowKey, unpackProgress, unpackSubmission } from '../job/job-rows.js';
import type { JobProgress } from '../job/progress.js';
import type { JobRequest, Step } from '../job/submission.js';
import { OWNER_ROW_KEY, unpackOwnerRow } from '../owner/owner-row.js';
import {
  TEST_HOST,
  TEST_API_KEY,
  TEST_PATH_PREFIX,
  TEST_QUEUE,
  testStep,
} from './test-jobs.support.js';
import type { RowKey, Transaction } from '../store/row-store.js';
import { LogRecorder, type LoggedLine } from './log-recorder.support.js';
import { TEST_EVACUATION_SOURCE } from './test-evacuations.support.js';
import { MemoryRowStore } from './memory-row-store.support.js';
import { MemoryRunner } from './memory-runner.support.js';
import {
  LINK_KEY,
  TEST_LEASE_MS,
  restartGuard,
  sendHeartbeat,
  startGuard,
  type TestWorker,
} from './test-worker.support.js';
import { sleep } from '../clock/sleep.js';

const CONFIG_KEY = { table: 'operator', part: '', key: 'configuration' };
const HEARTBEAT_MS = 300;

/** Default failure domain of a worker. */
const FAILURE_DOMAIN = 'hall';

/** Default number of accelerators of a worker. */
const ACCELERATORS = 8;

/** Time until a runner that was crashed by a task is back as a new incarnation. */
const RUNNER_RESTART_MS = 300;

/** Latency of the emulated advisor. */
const ADVICE_MS = 20;

interface TestEntry {
  id: string;
  app: EntryApp;
  store: MemoryRowStore;
  metrics: CountingMetrics;
}

/** The host's clocks, with a time of day that a test can shift. */
class SteppedClock extends SystemClock {
  wallOffsetMs = 0;

  override wall(): number {
    return super.wall() + this.wallOffsetMs;
  }
}

/** A cell that runs until `stop` is called. */
export class TestCell {
  readonly tables = new RowTables();

  readonly gangBoard = new GangBoard();

  readonly entries: TestEntry[] = [];

  readonly workers: TestWorker[] = [];

  keepEndedMs = 600_000;

  /** Switches of the entries that are started from now on. */
  policy: CellPolicy = DEFAULT_CELL_POLICY;

  readonly #log = new LogRecorder();

  /** Clock of all entries. */
  readonly clock = new SteppedClock();

  /** When a task crashes a runner, the guard beside it restarts too, before the runner is back. */
  crashesRestartGuards = false;

  /** A restarted runner keeps its id, as may happen on the platform; otherwise each incarnation has its own id. */
  reusesRunnerIds = false;

  /** How far the time of day of newly started runners lags behind, in ms. */
  runnerClockLagMs = 0;

  /** Runs that were active at the same time as another run of their task. */
  readonly overlappingRuns: string[] = [];

  readonly #activeRunCounts = new Map<string, number>();

  #lastBornMs = 0;

  /** Placement advisor for queues that need advice; without one these refuse jobs. */
  advisor: AdvisorModel | undefined;

  #jobCount = 0;

  #entryCount = 0;

  #configVersion = 0;

  #stopped = false;

  /** Publishes the operator's next configuration. */
  configure(change: Partial<CellConfig> = {}): void {
    this.#configVersion += 1;
    const config: CellConfig = {
      version: this.#configVersion,
      queues: [TEST_QUEUE],
      services: [{ name: 'render', guardsCapacity: true, standby: false }],
      accounts: [{ name: 'weddings', keys: [TEST_API_KEY], guaranteedAccelerators: 0 }],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      ...change,
    };
    const value = Buffer.from(JSON.stringify(config));
    this.tables.transact({ expected: [], set: [{ ...CONFIG_KEY, value }], remove: [] });
  }

  /** The operator evacuates a failure domain: nothing more may start there. */
  evacuate(failureDomain: string): void {
    const row = { ...evacuationKey(failureDomain), value: Buffer.from('{}') };
    this.tables.transact({ expected: [], set: [row], remove: [] });
  }

  /** The operator ends the evacuation of a failure domain. */
  endEvacuation(failureDomain: string): void {
    this.tables.transact({ expected: [], set: [], remove: [evacuationKey(failureDomain)] });
  }

  async addEntry({ processorShare = 1 } = {}): Promise<TestEntry> {
    const id = `entry-${this.#nextEntryNumber()}`;
    const store = new MemoryRowStore(this.tables);
    const ctx = quietContext({ id, role: 'entry', clock: this.clock, log: this.#log.logFor(id) });
    const app = new EntryApp({
      ctx,
      store,
      configSource: {
        key: CONFIG_KEY,
        decode: (value) => JSON.parse(value.toString()) as CellConfig,
      },
      advisor: this.advisor && inMemoryAdvisor(this.advisor),
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
      policy: this.policy,
    });
    await app.start();
    const entry = { id, app, store, metrics: ctx.metrics };
    this.entries.push(entry);
    return entry;
  }

  /** Starts the cell with this many entries and workers, and waits until it has an owner. */
  async start(entries: number, workers: number): Promise<void> {
    this.configure();
    for (let each = 0; each < entries; each++) await this.addEntry();
    for (let each = 0; each < workers; each++) this.addWorker();
    const isReady = (): boolean => this.entries.every(({ app }) => app.isReady);
    if (await eventually(() => isReady() && this.owner() !== undefined)) return;
    throw new Error('test cell was not ready in time');
  }

  addWorker({ rack = 'r1', failureDomain = FAILURE_DOMAIN } = {}): TestWorker {
    const id = `worker-${this.workers.length + 1}`;
    const store = new MemoryRowStore(this.tables);
    const life = this.#newLife(id, `${id}-runner`);
    const runner = new MemoryRunner(life);
    const guard = startGuard({ id, store, runner });
    const worker: TestWorker = {
      id,
      guard,
      runner,
      store,
      lives: [life],
      heartbeatTimer: setInterval(() => sendHeartbeat(worker, rack), HEARTBEAT_MS),
      remainingMs: undefined,
      isHeartbeatMuted: false,
      beats: 0,
      accelerators: ACCELERATORS,
      failureDomain,
    };
    this.workers.push(worker);
    sendHeartbeat(worker, rack);
    return worker;
  }

  /** Crashes the runner on this worker and immediately starts a new incarnation. */
  replaceRunner(worker: TestWorker): void {
    worker.runner.life?.crash();
    const earlier = worker.lives.at(-1)?.id ?? '';
    const life = this.#newLife(worker.id, this.reusesRunnerIds ? earlier : `${earlier}'`);
    Object.assign(worker.runner, { life });
    Object.assign(worker, { beats: 0, remainingMs: undefined });
    worker.lives.push(life);
  }

  /** Crashes the runner on this worker and starts a new incarnation after `awayMs`. */
  crashRunner(worker: TestWorker, awayMs: number): void {
    worker.runner.life?.crash();
    if (this.#stopped) return;
    Object.assign(worker.runner, { life: undefined });
    setTimeout(() => {
      if (!this.#stopped) this.replaceRunner(worker);
    }, awayMs);
  }

  #onCrashByTask(id: string): void {
    const worker = this.workers.find((each) => each.id === id);
    if (worker === undefined) return;
    this.crashRunner(worker, RUNNER_RESTART_MS);
    if (!this.crashesRestartGuards || this.#stopped) return;
    restartGuard(worker);
  }

  newJobId(): string {
    this.#jobCount += 1;
    return this.#jobCount.toString(16).padStart(16, '0');
  }

  /** State of a job as reported by a ready entry. */
  async jobState(id: string): Promise<string> {
    const entry = this.entries.find(({ app }) => app.isReady) ?? this.entries[0];
    const result = await entry?.app.jobApi.state(jobCall(id));
    return result?.outcome === 'state' ? result.state : (result?.outcome ?? 'no entry');
  }

  /** The entry that owns the cell according to the owner's row. */
  owner(): TestEntry | undefined {
    const row = this.tables.get(OWNER_ROW_KEY);
    const holder = row && unpackOwnerRow(row.value).holder?.id;
    return this.entries.find(({ id }) => id === holder);
  }

  /** Starts of a job's tasks on all runners and incarnations, oldest first. */
  starts(jobId: string): { task: string; run: number; at: number; checkpoint: string }[] {
    return this.workers
      .flatMap(({ lives }) => lives.flatMap(({ starts }) => starts))
      .filter(({ task }) => task.startsWith(`${jobId}.`))
      .sort((a, b) => a.at - b.at);
  }

  /** Progress of a job according to its row; undefined while there is none. */
  storedProgress(jobId: string): JobProgress | undefined {
    const progressRow = this.tables.get(jobRowKey(jobId, 'progress'));
    const submissionRow = this.tables.get(jobRowKey(jobId, 'submission'));
    if (progressRow === undefined || submissionRow === undefined) return undefined;
    return unpackProgress(unpackSubmission(submissionRow.value), progressRow.value);
  }

  /** Highest run number of any task of the job according to its row. */
  highestStoredRun(jobId: string): number {
    const occurrences = this.storedProgress(jobId)?.occurrences ?? [];
    const tasks = occurrences.flatMap(({ steps }) => steps.flatMap((step) => step.tasks));
    return Math.max(0, ...tasks.map(({ run }) => run));
  }

  /** Log lines of all entries with this message, oldest first. */
  logged(msg: string): LoggedLine[] {
    return this.#log.withMessage(msg);
  }

  /** All log lines of all entries, oldest first. */
  get logLines(): readonly LoggedLine[] {
    return this.#log.lines;
  }

  #nextEntryNumber(): number {
    this.#entryCount += 1;
    return this.#entryCount;
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.workers.forEach(({ guard, heartbeatTimer, runner }) => {
      clearInterval(heartbeatTimer);
      guard.stop();
      runner.life?.crash();
    });
    await Promise.all(this.entries.map(({ app }) => app.stop()));
  }

  #newLife(vm: string, id: string): RunnerModel {
    this.#lastBornMs = Math.max(this.#lastBornMs + 1, Date.now());
    return new RunnerModel({
      id,
      bornMs: this.#lastBornMs - this.runnerClockLagMs,
      slots: 8,
      board: this.gangBoard,
      takesTicket: (step, ticket) => this.advisor?.isValid(step, id, ticket) ?? true,
      onCrash: () => this.#onCrashByTask(vm),
      observer: {
        onStart: ({ task, run }) => this.#changeActiveRuns(task, run, 1),
        onEnd: ({ task, run }) => this.#changeActiveRuns(task, run, -1),
      },
    });
  }

  #changeActiveRuns(task: string, run: number, change: number): void {
    const count = (this.#activeRunCounts.get(task) ?? 0) + change;
    this.#activeRunCounts.set(task, count);
    if (count > 1) this.overlappingRuns.push(`${task}#${run}`);
  }
}

function evacuationKey(failureDomain: string): RowKey {
  const { table, part, keyPrefix } = TEST_EVACUATION_SOURCE;
  return { table, part, key: `${keyPrefix}${failureDomain}` };
}

/** Adapts the emulated advisor to the interface that an owner calls. */
function inMemoryAdvisor(model: AdvisorModel): Advisor {
  return {
    advise: async (step, runners) => {
      await sleep(ADVICE_MS);
      const approvals = model.advise(step, runners);
      return { outcome: 'advised', approvals, validMs: model.validMs };
    },
  };
}

/** Stops the entry, and nothing that it sends reaches the store any more. */
export function crashEntry({ app, store }: TestEntry): void {
  Object.assign(store, { fault: 'silent' });
  void app.stop();
}

/** Crashes the entry as soon as it has stored a job's progress, before the write is answered. */
export function crashEntryAtProgressWrite(entry: TestEntry): void {
  Object.assign(entry.store, {
    onDone: ({ set }: Transaction) => {
      if (set.some(({ key }) => key.endsWith('/p'))) crashEntry(entry);
    },
  });
}

/** A call concerning a job of the default queue. */
export function jobCall(
  rest: string,
  key = TEST_API_KEY,
): { host: string; path: string; key: string } {
  return { host: TEST_HOST, path: `${TEST_PATH_PREFIX}${rest}`, key };
}

/** Submits a job to an entry; returns the outcome. */
export async function submitToEntry(
  entry: TestEntry,
  id: string,
  {
    steps = [testStep()],
    spec = {},
    schedule,
  }: { steps?: Step[]; spec?: object; schedule?: JobRequest['schedule'] } = {},
): Promise<string> {
  const job: JobRequest = { spec: JSON.stringify(spec), steps, schedule };
  const { outcome } = await entry.app.jobApi.submit(jobCall(id), { decode: () => ({ job }) });
  return outcome;
}

/** Polls a condition for at most `limitMs`; true if it became true. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
  limitMs = 10_000,
): Promise<boolean> {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await condition()) return true;
    await sleep(20);
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
