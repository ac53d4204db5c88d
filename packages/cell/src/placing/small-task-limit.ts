/** How many tasks of a wide job of small tasks run at once, and whether it may take wholly free workers, by its objective. */

/** Share of the objective within which a job in several waves is planned to end: estimates and runs vary. */
const PLANNED_SHARE = 0.7;

/** Progress and times of a step with small tasks. Times in ms. */
export interface SmallTaskProgress {
  /** Tasks that wait for a start. */
  waiting: number;
  running: number;
  /** Expected mean time until the running ones end. */
  runningMs: number;
  /** Expected duration of a task. */
  taskMs: number;
  /** Age of the job, and its age when the step became ready. */
  ageMs: number;
  readyAgeMs: number;
  objectiveMs: number;
  /** Expected time of the steps that follow this one. */
  laterMs: number;
}

/** Number of tasks that have to run at once for the step to end within the planned share of its objective. */
export function tasksNeededAtOnce(step: SmallTaskProgress): number {
  const availableMs = PLANNED_SHARE * step.objectiveMs - step.readyAgeMs - step.laterMs;
  const waves = Math.max(1, Math.floor(availableMs / Math.max(1, step.taskMs)));
  return Math.ceil((step.waiting + step.running) / waves);
}

/** Time that the step can still wait without missing its objective, in ms: negative if it is late. */
export function slackMs(step: SmallTaskProgress): number {
  const waves = Math.ceil(step.waiting / Math.max(1, tasksNeededAtOnce(step)));
  const remainingMs = step.runningMs + waves * step.taskMs + step.laterMs;
  return step.objectiveMs - step.ageMs - remainingMs;
}

/** True if the step has to take what it can get: it can't wait for as long as one of its tasks takes. */
export function isSlackUsedUp(step: SmallTaskProgress): boolean {
  return slackMs(step) < step.taskMs;
}
