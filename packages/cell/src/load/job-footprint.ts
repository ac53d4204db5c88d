/** What a job takes of the workers of its service: work, width, and whole workers. */
import { criticalPathMs, type Demand, type Step } from '../job/submission.js';
import { reservedDemand } from '../owner/urgency-factors.js';
import { dominantShare } from '../placing/fleet-profile.js';

/** Size classes of demands, in the order of the summary's `sizes`. */
export const SIZE_CLASSES = ['single', 'part', 'whole'] as const;
export type SizeClass = (typeof SIZE_CLASSES)[number];

/** Tasks of one step that haven't started. */
export interface OpenTasks {
  step: Step;
  count: number;
}

/** Work of waiting tasks. Widths in workers. */
export interface Footprint {
  /** Worker-ms. */
  work: number;
  /** Widest step. */
  width: number;
  /** Tasks that start together and need a worker each. */
  wholeWorkers: number;
  /** Size of its largest tasks. */
  size: SizeClass;
}

/** Footprint of a new job. */
export interface NewJobFootprint extends Footprint {
  /** Least capacity with which its first tasks can start, in workers. */
  startWidth: number;
  /** Capacity with which all tasks that wait for no other step can start, in workers. */
  readyWidth: number;
  criticalPathMs: number;
}

/** Workers that a task takes, as tasks of its kind fill workers: 0.5 for one that needs 0.41 of a worker, as two of them fit. */
export function packedShare(demand: Demand, typical: Demand): number {
  const share = dominantShare(demand, typical);
  if (share <= 0) return 0;
  return share >= 1 ? 1 : 1 / Math.floor(1 / share);
}

/** Footprint of tasks on workers of this typical capacity. */
export function footprintOf(
  tasks: readonly OpenTasks[],
  { typical, expectedMs }: { typical: Demand; expectedMs: (step: Step) => number },
): Footprint {
  const footprint: Footprint = { work: 0, width: 0, wholeWorkers: 0, size: 'single' };
  tasks.forEach(({ step, count }) => {
    if (count === 0) return;
    const share = packedShare(reservedDemand(step), typical);
    const isWhole = share > 0.5;
    footprint.work += count * share * expectedMs(step);
    footprint.width = Math.max(footprint.width, count * share);
    if (isWhole) {
      footprint.wholeWorkers = Math.max(footprint.wholeWorkers, step.gang ? count : 1);
      footprint.size = 'whole';
    } else if (step.demand.accelerators > 1 && footprint.size === 'single') {
      footprint.size = 'part';
    }
  });
  return footprint;
}

/** Footprint of a job none of whose tasks has started. */
export function newJobFootprint(
  steps: readonly Step[],
  options: { typical: Demand; expectedMs: (step: Step) => number },
): NewJobFootprint {
  const first = steps.filter(({ after }) => after.length === 0);
  const shareOf = (step: Step): number => packedShare(reservedDemand(step), options.typical);
  const startWidths = first.map((step) => (step.gang ? step.tasks : 1) * shareOf(step));
  return {
    ...footprintOf(
      steps.map((step) => ({ step, count: step.tasks })),
      options,
    ),
    startWidth: Math.min(...startWidths),
    readyWidth: first.reduce((sum, step) => sum + step.tasks * shareOf(step), 0),
    criticalPathMs: criticalPathMs(steps, options.expectedMs),
  };
}
