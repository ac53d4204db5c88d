/** Input and result of a placement pass. */
import type { ApprovalCache } from '../advice/approval-cache.js';
import type { ApprovalRequest } from '../advice/approval-requester.js';
import type { CellPolicy } from '../config/cell-policy.js';
import type { FleetProfile } from '../placing/fleet-profile.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import type { HeldCapacity } from '../placing/capacity-ledger.js';
import type { Victim } from '../placing/preemption.js';
import type { TaskPlacement, AvailableWorker } from '../placing/available-worker.js';
import type { AccountShares } from '../share/account-shares.js';
import type { Assignment } from '../worker/worker.js';
import type { WholeWorkerDemand } from '../placing/whole-worker-demand.js';
import type { FitSummary } from './capacity-fit.js';
import type { OwnedJob } from './owned-job.js';
import type { QueueMeanWork } from './urgency-factors.js';
import type { PendingGroup } from './pending-groups.js';
import type { StopRecords } from './stop-records.js';

/** A single run or a whole gang, with what is needed to choose which units to preempt. */
export interface RunningUnit extends Victim {
  job: OwnedJob;
  assignments: readonly Assignment[];
  /** Already being stopped: its capacity will become free. */
  stopping: boolean;
  /** Never preempted: covered by its account's guarantee, or a long-running task that its step cannot spare. */
  isProtected: boolean;
}

/** Time limits for starting guaranteed jobs, in ms. */
export interface ReclaimBounds {
  /** From a job's acceptance to the start of its first step. */
  reclaimMs: number;
  /** Longest time that a runner takes to stop a run. */
  stopMs: number;
}

/** State of the cell that a pass decides on. */
export interface PlacementInput {
  jobs: readonly OwnedJob[];
  guaranteedJobs: ReadonlySet<OwnedJob>;
  workers: readonly AvailableWorker[];
  profile: FleetProfile;
  policy: CellPolicy;
  /** Recent demand for whole workers; none by default. */
  wholeWorkers?: WholeWorkerDemand;
  /** Absent if fair shares are off. */
  shares?: AccountShares | undefined;
  /** Racks of evacuated failure domains: nothing starts there for now. */
  evacuatedRacks: ReadonlySet<string>;
  runningUnits: readonly RunningUnit[];
  queueMeans: QueueMeanWork;
  durations: DurationEstimator;
  bounds: ReclaimBounds;
  /** Monotonic, in ms. */
  now: number;
  /** Time of day, in ms. */
  wallMs: number;
  approvals: ApprovalCache;
  /** False while live workers may not have contacted the owner yet: nothing is preempted, as they may have free capacity. */
  allWorkersKnown: boolean;
  /** Absent: stops aren't weighed by value. */
  stopRecords?: StopRecords | undefined;
}

/** A group to be started, and where. */
export interface PlannedStart {
  pending: PendingGroup;
  placements: TaskPlacement[];
}

/** A stop for capacity that was weighed by value, made or not. Values in the unit of `jobValue`. */
export interface WeighedStop {
  pending: PendingGroup;
  isMade: boolean;
  gain: number;
  cost: number;
  /** Until enough capacity would become free by itself, in ms; Infinity: never. */
  waitMs: number;
  victims: readonly RunningUnit[];
  /** Capacity that the group gets, if the stop is made. */
  held: readonly HeldCapacity[];
}

/** A unit to be stopped, and the job that gets its capacity. */
export interface Preemption {
  unit: RunningUnit;
  forJob: OwnedJob;
}

/** Decisions of a pass. */
export interface PlacementResult {
  starts: PlannedStart[];
  preemptions: Preemption[];
  /** Empty unless stops are weighed by value. */
  weighedStops: readonly WeighedStop[];
  /** Requests to the placement advisor, the most urgent first. */
  approvalRequests: ApprovalRequest[];
  /** Undefined if `capacityFit` is off. */
  fit: FitSummary | undefined;
}
