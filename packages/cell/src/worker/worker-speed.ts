/**
 * The speed of a worker's runner: how long its tasks are expected to take over how long they take; 1 is usual. A weighted median,
 * as one task that is long by itself says nothing about its worker.
 */

import { totalWeight, weightedMedian, type Weighted } from './weighted-median.js';

/** What was learned counts half after this time, in ms. */
export const SPEED_HALF_LIFE_MS = 20_000;

const MIN_SPEED = 0.1;
const MAX_SPEED = 2;

/** A worker below this is slow. Above the 0.77 of the usual slower third of a fleet would leave too few others. */
export const SLOW_SPEED = 0.7;

/** Weight of the assumption that the speed is 1, in observations: two long tasks alone don't make a worker slow. */
const PRIOR_WEIGHT = 2;

/** Ended tasks that are kept. */
const MAX_ENDED = 24;

/**
 * With at least this many paces of running tasks that agree, ended tasks together count at most `MAX_ENDED_SHARE` of the paces:
 * the worker's speed has changed since. Paces that differ more, by the mean deviation of their logarithms, are long tasks.
 */
const MIN_PACES = 3;
const MAX_PACE_DEVIATION = 0.3;
const MAX_ENDED_SHARE = 0.5;

/** Most that a predecessor's speed counts, in observations. */
const MAX_RESTORED_WEIGHT = 8;

/** Two restarts within this time keep gangs off the runner for as long after the second, in ms. */
const RESTART_WINDOW_MS = 10_000;

/** What one task says about the speed. */
export interface SpeedObservation {
  /** Expected duration over the actual one. */
  ratio: number;
  /** Observations with the same key share a weight of one: they share the error of what was expected. */
  key: string;
  weight: number;
}

/** A speed, and how many observations stand behind it. */
export interface KnownSpeed {
  speed: number;
  weight: number;
}

/** Speed of one worker. Times are on the owner's monotonic clock, in ms. */
export class WorkerSpeed {
  #incarnation: string | undefined;

  #restarts: number[] = [];

  #ended: (SpeedObservation & { at: number })[] = [];

  #paces: readonly SpeedObservation[] = [];

  #known: KnownSpeed = { speed: 1, weight: 0 };

  #spread = 0;

  /** From 0.1 to 2; 1 if unknown. */
  get speed(): number {
    return this.#known.speed;
  }

  get known(): KnownSpeed {
    return this.#known;
  }

  /** Mean deviation of the observations' logarithms from that of the speed. */
  get spread(): number {
    return this.#spread;
  }

  /** The runner that is there. What was learned about an earlier incarnation is discarded. */
  follow(incarnation: string, now: number): void {
    if (incarnation === this.#incarnation) return;
    if (this.#incarnation !== undefined) this.#restarts = [...this.#restarts.slice(-1), now];
    this.#incarnation = incarnation;
    this.#ended = [];
    this.#paces = [];
    this.update(now);
  }

  /** True for a time after two restarts in quick succession. */
  isRestarting(now: number): boolean {
    const [first, second] = this.#restarts;
    if (first === undefined || second === undefined) return false;
    return second - first < RESTART_WINDOW_MS && now - second < RESTART_WINDOW_MS;
  }

  /** Takes over what an earlier owner has learned, unless this one has learned something itself. */
  restore({ speed, weight }: KnownSpeed, now: number): void {
    if (this.#ended.length > 0 || this.#paces.length > 0 || weight <= 0) return;
    const restored = Math.min(MAX_RESTORED_WEIGHT, weight);
    this.#ended.push({ ratio: speed, key: '', weight: restored, at: now });
    this.update(now);
  }

  noteEnded(observation: SpeedObservation, now: number): void {
    this.#ended = [...this.#ended.slice(1 - MAX_ENDED), { ...observation, at: now }];
  }

  /** Sets what the running tasks say now. */
  notePaces(paces: readonly SpeedObservation[]): void {
    this.#paces = paces;
  }

  /** Computes the speed of now. */
  update(now: number): void {
    const ended = weigh(
      this.#ended.map((each) => ({
        ...each,
        weight: each.weight * decay(now - each.at),
      })),
    );
    const paces = withoutLengthBias(weigh(this.#paces));
    const agree =
      paces.length >= MIN_PACES &&
      meanDeviation(paces, weightedMedian(paces)) <= MAX_PACE_DEVIATION;
    const limit = agree ? MAX_ENDED_SHARE * totalWeight(paces) : Infinity;
    const scale = Math.min(1, limit / Math.max(totalWeight(ended), Number.MIN_VALUE));
    const observed = [
      ...paces,
      ...ended.map(({ value, weight }) => ({ value, weight: weight * scale })),
    ];
    const median = weightedMedian([...observed, { value: 0, weight: PRIOR_WEIGHT }]);
    const weight = totalWeight(observed);
    this.#spread = meanDeviation(observed, median);
    this.#known = { speed: limitSpeed(Math.exp(median)), weight };
  }
}

function meanDeviation(values: readonly Weighted[], center: number): number {
  const sum = values.reduce(
    (total, { value, weight }) => total + weight * Math.abs(value - center),
    0,
  );
  return sum / Math.max(totalWeight(values), Number.MIN_VALUE);
}

/** Share of its weight that an observation has after this time. */
export function decay(ageMs: number): number {
  return 2 ** (-Math.max(0, ageMs) / SPEED_HALF_LIFE_MS);
}

/** A speed within the limits. */
export function limitSpeed(speed: number): number {
  return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
}

/**
 * Weighs the paces of running tasks by what they would be among ended ones: a task that is seven times as long is seven times as
 * likely to be seen running, so that at 3% of such tasks half of a worker's eight can be long. Keeps the total weight.
 */
function withoutLengthBias(paces: readonly Weighted[]): Weighted[] {
  const corrected = paces.map(({ value, weight }) => ({ value, weight: weight * Math.exp(value) }));
  const scale = totalWeight(paces) / Math.max(totalWeight(corrected), Number.MIN_VALUE);
  return corrected.map(({ value, weight }) => ({ value, weight: weight * scale }));
}

function weigh(observations: readonly SpeedObservation[]): Weighted[] {
  const counts = new Map<string, number>();
  observations.forEach(({ key }) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return observations.map(({ ratio, key, weight }) => ({
    value: Math.log(limitSpeed(ratio)),
    weight: weight / (counts.get(key) ?? 1),
  }));
}
