/** bench:decide: what a decision costs at growing sizes, queue lengths and gang sizes. */
import {
  ManualClock,
  createScheduler,
  type Bundle,
  type Decision,
  type DomainScheduler,
  type Shape,
} from '@zincspan/core';
import { RandomSource } from '../route/random-source.js';
import { quantile } from '../policy/tally.js';
import { makeDecideBundle, makeDecideWorkers } from './decide-domain.js';

/** Options of the command line. */
export interface DecideBenchOptions {
  seed: number;
  /** Events measured at each size. */
  events: number;
  /** Only sizes of this many workers; 0 for all. */
  workers: number;
}

/** One size to measure. */
interface Size {
  workers: number;
  accelerators: number;
  running: number;
  queued: number;
  gang: number;
}

const SIZES: Size[] = [
  { workers: 10, accelerators: 80, running: 60, queued: 100, gang: 2 },
  { workers: 110, accelerators: 880, running: 600, queued: 100, gang: 2 },
  { workers: 550, accelerators: 690, running: 3000, queued: 100, gang: 2 },
  { workers: 1100, accelerators: 1400, running: 6000, queued: 100, gang: 2 },
  { workers: 1100, accelerators: 8800, running: 6000, queued: 100, gang: 2 },
  { workers: 5000, accelerators: 6250, running: 25_000, queued: 100, gang: 2 },
  { workers: 20_000, accelerators: 25_000, running: 100_000, queued: 100, gang: 2 },
  { workers: 1100, accelerators: 1400, running: 6000, queued: 1000, gang: 2 },
  { workers: 1100, accelerators: 1400, running: 6000, queued: 10_000, gang: 2 },
  { workers: 1100, accelerators: 8800, running: 6000, queued: 100, gang: 16 },
  { workers: 1100, accelerators: 8800, running: 6000, queued: 100, gang: 64 },
  { workers: 1100, accelerators: 8800, running: 6000, queued: 100, gang: 128 },
];

/** Every so many submissions one is a gang. */
const GANG_EVERY = 20;

/** A failure domain in which every job that ends is followed by another. */
class BusyDomain {
  readonly scheduler: DomainScheduler;

  readonly #random: RandomSource;

  readonly #clock = new ManualClock({ start: 1_000_000 });

  readonly #running: string[] = [];

  readonly #size: Size;

  readonly #bundle: Bundle;

  #made = 0;

  constructor(size: Size, seed: number) {
    this.#size = size;
    this.#random = new RandomSource(seed);
    this.#bundle = makeDecideBundle();
    this.scheduler = createScheduler({ failureDomain: 'hall', bundle: this.#bundle });
    makeDecideWorkers(size).forEach((worker) =>
      this.scheduler.apply({ type: 'worker-ready', worker }, this.#clock.wall()),
    );
    this.#clock.advance(60_000);
    this.#decide();
    this.#fill();
  }

  /** One event and the decisions on it; returns the time taken, in ms. */
  step(): number {
    this.#clock.advance(this.#random.exponential(200));
    const ends = this.#random.uniform() < 0.5 && this.#running.length > 0;
    const key = ends ? this.#takeRunning() : undefined;
    const before = performance.now();
    if (key === undefined) this.#submit();
    else this.#end(key);
    this.#decide();
    return performance.now() - before;
  }

  #fill(): void {
    for (let i = 0; i < this.#size.running + this.#size.queued; i += 1) this.#submit(true);
    this.#decide();
    for (let i = 0; i < this.#size.queued; i += 1) this.#submit(true, 8);
    this.#decide();
  }

  #takeRunning(): string | undefined {
    const index = Math.floor(this.#random.uniform() * this.#running.length);
    const last = this.#running.pop();
    if (index >= this.#running.length) return last;
    const key = this.#running[index];
    this.#running[index] = last!;
    return key;
  }

  #end(key: string): void {
    this.scheduler.apply(
      { type: 'job-ended', key, end: 'succeeded', ranMs: 60_000, requeue: false },
      this.#clock.wall(),
    );
  }

  #submit(isFilling = false, accelerators = 1): void {
    this.#made += 1;
    const account = `team-${this.#made % this.#bundle.accounts.length}`;
    const isGang = !isFilling && this.#made % GANG_EVERY === 0;
    const isCores = this.#made % 4 !== 0 && accelerators === 1;
    const tasks = isGang ? this.#size.gang : 1;
    const shape: Shape = {
      tasks,
      acceleratorsPerTask: isCores ? 0 : accelerators,
      coresPerTask: 1,
      memoryMbPerTask: 512,
      adjacency: tasks > 3 ? 'failure-domain' : 'rack',
    };
    const kind = this.#made % 3 === 0 ? 'urgent-work' : 'waiting-work';
    const spec = { kind, shape, params: {}, declaredRunMs: 3_600_000 };
    const key = `jobs/${account}/j${this.#made}`;
    const submittedAt = this.#clock.wall();
    this.scheduler.apply(
      { type: 'job-queued', job: { key, account, spec, submittedAt, attempt: 0 } },
      submittedAt,
    );
  }

  #decide(): void {
    this.scheduler.decide(this.#clock.wall()).forEach((decision) => this.#note(decision));
  }

  #note(decision: Decision): void {
    if (decision.type === 'place') {
      this.#running.push(decision.key);
      this.scheduler.apply({ type: 'job-started', key: decision.key }, this.#clock.wall());
    }
    if (decision.type !== 'evict') return;
    this.scheduler.apply(
      { type: 'job-ended', key: decision.key, end: 'checkpointed', ranMs: 1000, requeue: true },
      this.#clock.wall(),
    );
    const index = this.#running.indexOf(decision.key);
    if (index >= 0) this.#running.splice(index, 1);
  }
}

/** Runs the bench and prints its table (Markdown). */
export function benchDecide({ seed, events, workers }: DecideBenchOptions): void {
  console.log(`Seed ${seed}, ${events} events at each size.\n`);
  console.log(
    '| workers | accelerators | running | queued | gang | decisions/s | p50 ms | p99 ms | max ms | heap MB | summary ms |',
  );
  console.log(`|${'---:|'.repeat(11)}`);
  SIZES.filter((size) => workers === 0 || size.workers === workers).forEach((size) =>
    measure(size, seed, events),
  );
}

function measure(size: Size, seed: number, events: number): void {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const domain = new BusyDomain(size, seed);
  const times = Array.from({ length: events }, () => domain.step());
  const total = times.reduce((sum, ms) => sum + ms, 0);
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / 1_048_576;
  const before = performance.now();
  const { running, queued } = domain.scheduler.summary(2_000_000);
  const summaryMs = performance.now() - before;
  const cells = [
    size.workers,
    size.accelerators,
    running,
    queued,
    size.gang,
    Math.round((events * 1000) / total),
    quantile(times, 0.5).toFixed(3),
    quantile(times, 0.99).toFixed(3),
    Math.max(...times).toFixed(1),
    heapMb.toFixed(1),
    summaryMs.toFixed(1),
  ];
  console.log(`| ${cells.join(' | ')} |`);
}
