/** Callers of a soak run: they hand jobs in, come again as the protocol says, ask for states, cancel some. */
import { setTimeout as sleep } from 'node:timers/promises';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Fleet, FleetEntry } from '../fleet/fleet.js';
import type { FleetAnswer, FleetCaller } from './fleet-caller.js';
import { FollowedJob } from './followed-job.js';
import type { RunWatch } from './run-watch.js';
import { drawJob } from './soak-jobs.js';

/** Path prefix of the soak's queue. */
export const PREFIX = '/soak/';

/** Pause between submissions, in ms. */
const SUBMIT_EVERY_MS = 250;

/** A job is asked about this often, in ms. */
const ASK_EVERY_MS = 600;

/** Tries of one submission, and the longest pause between two, in ms. */
const TRIES = 12;
const RETRY_MS = 250;

/** An accepted job that isn't known this long afterwards is lost, in ms: the platform's bound. */
const VISIBLE_MS = 3000;

/** A cancelling caller waits this long after the acceptance, in ms. */
const CANCEL_AFTER_MS = 400;

const OK = 200;
const GONE = 410;
/** Surely not accepted. */
const REJECTED = [429, 503];

/** All callers. */
export class SoakCallers {
  readonly violations: string[] = [];

  readonly jobs: FollowedJob[] = [];

  readonly #fleet: Fleet;

  readonly #watch: RunWatch;

  readonly #caller: FleetCaller;

  readonly #key: () => string;

  readonly #rng: RandomGenerator;

  readonly #crashEach: number;

  readonly #lanes: Promise<void>[] = [];

  #isSubmitting = true;

  #isOver = false;

  constructor({
    fleet,
    watch,
    caller,
    key,
    seed,
    crashEach,
  }: {
    fleet: Fleet;
    watch: RunWatch;
    caller: FleetCaller;
    /** The client account's key as it is now. */
    key: () => string;
    seed: number;
    /** Each so many jobs crash their runners; 0: none. */
    crashEach: number;
  }) {
    this.#fleet = fleet;
    this.#watch = watch;
    this.#caller = caller;
    this.#key = key;
    this.#rng = xoroshiro128plus(seed);
    this.#crashEach = crashEach;
  }

  start(): void {
    this.#lanes.push(this.#submitAll());
  }

  /** No further jobs; those accepted are followed until they are over, at most this long, in ms. */
  async finish(settleMs: number): Promise<void> {
    this.#isSubmitting = false;
    const endAt = performance.now() + settleMs;
    const isSettled = (): boolean => this.jobs.every((each) => !each.isOpen);
    while (performance.now() < endAt && !isSettled()) await sleep(ASK_EVERY_MS / 2);
    this.#isOver = true;
    await Promise.all(this.#lanes);
    this.jobs
      .filter((each) => each.isOpen)
      .forEach(({ job, state }) => {
        this.violations.push(`job ${job.id}: still ${state} ${settleMs} ms after the last fault`);
      });
    this.jobs
      .filter(({ acceptedAt, isUnsure }) => acceptedAt === undefined && !isUnsure)
      .filter(({ job }) => this.#watch.startsOf(job.id) > 0)
      .forEach(({ job }) => this.violations.push(`job ${job.id}: ran, and every try was refused`));
  }

  async #submitAll(): Promise<void> {
    for (let number = 1; this.#isSubmitting; number++) {
      const job = drawJob(this.#rng, number, this.#crashEach);
      this.#watch.expect(job);
      const followed = new FollowedJob(job);
      this.jobs.push(followed);
      this.#lanes.push(this.#live(followed));
      await sleep(SUBMIT_EVERY_MS);
    }
  }

  /** One job's caller, from the first try to the last state. */
  async #live(followed: FollowedJob): Promise<void> {
    for (let tries = 0; tries < TRIES && followed.acceptedAt === undefined; tries++) {
      await this.#submit(followed);
    }
    if (followed.acceptedAt === undefined) return;
    if (followed.job.cancels) {
      await sleep(CANCEL_AFTER_MS);
      await this.#cancel(followed);
    }
    while (followed.isOpen && !this.#isOver) {
      await sleep(ASK_EVERY_MS);
      await this.#ask(followed);
    }
  }

  async #submit(followed: FollowedJob): Promise<void> {
    const answer = await this.#call('POST', followed);
    if (answer.outcome === 'answered' && answer.status === OK) {
      followed.accept();
      return;
    }
    if (answer.outcome === 'answered' && REJECTED.includes(answer.status)) {
      await sleep(Math.min(RETRY_MS, answer.retryAfterMs));
      return;
    }
    if (answer.outcome !== 'unsent') followed.doubt();
    await sleep(RETRY_MS);
  }

  async #cancel(followed: FollowedJob): Promise<void> {
    followed.cancel();
    const answer = await this.#call('DELETE', followed);
    if (answer.outcome === 'answered' && answer.status === OK) {
      this.#watch.noteCancelled(followed.job.id);
    }
  }

  async #ask(followed: FollowedJob): Promise<void> {
    const { job } = followed;
    const sentAt = performance.now();
    const answer = await this.#call('GET', followed);
    if (answer.outcome !== 'answered') return;
    if (answer.status === GONE && sentAt - (followed.acceptedAt ?? sentAt) > VISIBLE_MS) {
      this.violations.push(`job ${job.id}: accepted, and said not to exist`);
    }
    if (answer.status !== OK) return;
    const { state } = answer.body as { state?: unknown };
    followed.show(String(state));
    if (state === 'completed' && !this.#watch.isDone(job)) {
      this.violations.push(`job ${job.id}: shown as completed before all its tasks were done`);
    }
    if (followed.isShownWrongly) this.violations.push(`job ${job.id}: shown as ${followed.state}`);
  }

  #call(method: 'GET' | 'POST' | 'DELETE', { job }: FollowedJob): Promise<FleetAnswer> {
    return this.#caller.call(this.#anyEntry(), {
      method,
      path: `${PREFIX}${job.id}`,
      key: this.#key(),
      ...(method === 'POST' ? { body: job.body } : {}),
    });
  }

  #anyEntry(): FleetEntry {
    const { entries } = this.#fleet;
    const entry = entries[uniformInt(this.#rng, 0, entries.length - 1)];
    if (entry === undefined) throw new Error('a fleet without entries');
    return entry;
  }
}
