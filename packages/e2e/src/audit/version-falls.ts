/** Watches the versions in force at all processes, as every entry sees them, for one that falls. */
import { setTimeout as sleep } from 'node:timers/promises';
import { versionsAt } from './entry-view.js';
import type { Deployment } from '../deployment/deployment.js';

const SAMPLE_MS = 100;

/** Samples until stopped. */
export class VersionFalls {
  readonly seen: string[] = [];

  /** Versions read. */
  samples = 0;

  readonly #deployment: Deployment;

  readonly #highest = new Map<string, number>();

  #stopped = false;

  #done: Promise<void> | undefined;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  start(): void {
    this.#done = this.#watch();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
  }

  async #watch(): Promise<void> {
    const entries = this.#deployment.layout.entries.map(({ id }) => id);
    while (!this.#stopped) {
      await Promise.all(entries.map((entry) => this.#sample(entry)));
      await sleep(SAMPLE_MS);
    }
  }

  /** An answer that was asked for before another came may be older: only what an entry asked after it counts. */
  async #sample(entry: string): Promise<void> {
    const known = new Map(this.#highest);
    const versions = await versionsAt(this.#deployment, entry).catch(
      () => new Map<string, number>(),
    );
    versions.forEach((version, process) => {
      // A process that has just started has no bundle yet, and serves nothing.
      if (version <= 0) return;
      this.samples += 1;
      const before = known.get(process) ?? 0;
      if (version < before) this.seen.push(`${process} fell from ${before} to ${version}`);
      this.#highest.set(process, Math.max(this.#highest.get(process) ?? 0, version));
    });
  }
}
