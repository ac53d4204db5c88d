/** What a placing pass sees and what it decides. */
import type { AdviceBook } from '../advice/advice-book.js';
import type { AdviceQuestion } from '../advice/advice-desk.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import type { Victim } from '../placing/preemption.js';
import type { TaskPlacement, AvailableWorker } from '../placing/available-worker.js';
import type { Assignment } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { QueueMeans } from './standings.js';
import type { WantedGroup } from './wanted-groups.js';

/** Runs that may be stopped for somebody else, with what is needed to choose among them. */
export interface Occupant extends Victim {
  job: OwnedJob;
  assignments: readonly Assignment[];
  /** Its stop was ordered: its room will come. */
  stopping: boolean;
  /** Within its account's guarantee: never stopped for others. */
  isProtected: boolean;
}

/** Bounds within which claims are met, in ms. */
export interface ReclaimBounds {
  /** From a job's acceptance to the start of its first step. */
  reclaimMs: number;
  /** A runner takes up to this long to stop a run. */
  stopMs: number;
}

/** What a pass sees. */
export interface PassInput {
  jobs: readonly OwnedJob[];
  claims: ReadonlySet<OwnedJob>;
  rooms: readonly AvailableWorker[];
  /** Nothing starts on these for now. */
  evacuatedRacks: ReadonlySet<string>;
  occupants: readonly Occupant[];
  means: QueueMeans;
  durations: DurationEstimator;
  bounds: ReclaimBounds;
  /** Monotonic, in ms. */
  now: number;
  /** Time of day, in ms. */
  wallMs: number;
  advice: AdviceBook;
  /** All workers that will be heard of have been: nobody is stopped for room that another worker may have. */
  knowsWorkers: boolean;
}

/** A group that is to start. */
export interface Start {
  wanted: WantedGroup;
  placed: TaskPlacement[];
}

/** An occupant that is to be stopped, and the job that it makes room for. */
export interface Stop {
  occupant: Occupant;
  forJob: OwnedJob;
}

/** What a pass decided. */
export interface PassResult {
  starts: Start[];
  stops: Stop[];
  /** What the placement advisor is to be asked, the most urgent first. */
  questions: AdviceQuestion[];
}
