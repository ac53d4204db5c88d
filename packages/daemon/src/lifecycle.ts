/** From start to the last exit: a planned stop drains first, a second signal doesn't wait. */
import type { Log, Timeline } from '@zincspan/core';
import type { Role } from './role/role.js';

/** Parts that a lifecycle watches over. */
export interface LifecycleOptions {
  role: Role;
  log: Log;
  timeline: Timeline;
  /** Ends the process with this exit code. */
  exit: (code: number) => void;
}

const EXIT_OK = 0;
const EXIT_FAILED = 1;

/** Starts a role and stops it on SIGTERM or SIGINT. */
export class Lifecycle {
  readonly #options: LifecycleOptions;

  #stopping = false;

  constructor(options: LifecycleOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const { role, log, timeline } = this.#options;
    process.on('SIGTERM', () => this.#onSignal('SIGTERM'));
    process.on('SIGINT', () => this.#onSignal('SIGINT'));
    await role.start();
    timeline.record('process.started', 'process');
    log.info({ pid: process.pid }, 'started');
  }

  #onSignal(signal: string): void {
    if (this.#stopping) {
      this.#options.log.warn({ signal }, 'second signal, stopping at once');
      this.#options.exit(EXIT_FAILED);
      return;
    }
    this.#stopping = true;
    void this.#stop(signal);
  }

  async #stop(signal: string): Promise<void> {
    const { role, log, timeline, exit } = this.#options;
    try {
      timeline.record('process.draining', 'process', { signal });
      log.info({ signal }, 'draining');
      await role.drain();
      await role.stop();
      log.info({}, 'stopped');
      exit(EXIT_OK);
    } catch (err) {
      log.error({ err }, 'planned stop failed');
      exit(EXIT_FAILED);
    }
  }
}
