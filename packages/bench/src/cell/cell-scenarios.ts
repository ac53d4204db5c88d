/** Loads of customers as they describe them, and what goes wrong on their days. */
import { LARGE, SMALL, URGENT, worker, type CellLoad } from './cell-kinds.js';
import type { Burst } from './cell-load.js';
import { HARD_LOADS } from './hard-loads.js';
import type { WorkerFault } from './simulated-worker.js';

/** What happens on a day. */
export interface CellScenario {
  name: string;
  bursts: readonly Burst[];
  /** Each strikes so many workers, `times` times (once by default), every `everyMs`. */
  faults: readonly (WorkerFault & { workers: number; times?: number; everyMs?: number })[];
}

/** Jobs come for this long, in ms. */
export const DAY_MS = 34_000;

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
  ...HARD_LOADS,
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
    name: 'burst of all',
    bursts: ['large', 'urgent', 'small'].map((kind) => ({
      kind,
      factor: 2.7,
      fromMs: 8000,
      forMs: 5000,
    })),
  },
  {
    ...CALM,
    name: 'several bursts',
    bursts: [
      { kind: 'small', factor: 3.5, fromMs: 3000, forMs: 6000 },
      { kind: 'urgent', factor: 3.5, fromMs: 8000, forMs: 6000 },
      ...['large', 'urgent', 'small'].map((kind) => ({
        kind,
        factor: 2.7,
        fromMs: 19_000,
        forMs: 6000,
      })),
    ],
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
  {
    ...CALM,
    name: 'restarting workers',
    faults: [
      { kind: 'leaving', workers: 2, fromMs: 6000, forMs: 500, factor: 1, times: 4, everyMs: 5000 },
    ],
  },
];
