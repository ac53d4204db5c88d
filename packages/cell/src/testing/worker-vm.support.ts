/** A worker of a test's cell: its emulated runner, life after life, and the guard beside it. */
import { quietContext } from '@zincspan/core';
import type { RunnerModel } from '@zincspan/stand-ins';
import { GuardApp } from '../guard/guard-app.js';
import type { RunnerHeartbeat } from '../guard/runner-api.js';
import type { MemoryRowStore } from './memory-row-store.support.js';
import type { MemoryRunner } from './memory-runner.support.js';

/** Shared by all processes of a test. */
export const LINK_KEY = '0'.repeat(64);

/** Lease of tests: longer than an owner takes to be replaced, as the real one is. */
export const TEST_LEASE_MS = 4000;

/** One of them. */
export interface WorkerVm {
  id: string;
  guard: GuardApp;
  runner: MemoryRunner;
  store: MemoryRowStore;
  lives: RunnerModel[];
  beat: NodeJS.Timeout;
  /** Its runner leaves after at least this long, in ms. */
  remainingMs: number | undefined;
  /** Heartbeats of its runner don't come. */
  mute: boolean;
  /** Heartbeats of its runner's present life. */
  beats: number;
  /** What its runner says of its room; the emulated runner takes more all the same. */
  accelerators: number;
  failureDomain: string;
}

/** The runner reports to its guard. */
export function sendHeartbeat(worker: WorkerVm, rack = 'r1'): void {
  const { life, dark } = worker.runner;
  if (life === undefined || dark || worker.mute) return;
  Object.assign(worker, { beats: worker.beats + 1 });
  worker.guard.noteHeartbeat(reportOf(worker, life, rack));
}

/** What a life of the runner says of itself. */
export function reportOf(
  { remainingMs, accelerators, beats, failureDomain }: WorkerVm,
  { id, bornMs }: RunnerModel,
  rack = 'r1',
): RunnerHeartbeat {
  return {
    id,
    address: '127.0.0.1:1',
    service: 'render',
    failureDomain,
    labels: ['a', rack],
    capacity: { milliCores: 64_000, memoryMb: 64_000, accelerators },
    draining: remainingMs !== undefined,
    bornMs,
    ...(remainingMs === undefined ? {} : { remainingMs }),
    sequence: beats,
  };
}

/** The guard beside it is lost, and starts anew at once. */
export function restartGuard(worker: WorkerVm): void {
  worker.guard.stop();
  Object.assign(worker, { guard: startGuard(worker) });
}

/** Starts the guard beside it. */
export function startGuard({
  id,
  store,
  runner,
}: Pick<WorkerVm, 'id' | 'store' | 'runner'>): GuardApp {
  const ctx = quietContext({ id, role: 'guard' });
  const guard = new GuardApp({ ctx, store, runner, linkKey: LINK_KEY, maxLeaseMs: TEST_LEASE_MS });
  guard.start();
  return guard;
}
