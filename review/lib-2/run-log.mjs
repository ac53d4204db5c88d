/** What the runners did: ends of runs, leases that lapsed, ends that were taken note of, starts after an end. */
export class RunLog {
  /** The first run of each task that ended `done`. */
  #done = new Map();

  #lapsedAt = new Map();

  /** Tasks whose end `done` was taken note of, the lease of its runner not having lapsed meanwhile. */
  #noted = new Set();

  #startsAfter = [];

  add(event, { task, run, how, runner }) {
    const done = this.#done.get(task);
    const now = performance.now();
    if (event === 'lease lapsed') this.#lapsedAt.set(runner, now);
    if (event === 'run started' && done !== undefined) this.#startsAfter.push({ task, run });
    if (how !== 'done') return;
    if (event === 'run ended' && done === undefined) this.#done.set(task, { run, at: now });
    if (event !== 'end confirmed' || done?.run !== run) return;
    if ((this.#lapsedAt.get(runner) ?? -Infinity) < done.at) this.#noted.add(task);
  }

  /** Starts of tasks after an end `done` that was taken note of, each as a text. */
  startsAfterDone() {
    return this.#startsAfter
      .filter(({ task }) => this.#noted.has(task))
      .map(({ task, run }) => {
        const first = this.#done.get(task).run;
        return `TWICE: run ${run} of ${task} began after run ${first} had ended done, which was taken note of`;
      });
  }
}
