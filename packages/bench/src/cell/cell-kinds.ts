/** Kinds of job that the loads are made of. */
import type { Demand } from '@zincspan/cell';
import type { ArrivalWave, JobKind } from './cell-load.js';
import type { CellShape } from './simulated-cell.js';

/** A customer's workers and kinds of job. */
export interface CellLoad {
  name: string;
  shape: CellShape;
  kinds: readonly JobKind[];
  /** Four accounts of the same size by default. */
  accounts?: readonly string[];
  /** Steady arrivals by default. */
  wave?: ArrivalWave;
  /** Time after the last arrivals in which the cell can finish, in ms. */
  finishMs?: number;
}

const MIXED_SIZES = [1, 2, 4, 8, 8];

/** Long jobs of whole workers that may wait. */
export const LARGE: JobKind = {
  name: 'large',
  priority: 1,
  perSecond: 0.228,
  stretch: 3,
  targetLatencyMs: 1000,
  maxAttempts: 3,
  tasks: { mean: 2, spread: 0.8, max: 9 },
  workMs: { mean: 13_000, spread: 0.3, max: 15_700 },
  milliCores: 26_000,
  memoryMb: 68_000,
  accelerators: MIXED_SIZES,
  estimateError: 0.9,
  uneven: 0.3,
  gang: 0.6,
  oneRack: 0.6,
  saves: 0.45,
  fails: 0.02,
};

/** Short jobs with tight objectives. */
export const URGENT: JobKind = {
  name: 'urgent',
  priority: 0,
  perSecond: 0.327,
  stretch: 1.5,
  targetLatencyMs: 250,
  maxAttempts: 4,
  tasks: { mean: 3.4, spread: 0.8, max: 21 },
  workMs: { mean: 3000, spread: 0.5, max: 9000 },
  milliCores: 7500,
  memoryMb: 15_000,
  accelerators: MIXED_SIZES,
  estimateError: 0.5,
  uneven: 0.3,
  gang: 0.6,
  oneRack: 0.5,
  saves: 0,
  fails: 0.05,
};

/** Many small tasks that may wait longest. */
export const SMALL: JobKind = {
  name: 'small',
  priority: 2,
  perSecond: 0.172,
  stretch: 3,
  targetLatencyMs: 3000,
  maxAttempts: 3,
  tasks: { mean: 9.2, spread: 0.8, max: 55 },
  workMs: { mean: 7500, spread: 0.3, max: 11_000 },
  milliCores: 5600,
  memoryMb: 11_000,
  accelerators: [1],
  estimateError: 0.5,
  uneven: 0.3,
  gang: 0,
  oneRack: 0,
  saves: 0.45,
  fails: 0.005,
};

/** Capacity of a worker with 8 accelerators. */
export function worker(cores: number, memoryGb: number): Demand {
  return { milliCores: cores * 1000, memoryMb: memoryGb * 1024, accelerators: 8 };
}
