/**
 * One life of a runner whose runs work, and disturb what serves beside them, at the share that was last set for each. The project's
 * runner model lets them work in full at any share.
 */

/** All of a run's work, and the share at which it works in full, in percent. */
const FULL = 100;

/** How often the work of the runs is counted, in ms. */
const STEP_MS = 20;

/** From a call that sets a share until it applies, in ms: `pace_ms`. */
const PACE_MS = 100;

/** The tail latency that a runner reports is that of this time, in ms. */
const LATENCY_WINDOW_MS = 500;

/** A run's script stands in its job's spec: `workMs`, or `servesMs` of a task that lasts, and `disturbsMs`. */
export class PacedLife {
  id;

  #bornAt = performance.now();

  #holdMaxMs;

  #observer;

  #running = new Map();

  #barred = new Map();

  #finished = [];

  /** How much the runs disturbed a serving task at each step of the window, in ms. */
  #disturbances = [];

  #ends = 0;

  #term = 0;

  #deadlineMs = 0;

  #leaseTimer;

  #workTimer;

  #wakers = new Set();

  constructor({ id, holdMaxMs, observer }) {
    this.id = id;
    this.#holdMaxMs = holdMaxMs;
    this.#observer = observer;
    this.#workTimer = setInterval(() => this.#step(), STEP_MS);
  }

  /** The runner's own steady clock, in ms. */
  get clockMs() {
    return Math.floor(performance.now() - this.#bornAt) + 1;
  }

  running() {
    const disturbanceMs = mean(this.#disturbances);
    return [...this.#running.values()].map(({ task, run, script, workedMs }) => ({
      task,
      run,
      checkpoint: '',
      percent: percentOf(script, workedMs),
      load: script.servesMs === undefined ? 0 : Math.round(script.servesMs + disturbanceMs),
    }));
  }

  finished() {
    return this.#finished;
  }

  start({ task, run, spec, deadlineMs, term }) {
    if (!this.#admit(term)) return 'fence';
    if (deadlineMs < this.clockMs) return 'late';
    const known = this.#running.get(task);
    if (known?.run === run) return 'ok';
    this.#extend(deadlineMs);
    if (known !== undefined || run <= (this.#barred.get(task) ?? 0)) return 'old';
    const script = JSON.parse(spec);
    const begun = { task, run, script, pace: FULL, workedMs: 0, at: performance.now() };
    this.#running.set(task, begun);
    this.#observer.onStart(this.#observed(begun));
    return 'ok';
  }

  /** Stops a run, or bars one that isn't there. */
  stop({ task, run, term }) {
    if (!this.#admit(term)) return 'fence';
    const known = this.#running.get(task);
    if (known?.run === run) this.#end(known, 'stopped');
    this.#bar(task, run);
    return 'ok';
  }

  /** Lets a run work, and disturb, at this share, a little later. */
  pace({ task, run, percent, term }) {
    if (!this.#admit(term)) return 'fence';
    const known = this.#running.get(task);
    if (known?.run !== run) return 'old';
    setTimeout(() => {
      this.#work();
      known.pace = percent;
    }, PACE_MS);
    return 'ok';
  }

  /** Renews the lease and drops confirmed ends. */
  hold({ term, confirmed, deadlineMs }) {
    if (!this.#admit(term)) return 'fence';
    this.#finished = this.#finished.filter(({ number }) => number > confirmed);
    if (deadlineMs !== undefined && deadlineMs >= this.clockMs) this.#extend(deadlineMs);
    return 'ok';
  }

  /** Waits for an end, at most this long, in ms. */
  async ended(waitMs) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#wakers.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** The life ends: nothing runs any more, nothing is listed. */
  crash() {
    clearTimeout(this.#leaseTimer);
    clearInterval(this.#workTimer);
    this.#running.forEach((each) => this.#observer.onEnd(this.#observed(each), 'crashed'));
    this.#running.clear();
    this.#wake();
  }

  #admit(term) {
    if (term < this.#term) return false;
    this.#term = term;
    return true;
  }

  #extend(deadlineMs) {
    const bounded = Math.min(deadlineMs, this.clockMs + this.#holdMaxMs);
    this.#deadlineMs = Math.max(this.#deadlineMs, bounded);
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => this.#lapse(), this.#deadlineMs - this.clockMs);
  }

  #lapse() {
    this.#observer.onLapse(this.id);
    [...this.#running.values()].forEach((each) => this.#end(each, 'lapsed'));
  }

  #disturbanceMs() {
    const all = [...this.#running.values()];
    return all.reduce((sum, { script, pace }) => sum + ((script.disturbsMs ?? 0) * pace) / FULL, 0);
  }

  #step() {
    this.#work();
    const kept = this.#disturbances.slice(1 - LATENCY_WINDOW_MS / STEP_MS);
    this.#disturbances = [...kept, this.#disturbanceMs()];
  }

  #work() {
    const now = performance.now();
    [...this.#running.values()].forEach((each) => {
      const { script, pace, at } = each;
      const workedMs = each.workedMs + ((now - at) * pace) / FULL;
      Object.assign(each, { workedMs, at: now });
      if (script.servesMs === undefined && workedMs >= script.workMs) this.#end(each, 'done');
    });
  }

  #end(ended, how) {
    const { task, run } = ended;
    this.#running.delete(task);
    this.#bar(task, run);
    this.#ends += 1;
    this.#finished.push({ number: this.#ends, task, run, how, checkpoint: '' });
    this.#observer.onEnd(this.#observed(ended), how);
    this.#wake();
  }

  #bar(task, run) {
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
  }

  #observed({ task, run }) {
    return { life: this.id, task, run };
  }

  #wake() {
    this.#wakers.forEach((wake) => wake());
    this.#wakers.clear();
  }
}

function mean(values) {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function percentOf({ servesMs, workMs }, workedMs) {
  if (servesMs !== undefined) return FULL;
  return Math.min(FULL, Math.floor((FULL * workedMs) / workMs));
}
