/**
 * Takes slow, failing and silent runners out of choice for a while, and lets them back through probes one at a
 * time. At most a share of the runners is out at once: with more, the trouble is likely not theirs.
 */
import type { LatencyTracker } from './latency-tracker.js';
import { RunnerRecord, type RunnerHealth } from './runner-record.js';

/** An ejection, for the time line. */
export interface Ejection {
  runner: string;
  why: 'failures' | 'slow' | 'silent' | 'probe-failed';
  until: number;
}

const PROBES_TO_CLOSE = 3;
/** With this many requests in flight and none answered, one tail latency of silence is enough. */
const SILENCE_REQUESTS = 3;
const LONGEST_DOUBLINGS = 6;

/** Health of the runners as one entry sees it. Times in ms. */
export class Ejector {
  readonly #latency: LatencyTracker;

  readonly #failuresToEject: number;

  readonly #slowFactor: number;

  readonly #minSamples: number;

  readonly #ejectMs: number;

  readonly #shortestSilenceMs: number;

  readonly #maxShare: number;

  readonly #onEject: (ejection: Ejection) => void;

  readonly #records = new Map<string, RunnerRecord>();

  /** Runners that are ejected or half-open. */
  readonly #out = new Set<string>();

  constructor({
    latency,
    failuresToEject = 5,
    slowFactor = 3,
    minSamples = 10,
    ejectMs = 5000,
    shortestSilenceMs = 200,
    maxShare = 0.3,
    onEject = () => {},
  }: {
    latency: LatencyTracker;
    failuresToEject?: number;
    /** Times the median of its peers at which a runner counts as slow. */
    slowFactor?: number;
    minSamples?: number;
    /** First ejection; each further one is twice as long. */
    ejectMs?: number;
    shortestSilenceMs?: number;
    maxShare?: number;
    onEject?: (ejection: Ejection) => void;
  }) {
    this.#latency = latency;
    this.#failuresToEject = failuresToEject;
    this.#slowFactor = slowFactor;
    this.#minSamples = minSamples;
    this.#ejectMs = ejectMs;
    this.#shortestSilenceMs = shortestSilenceMs;
    this.#maxShare = maxShare;
    this.#onEject = onEject;
  }

  add(runner: string): void {
    if (!this.#records.has(runner)) this.#records.set(runner, new RunnerRecord());
  }

  remove(runner: string): void {
    this.#records.delete(runner);
    this.#out.delete(runner);
    this.#latency.forget(runner);
  }

  /** State at `now`. An ejection that has run out becomes half-open. */
  health(runner: string, now: number): RunnerHealth {
    const record = this.#records.get(runner);
    if (record === undefined) return 'closed';
    if (record.state === 'ejected' && record.until <= now) {
      record.openHalf();
      this.#latency.forget(runner);
    }
    return record.state;
  }

  /** May a request go there? Half-open runners take one at a time. */
  mayUse(runner: string, now: number): boolean {
    const state = this.health(runner, now);
    if (state === 'closed') return true;
    return state === 'half-open' && this.#records.get(runner)?.probing === false;
  }

  /** A request was sent. */
  started(runner: string, now: number): void {
    this.health(runner, now);
    this.#records.get(runner)?.started(now);
  }

  /** A request ended: an answer, a failure of the runner or its link, or given up by the caller. */
  ended(runner: string, how: 'answered' | 'failed' | 'abandoned', now: number): void {
    const record = this.#records.get(runner);
    if (record === undefined) return;
    record.ended();
    if (how === 'abandoned') return;
    if (how === 'answered') this.#answered(runner, record, now);
    else this.#failed(runner, record, now);
  }

  /** Looks for runners that stopped answering; call it every 100 ms or so, with the kinds' p99. */
  checkSilence(now: number, typicalTailMs: number): void {
    [...this.#records]
      .filter(([, { state }]) => state !== 'ejected')
      .filter(
        ([, record]) => now - (record.waitingSince ?? now) > this.#limitMs(record, typicalTailMs),
      )
      .forEach(([runner, record]) => this.#eject(runner, record, 'silent', now));
  }

  /** Runners that are out now. */
  ejected(now: number): string[] {
    return [...this.#out].filter((id) => this.health(id, now) === 'ejected');
  }

  /** Runners on trial now. */
  halfOpen(now: number): string[] {
    return [...this.#out].filter((id) => this.health(id, now) === 'half-open');
  }

  #answered(runner: string, record: RunnerRecord, now: number): void {
    record.answered(now);
    if (record.state === 'half-open') this.#probeAnswered(runner, record, now);
    else if (record.state === 'closed' && this.#isSlow(runner, this.#minSamples)) {
      this.#eject(runner, record, 'slow', now);
    }
  }

  #probeAnswered(runner: string, record: RunnerRecord, now: number): void {
    if (record.probes < PROBES_TO_CLOSE) return;
    if (this.#isSlow(runner, PROBES_TO_CLOSE)) this.#eject(runner, record, 'slow', now);
    else this.#close(runner, record);
  }

  #close(runner: string, record: RunnerRecord): void {
    record.close();
    this.#out.delete(runner);
  }

  #failed(runner: string, record: RunnerRecord, now: number): void {
    record.failed();
    if (record.state === 'half-open') this.#eject(runner, record, 'probe-failed', now);
    else if (record.state === 'closed' && record.failures >= this.#failuresToEject) {
      this.#eject(runner, record, 'failures', now);
    }
  }

  /** One slow request is no silence; several at once, all beyond the tail, hardly happen to a live runner. */
  #limitMs({ inFlight }: RunnerRecord, typicalTailMs: number): number {
    const factor = SILENCE_REQUESTS / Math.min(SILENCE_REQUESTS, Math.max(1, inFlight));
    return Math.max(this.#shortestSilenceMs, typicalTailMs * factor);
  }

  /** Slow beside the median of its peers, so that a slow hour for all ejects nobody. */
  #isSlow(runner: string, minSamples: number): boolean {
    const slowness = this.#latency.slowness(runner);
    // Spares the comparison in nearly all cases.
    if (slowness < this.#slowFactor || this.#latency.samples(runner) < minSamples) return false;
    const peers = [...this.#records.keys()]
      .filter((id) => id !== runner && this.#latency.samples(id) >= this.#minSamples)
      .map((id) => this.#latency.slowness(id))
      .sort((a, b) => a - b);
    const median = peers[Math.floor(peers.length / 2)];
    return median !== undefined && slowness > median * this.#slowFactor;
  }

  #eject(runner: string, record: RunnerRecord, why: Ejection['why'], now: number): void {
    if (record.state === 'closed' && !this.#hasRoom()) return;
    const doublings = Math.min(record.ejections, LONGEST_DOUBLINGS);
    this.#out.add(runner);
    record.eject(now + this.#ejectMs * 2 ** doublings);
    this.#onEject({ runner, why, until: record.until });
  }

  #hasRoom(): boolean {
    const bound = Math.max(1, Math.floor(this.#records.size * this.#maxShare));
    return this.#out.size < bound && this.#records.size > 1;
  }
}
