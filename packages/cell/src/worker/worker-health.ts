/**
 * Quarantine of a worker by the outcome of its runs. A worker that fails every task it starts, or on which tasks stall, still
 * looks healthy and, being empty, would be chosen again and again.
 */

/** How long a fault (a failed or stalled task) counts against a worker, in ms: longer than a retry takes. */
const FAULT_WINDOW_MS = 8000;

/** Faults of different tasks within that time after which the worker is quarantined. */
const FAULTS_TO_QUARANTINE = 2;

/** First quarantine, in ms; each further one is twice as long, up to the maximum. */
const MIN_QUARANTINE_MS = 5000;
const MAX_QUARANTINE_MS = 40_000;

interface Fault {
  task: string;
  at: number;
}

/** Recent faults of one worker, and its quarantine. Times are on the owner's monotonic clock. */
export class WorkerHealth {
  #faults: Fault[] = [];

  #quarantinedUntil = -Infinity;

  #quarantineMs = MIN_QUARANTINE_MS;

  /** A run completed there: the earlier failures were the tasks' own. */
  noteSuccess(): void {
    this.#faults = [];
    this.#quarantineMs = MIN_QUARANTINE_MS;
  }

  /** A run failed or stalled there. */
  noteFault(task: string, now: number): void {
    this.#faults = this.#faults.filter(({ at }) => now - at < FAULT_WINDOW_MS);
    if (!this.#faults.some((fault) => fault.task === task)) this.#faults.push({ task, at: now });
  }

  /** Quarantines the worker if enough tasks failed there recently; true if it did. */
  quarantineIfFaulty(now: number): boolean {
    if (this.#faults.length < FAULTS_TO_QUARANTINE || this.isQuarantined(now)) return false;
    this.#quarantinedUntil = now + this.#quarantineMs;
    this.#quarantineMs = Math.min(MAX_QUARANTINE_MS, 2 * this.#quarantineMs);
    this.#faults = [];
    return true;
  }

  /** True while no task may be placed on it. */
  isQuarantined(now: number): boolean {
    return now < this.#quarantinedUntil;
  }

  /** Number of recent faults. Where there is a choice, workers with fewer faults are preferred. */
  recentFaults(now: number): number {
    return this.#faults.filter(({ at }) => now - at < FAULT_WINDOW_MS).length;
  }
}
