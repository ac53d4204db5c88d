/** What ran where, as the runners saw it. */

/** Observer of runners that counts runs by job. */
export class Runs {
  #running = new Map();

  #started = new Map();

  #ends = new Map();

  constructor({ record, isLogged = () => true }) {
    this.observer = {
      onStart: ({ life, task, run }) => {
        add(this.#running, jobOf(task), 1);
        add(this.#started, jobOf(task), 1);
        if (isLogged(task)) record(`${life} starts ${task} run ${run}`);
      },
      onEnd: ({ life, task, run }, how) => {
        add(this.#running, jobOf(task), -1);
        add(this.#ends, `${jobOf(task)} ${how}`, 1);
        if (isLogged(task)) record(`${life} ends ${task} run ${run}: ${how}`);
      },
    };
  }

  /** Tasks of a job at work now. */
  running(job) {
    return this.#running.get(job) ?? 0;
  }

  /** Starts of a job's tasks so far. */
  started(job) {
    return this.#started.get(job) ?? 0;
  }

  /** Runs of a job that ended in this way. */
  ends(job, how) {
    return this.#ends.get(`${job} ${how}`) ?? 0;
  }
}

function jobOf(task) {
  return task.slice(0, task.indexOf('.'));
}

function add(counts, key, amount) {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}
