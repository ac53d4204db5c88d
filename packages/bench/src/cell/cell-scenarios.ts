/** Loads of customers as they describe them, and what goes wrong on their days. */
import type { Demand } from '@zincspan/cell';
import type { Burst, JobKind } from './cell-load.js';
import type { CellShape } from './simulated-cell.js';
import type { WorkerFault } from './simulated-worker.js';

/** A customer's workers and kinds of job. */
export interface CellLoad {
  name: string;
  shape: CellShape;
  kinds: readonly JobKind[];
}

/** What happens on a day. */
export interface CellScenario {
  name: string;
  bursts: readonly Burst[];
  /** Each strikes so many workers. */
  faults: readonly (WorkerFault & { workers: number })[];
}

/** Jobs come for this long, in ms. */
export const DAY_MS = 34_000;

const MIXED_SIZES = [1, 2, 4, 8, 8];

/** Long jobs of whole workers that may wait. */
const LARGE: JobKind = {
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
const URGENT: JobKind = {
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
const SMALL: JobKind = {
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

function worker(cores: number, memoryGb: number): Demand {
  return { milliCores: cores * 1000, memoryMb: memoryGb * 1024, accelerators: 8 };
}

/** All of them. */
export const CELL_LOADS: readonly CellLoad[] = [
  {
    name: 'ledgers',
    shape: {
      workers: 11,
      workersPerRack: 3,
      capacity: worker(64, 128),
      reclaim: { reclaimMs: 2900, stopMs: 400 },
    },
    kinds: [LARGE, URGENT, SMALL],
  },
  {
    name: 'rentals',
    shape: {
      workers: 11,
      workersPerRack: 3,
      capacity: worker(64, 256),
      reclaim: { reclaimMs: 2700, stopMs: 200 },
    },
    kinds: [LARGE, { ...URGENT, perSecond: 0.209 }, SMALL],
  },
  {
    name: 'registry',
    shape: {
      workers: 11,
      workersPerRack: 3,
      capacity: worker(32, 64),
      reclaim: { reclaimMs: 3400, stopMs: 900 },
    },
    kinds: [
      { ...LARGE, perSecond: 0.255, milliCores: 13_000, memoryMb: 34_000 },
      { ...URGENT, perSecond: 0.333, milliCores: 3700, memoryMb: 7500 },
      { ...SMALL, perSecond: 0.193, milliCores: 2800, memoryMb: 5500 },
    ],
  },
  {
    name: 'hundreds',
    shape: {
      workers: 160,
      workersPerRack: 8,
      capacity: worker(64, 256),
      reclaim: { reclaimMs: 2900, stopMs: 400 },
    },
    kinds: [
      { ...LARGE, perSecond: 0.888, tasks: { mean: 13, spread: 0.8, max: 76 } },
      { ...URGENT, perSecond: 3.55, tasks: { mean: 5.3, spread: 0.8, max: 32 } },
      { ...SMALL, perSecond: 0.559, tasks: { mean: 38, spread: 0.8, max: 230 } },
    ],
  },
  {
    name: 'studios',
    shape: {
      workers: 77,
      workersPerRack: 9,
      capacity: worker(32, 128),
      reclaim: { reclaimMs: 2700, stopMs: 200 },
    },
    kinds: [
      {
        ...LARGE,
        perSecond: 0.264,
        maxAttempts: 4,
        tasks: { mean: 8, spread: 0.8, max: 48 },
        workMs: { mean: 15_700, spread: 0.3, max: 15_700 },
        milliCores: 13_000,
        memoryMb: 38_000,
        estimateError: 0.5,
        uneven: 0.15,
        gang: 1,
        fails: 0.05,
      },
      {
        ...URGENT,
        perSecond: 1.49,
        maxAttempts: 3,
        tasks: { mean: 5.4, spread: 0.8, max: 32 },
        workMs: { mean: 3570, spread: 0.5, max: 11_400 },
        milliCores: 3700,
        estimateError: 0.9,
        gang: 1,
        oneRack: 0.8,
      },
      {
        ...SMALL,
        perSecond: 0.249,
        tasks: { mean: 39, spread: 0.8, max: 230 },
        workMs: { mean: 8700, spread: 0.3, max: 15_700 },
        milliCores: 2800,
        estimateError: 0.9,
        fails: 0.05,
      },
    ],
  },
];

const CALM: CellScenario = { name: 'ordinary day', bursts: [], faults: [] };

/** What days bring, one thing at a time. */
export const CELL_SCENARIOS: readonly CellScenario[] = [
  CALM,
  {
    ...CALM,
    name: 'burst of urgent',
    bursts: [{ kind: 'urgent', factor: 2.3, fromMs: 8000, forMs: 6000 }],
  },
  {
    ...CALM,
    name: 'burst of large',
    bursts: [{ kind: 'large', factor: 2.9, fromMs: 8000, forMs: 3600 }],
  },
  {
    ...CALM,
    name: 'crowded day',
    bursts: ['large', 'urgent', 'small'].map((kind) => ({
      kind,
      factor: 1.6,
      fromMs: 0,
      forMs: DAY_MS,
    })),
  },
  {
    ...CALM,
    name: 'slow workers',
    faults: [{ kind: 'slow', workers: 2, fromMs: 8000, forMs: 7000, factor: 6.5 }],
  },
  {
    ...CALM,
    name: 'tasks stand still',
    faults: [{ kind: 'still', workers: 1, fromMs: 8000, forMs: 5500, factor: 1 }],
  },
  {
    ...CALM,
    name: 'failing workers',
    faults: [{ kind: 'failing', workers: 1, fromMs: 8000, forMs: 6500, factor: 1 }],
  },
  {
    ...CALM,
    name: 'leaving workers',
    faults: [{ kind: 'leaving', workers: 1, fromMs: 8000, forMs: 3000, factor: 1 }],
  },
];
