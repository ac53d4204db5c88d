/** Loads that the cell served badly (docs/design/hard-load.md): ten accounts, wide jobs of small tasks among gangs of whole workers. */
import { LARGE, SMALL, URGENT, worker, type CellLoad } from './cell-kinds.js';

/** Ten accounts whose jobs come in proportion to 6, 4, 3, 2, 2, 1, 1, 1, 1 and 1. */
const TEN_ACCOUNTS = [6, 4, 3, 2, 2, 1, 1, 1, 1, 1].flatMap((weight, index) =>
  Array.from({ length: weight }, () => `account-${index + 1}`),
);

/** Share of the small queue's jobs with two steps. */
const SECOND_STEP = 0.3;

/** One worker in three takes 1.3 times as long. */
const SLOWER_EVERY = 3;

const FAILURE_DOMAINS = 3;

/** Time for two steps with inherently long tasks on slower workers, in ms. */
const FINISH_MS = 300_000;

/** Gangs only, with the spread of the other loads. */
const GANGS = { gang: 1, oneRack: 0.5, uneven: 0.15 };

/** Both of them. */
export const HARD_LOADS: readonly CellLoad[] = [
  {
    name: 'top-ups',
    shape: {
      workers: 55,
      workersPerRack: 9,
      capacity: worker(128, 512),
      slowerEvery: SLOWER_EVERY,
      failureDomains: FAILURE_DOMAINS,
      reclaim: { reclaimMs: 2700, stopMs: 200 },
    },
    accounts: TEN_ACCOUNTS,
    wave: { amplitude: 0.55, periodMs: 17_000 },
    finishMs: FINISH_MS,
    kinds: [
      {
        ...LARGE,
        ...GANGS,
        perSecond: 0.57,
        tasks: { mean: 6, spread: 0.8, max: 34 },
        workMs: { mean: 8300, spread: 0.3, max: 15_700 },
        milliCores: 52_000,
        memoryMb: 210 * 1024,
        estimateError: 0.2,
        long: 0.03,
      },
      {
        ...URGENT,
        ...GANGS,
        perSecond: 1.07,
        targetLatencyMs: 300,
        tasks: { mean: 5, spread: 0.8, max: 32 },
        workMs: { mean: 3000, spread: 0.5, max: 9000 },
        milliCores: 15_000,
        memoryMb: 61 * 1024,
        long: 0.03,
      },
      {
        ...SMALL,
        perSecond: 0.16,
        tasks: { mean: 39, spread: 0.8, max: 230 },
        workMs: { mean: 11_600, spread: 0.3, max: 15_700 },
        milliCores: 11_000,
        memoryMb: 59 * 1024,
        estimateError: 0.2,
        secondStep: SECOND_STEP,
        long: 0.03,
      },
    ],
  },
  {
    name: 'proofs',
    shape: {
      workers: 76,
      workersPerRack: 8,
      capacity: worker(32, 128),
      slowerEvery: SLOWER_EVERY,
      failureDomains: FAILURE_DOMAINS,
      reclaim: { reclaimMs: 2700, stopMs: 200 },
    },
    accounts: TEN_ACCOUNTS,
    wave: { amplitude: 0.15, periodMs: 11_000 },
    finishMs: FINISH_MS,
    kinds: [
      {
        ...LARGE,
        ...GANGS,
        perSecond: 0.53,
        tasks: { mean: 8, spread: 0.8, max: 47 },
        workMs: { mean: 9700, spread: 0.3, max: 15_700 },
        milliCores: 13_000,
        memoryMb: 38 * 1024,
        estimateError: 0.5,
      },
      {
        ...URGENT,
        ...GANGS,
        perSecond: 1.36,
        tasks: { mean: 5, spread: 0.8, max: 32 },
        workMs: { mean: 3600, spread: 0.5, max: 11_400 },
        milliCores: 3700,
        memoryMb: 20 * 1024,
      },
      {
        ...SMALL,
        perSecond: 0.31,
        tasks: { mean: 39, spread: 0.8, max: 230 },
        workMs: { mean: 8700, spread: 0.3, max: 15_700 },
        milliCores: 2800,
        memoryMb: Math.round(8.2 * 1024),
        secondStep: SECOND_STEP,
      },
    ],
  },
];
