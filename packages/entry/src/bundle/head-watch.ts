/** Watches the table's row of the bundle in force; fetches the body from the object store. */
import {
  BUNDLE_HEAD_KEY,
  bundleHeadRowSchema,
  bundleObjectKey,
  bundleSchema,
  checkValue,
  toProblem,
  type Bundle,
  type BundleHead,
  type BundleKeeper,
  type BundleSync,
  type ObjectStore,
  type ProcessContext,
  type Table,
} from '@zincspan/core';

/** What a HeadWatch is made from. */
export interface HeadWatchOptions {
  ctx: ProcessContext;
  table: Table;
  objectStore: ObjectStore;
  keeper: BundleKeeper;
  sync: BundleSync;
  everyMs?: number;
  /** Share by which the time between reads varies, so that entries don't read all at once. */
  jitter?: number;
  random?: () => number;
}

/** Reads the row again and again until stopped. Peers are quicker; this is for when none has it. */
export class HeadWatch {
  readonly #options: Required<HeadWatchOptions>;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  #reachable = true;

  #behind = false;

  constructor(options: HeadWatchOptions) {
    this.#options = { everyMs: 1000, jitter: 0.25, random: Math.random, ...options };
  }

  /** Whether the last read of the table succeeded. */
  get reachable(): boolean {
    return this.#reachable;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Reads once. Resolves when what it found has been offered; failures are counted. */
  async read(): Promise<void> {
    // A rollout while the row is being read doesn't make the row old.
    const inForce = this.#options.keeper.version;
    try {
      const head = await this.#readHead();
      this.#noteReachable(true);
      this.#noteBehind(head?.version ?? 0, inForce);
      if (!head || head.version <= this.#options.keeper.version) return;
      const bundle = await readBody(this.#options.objectStore, head.digest);
      this.#options.sync.offerBundle(head, bundle, 'table');
    } catch (err) {
      const { kind, detail } = toProblem(err);
      this.#options.ctx.metrics.count('bundle.watch-failed', 1, { kind });
      if (kind === 'store-unavailable') this.#noteReachable(false, detail);
    }
  }

  async #run(): Promise<void> {
    await this.read();
    if (this.#stopped) return;
    const { everyMs, jitter, random } = this.#options;
    const pause = everyMs * (1 + jitter * (random() * 2 - 1));
    this.#timer = setTimeout(() => {
      void this.#run();
    }, pause);
  }

  async #readHead(): Promise<BundleHead | undefined> {
    const { value } = await this.#options.table.get(BUNDLE_HEAD_KEY);
    if (value === null) return undefined;
    return checkValue(value, bundleHeadRowSchema, { source: BUNDLE_HEAD_KEY }).head;
  }

  /** A table that lost its rows: what is in force stays, and the next rollout writes the row anew. */
  #noteBehind(table: number, inForce: number): void {
    const { ctx } = this.#options;
    const behind = table < inForce;
    if (behind) ctx.metrics.count('bundle.table-behind');
    if (behind === this.#behind) return;
    this.#behind = behind;
    const fields = { table, inForce };
    ctx.timeline.record(
      behind ? 'bundle.table-behind' : 'bundle.table-level',
      BUNDLE_HEAD_KEY,
      fields,
    );
    if (behind) ctx.log.warn(fields, 'the table names an older bundle than the one in force');
    else ctx.log.info(fields, 'the table names the bundle in force again');
  }

  #noteReachable(reachable: boolean, why = ''): void {
    if (reachable === this.#reachable) return;
    this.#reachable = reachable;
    const { log, timeline } = this.#options.ctx;
    timeline.record(reachable ? 'bundle.store-back' : 'bundle.store-lost', BUNDLE_HEAD_KEY);
    if (reachable) log.info({}, 'the bundle can be read from the platform again');
    else log.warn({ why }, 'the bundle comes from peers only: the platform is unreachable');
  }
}

/** Body of a bundle from the object store. Throws ProblemError `not-found` or `bad-input`. */
export async function readBody(objectStore: ObjectStore, digest: string): Promise<Bundle> {
  const key = bundleObjectKey(digest);
  const body = await objectStore.get(key);
  const value: unknown = body === undefined ? undefined : JSON.parse(Buffer.from(body).toString());
  return checkValue(value, bundleSchema, { source: `The object ${key}` });
}
