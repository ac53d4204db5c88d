/**
 * One life of a runner, by the published protocol: runs under a lease on the runner's own clock, fencing tokens, blocked runs, ends
 * that are listed until they are confirmed, checkpoints.
 */

/** Longest lease, in ms. */
const HOLD_MAX_MS = 6000;

/** A stop takes this long, in ms. */
const STOP_MS = 100;

/** Ends in one listing. */
const LISTED_ENDS = 500;

const CHECKPOINT_DIGITS = 16;

/** One life. `demandOf(task)` and `workMsOf(task)` tell of a task what its job says; `observe(event, details)` is told what happens. */
export class RunnerLife {
  id;

  #capacity;

  #demandOf;

  #workMsOf;

  #checkpointMs;

  #observe;

  #bornAt = performance.now();

  #running = new Map();

  #blocked = new Map();

  #finished = [];

  #watchers = new Set();

  #ends = 0;

  #token = 0;

  #deadlineMs = 0;

  #leaseTimer;

  #isOver = false;

  constructor({ id, capacity, demandOf, workMsOf, checkpointMs = 0, observe = () => {} }) {
    this.id = id;
    this.#capacity = capacity;
    this.#demandOf = demandOf;
    this.#workMsOf = workMsOf;
    this.#checkpointMs = checkpointMs;
    this.#observe = observe;
  }

  /** The runner's steady clock, in ms. */
  get clockMs() {
    return Math.floor(performance.now() - this.#bornAt) + 1;
  }

  get isOver() {
    return this.#isOver;
  }

  /** Tasks that run here, with how long each has run, in ms. */
  running() {
    return [...this.#running.values()].map(({ task, startedAt }) => ({
      task,
      ranMs: performance.now() - startedAt,
    }));
  }

  start({ task, run, spec, deadline_ms: deadlineMs, fencing_token: token = 0, checkpoint = '' }) {
    if (!this.#admit(token)) return 'fence';
    if (deadlineMs < this.clockMs) return 'late';
    const known = this.#running.get(task);
    this.#extend(deadlineMs);
    if (known?.run === run) return 'ok';
    if (known !== undefined || run <= (this.#blocked.get(task) ?? 0)) return 'old';
    if (!this.#hasRoomFor(task)) return 'room';
    this.#begin({ task, run, spec, checkpoint });
    return 'ok';
  }

  stop({ task, run, fencing_token: token = 0 }) {
    if (!this.#admit(token)) return 'fence';
    this.#block(task, run);
    const known = this.#running.get(task);
    if (known?.run === run) setTimeout(() => this.#end(known, 'stopped'), STOP_MS);
    return 'ok';
  }

  hold({ fencing_token: token = 0, last_seen: lastSeen = 0, deadline_ms: deadlineMs }) {
    if (!this.#admit(token)) return 'fence';
    this.#finished
      .filter(({ number }) => number <= lastSeen)
      .forEach(({ task, run, how }) => this.#observe('end confirmed', { task, run, how }));
    this.#finished = this.#finished.filter(({ number }) => number > lastSeen);
    if (deadlineMs !== undefined && deadlineMs >= this.clockMs) this.#extend(deadlineMs);
    return 'ok';
  }

  listing() {
    return {
      clock_ms: this.clockMs,
      running: [...this.#running.values()].map((each) => [
        each.task,
        each.run,
        this.#checkpointOf(each),
        this.#percentOf(each),
        0,
      ]),
      finished: this.#finished
        .slice(0, LISTED_ENDS)
        .map(({ number, task, run, how, saved }) => [number, task, run, how, saved]),
    };
  }

  /** Waits for an end, at most this long, in ms. */
  nextEnd(waitMs) {
    return new Promise((resolve) => {
      let timer;
      const wake = () => {
        clearTimeout(timer);
        this.#watchers.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, waitMs);
      this.#watchers.add(wake);
    });
  }

  /** The life ends, and with it all that runs. */
  crash() {
    this.#isOver = true;
    clearTimeout(this.#leaseTimer);
    this.#running.forEach(({ task, run, timer }) => {
      clearTimeout(timer);
      this.#observe('run crashed', { task, run });
    });
    this.#running.clear();
    this.#wake();
  }

  #admit(token) {
    if (token < this.#token) return false;
    this.#token = token;
    return true;
  }

  #extend(deadlineMs) {
    const bounded = Math.min(deadlineMs, this.clockMs + HOLD_MAX_MS);
    this.#deadlineMs = Math.max(this.#deadlineMs, bounded);
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => this.#lapse(), this.#deadlineMs - this.clockMs);
  }

  #lapse() {
    this.#observe('lease lapsed', {});
    [...this.#running.values()].forEach((each) => this.#end(each, 'lapsed'));
  }

  #hasRoomFor(task) {
    const all = [task, ...this.#running.keys()].map((each) => this.#demandOf(each));
    return Object.entries(this.#capacity).every(
      ([resource, amount]) =>
        all.reduce((sum, demand) => sum + (demand?.[resource] ?? 0), 0) <= amount,
    );
  }

  #begin({ task, run, spec, checkpoint }) {
    const resumedMs = parseInt(checkpoint || '0', 16);
    const running = { task, run, spec, resumedMs, startedAt: performance.now(), timer: undefined };
    this.#running.set(task, running);
    this.#observe('run started', { task, run, checkpoint });
    const remainingMs = Math.max(0, this.#workMsOf(task) - resumedMs);
    running.timer = setTimeout(() => this.#end(running, 'done'), remainingMs);
  }

  #end(each, how) {
    const { task, run, timer } = each;
    if (this.#running.get(task) !== each) return;
    clearTimeout(timer);
    this.#running.delete(task);
    this.#block(task, run);
    this.#ends += 1;
    const saved = this.#checkpointOf(each);
    this.#finished.push({ number: this.#ends, task, run, how, saved });
    this.#observe('run ended', { task, run, how });
    this.#wake();
  }

  #block(task, run) {
    this.#blocked.set(task, Math.max(run, this.#blocked.get(task) ?? 0));
  }

  #checkpointOf(each) {
    if (this.#checkpointMs === 0) return '';
    const savedMs = Math.floor(workedMs(each) / this.#checkpointMs) * this.#checkpointMs;
    return savedMs === 0 ? '' : savedMs.toString(16).padStart(CHECKPOINT_DIGITS, '0');
  }

  #percentOf(each) {
    return Math.min(100, Math.floor((100 * workedMs(each)) / this.#workMsOf(each.task)));
  }

  #wake() {
    [...this.#watchers].forEach((wake) => wake());
  }
}

/** Work that is done, with what was saved before this run, in ms. */
function workedMs({ resumedMs, startedAt }) {
  return resumedMs + performance.now() - startedAt;
}
