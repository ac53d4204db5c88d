/**
 * Limits the speed (pace) of filler tasks, which use idle capacity, on a worker that also runs serving tasks, which have a
 * response time target. A filler task slows a serving task by amounts that nobody declares and that change within seconds.
 * Halving the pace takes effect within two updates, and a serving task that stays over its target has the worker to itself well
 * before the platform counts it as harmed.
 */

const FULL_PERCENT = 100;

/** Time until a change shows in the response times, in ms: the platform takes 100 ms to act and reports the last half second. */
const SETTLING_TIME_MS = 700;

/**
 * Fillers are suspended once a serving task has been over its target for this long, in ms: the platform counts harm from 4 s on.
 */
const SUSPEND_FILLERS_AFTER_MS = 1500;

/** Below this share of the target there is room to raise the pace. */
const HEADROOM_RATIO = 0.85;

/** The pace is raised only after this time with headroom, in ms: interference comes and goes within seconds. */
const RAISE_AFTER_MS = 2000;

const RAISE_STEP_PERCENT = 10;

/** A serving task: the tail of its response times over the last half second, and the target that it should stay below. */
export interface ServingTask {
  tailMs: number;
  targetMs: number;
}

/** Pace of the filler tasks on one worker. Times are on the owner's monotonic clock, in ms. */
export class PaceController {
  #percent = FULL_PERCENT;

  #isActive = false;

  #overTargetSince: number | undefined;

  #headroomSince: number | undefined;

  #changedAt = -Infinity;

  /** Speed of each filler task, in percent of full speed. */
  get percent(): number {
    return this.#percent;
  }

  /** False until the first change: the runner's own default applies. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Takes over the pace that the guard reports as set, if this owner hasn't set one yet. */
  restore(percent: number): void {
    if (this.#isActive || percent >= FULL_PERCENT) return;
    this.#percent = percent;
    this.#isActive = true;
  }

  /** Adjusts the pace to the latest response times of the serving tasks. */
  update(serving: readonly ServingTask[], now: number): void {
    const worstRatio = Math.max(0, ...serving.map(({ tailMs, targetMs }) => tailMs / targetMs));
    if (worstRatio > 1) this.#lower(now);
    else this.#overTargetSince = undefined;
    if (worstRatio < HEADROOM_RATIO) this.#raise(now);
    else this.#headroomSince = undefined;
  }

  #lower(now: number): void {
    this.#overTargetSince ??= now;
    if (this.#percent === 0 || now - this.#changedAt < SETTLING_TIME_MS) return;
    const isSustained = now - this.#overTargetSince >= SUSPEND_FILLERS_AFTER_MS;
    this.#set(isSustained ? 0 : Math.floor(this.#percent / 2), now);
  }

  #raise(now: number): void {
    this.#headroomSince ??= now;
    if (!this.#isActive || this.#percent >= FULL_PERCENT) return;
    if (now - Math.max(this.#headroomSince, this.#changedAt) < RAISE_AFTER_MS) return;
    this.#set(Math.min(FULL_PERCENT, this.#percent + RAISE_STEP_PERCENT), now);
  }

  #set(percent: number, now: number): void {
    this.#percent = percent;
    this.#isActive = true;
    this.#changedAt = now;
  }
}
