/** The jobs of one run: what clients sent, and what the runners need to know of each task. */
import { randomBytes } from 'node:crypto';

const ID_BYTES = 8;

/** All jobs that clients have handed in or tried to. */
export class JobBook {
  #jobs = new Map();

  /** Adds a job. `steps` and further fields as on the wire; `workMs`: how long each task works. */
  add({ steps, workMs, spec = `work for ${workMs} ms`, ...fields }) {
    const id = randomBytes(ID_BYTES).toString('hex');
    const job = { id, workMs, body: { spec, steps, ...fields } };
    this.#jobs.set(id, job);
    return job;
  }

  get(id) {
    return this.#jobs.get(id);
  }

  /** What a task takes of its runner's room. */
  demandOf(task) {
    const [id, , step] = task.split('.');
    const { cpu = 0, mem_mb: memMb = 0, gpu = 0 } = this.get(id)?.body.steps[step] ?? {};
    return { cpu, mem_mb: memMb, gpu };
  }

  workMsOf(task) {
    return this.get(task.split('.')[0])?.workMs ?? 0;
  }
}
