/** The jobs of a soak run, drawn from its seed: small graphs of steps for emulated runners. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { encodeFleetJob } from '@zincspan/stand-ins';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Failed runs after which a job has failed, as the soak's configuration says. */
export const MAX_ATTEMPTS = 3;

/** Runs of a task that fail: some tasks recover, some never do. */
const FAIL_RUNS = [0, 0, 0, 0, 0, 1, 2, 9];

const WORK_MS = { min: 50, max: 2500 };
const MOST_TASKS = 4;
const CHECKPOINT_MS = 200;
const ALL_RUNS = 99;
const ONE_IN_TWO = 2;
const ONE_IN_SIX = 6;

/** What callers send, and what the checks need to know of it. */
export interface SoakJob {
  id: string;
  spec: string;
  body: object;
  /** Tasks of each step. */
  tasks: number[];
  isGang: boolean;
  failRuns: number;
  /** Its first task crashes each runner that starts it. */
  crashes: boolean;
  /** Its caller cancels it some time after its acceptance. */
  cancels: boolean;
}

function draw(rng: RandomGenerator, min: number, max: number): number {
  return uniformInt(rng, min, max);
}

/** The next job. `number` makes its id; each so many crash their runners (0: none), whatever is drawn. */
export function drawJob(rng: RandomGenerator, number: number, crashEach: number): SoakJob {
  const isGang = draw(rng, 1, ONE_IN_TWO) === 1;
  const checkpointing = draw(rng, 1, ONE_IN_TWO) === 1;
  const steps = draw(rng, 1, 2);
  const tasks = Array.from({ length: steps }, () => draw(rng, 1, MOST_TASKS));
  const failRuns = FAIL_RUNS[draw(rng, 0, FAIL_RUNS.length - 1)] ?? 0;
  const workMs = draw(rng, WORK_MS.min, WORK_MS.max);
  const crashes = crashEach > 0 && number % crashEach === 0;
  const gangs = isGang ? Object.fromEntries(tasks.map((count, step) => [step, count])) : {};
  const spec = JSON.stringify({
    number,
    workMs,
    failRuns,
    gangs,
    checkpointMs: checkpointing ? CHECKPOINT_MS : 0,
    ...(crashes ? { crashRuns: ALL_RUNS, crashTasks: [0] } : {}),
  });
  return {
    id: number.toString(16).padStart(16, '0'),
    spec,
    body: encodeFleetJob(
      spec,
      tasks.map((count, step) => ({
        tasks: count,
        accelerators: draw(rng, 1, 4),
        estimateMs: workMs,
        gang: isGang,
        checkpointing,
        after: step > 0 ? [step - 1] : [],
      })),
    ),
    tasks,
    isGang,
    failRuns,
    crashes,
    cancels: draw(rng, 1, ONE_IN_SIX) === 1,
  };
}
