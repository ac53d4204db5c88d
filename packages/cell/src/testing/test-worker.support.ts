/** A worker of a test's cell: the successive incarnations of its emulated runner, and the guard beside it. */
import { quietContext } from '@zincspan/core';
import type { RunnerModel } from '@zincspan/stand-ins';
import { GuardApp } from '../guard/guard-app.js';
import type { RunnerHeartbeat } from '../guard/runner-api.js';
import type { MemoryRowStore } from './memory-row-store.support.js';
import type { MemoryRunner } from './memory-runner.support.js';

/** Link key of all processes of a test. */
export const LINK_KEY = '0'.repeat(64);

/** Lease in tests: longer than it takes to replace an owner, like the real one. */
export const TEST_LEASE_MS = 4000;

/** A worker with its processes and their emulated state. */
export interface TestWorker {
  id: string;
  guard: GuardApp;
  runner: MemoryRunner;
  store: MemoryRowStore;
  lives: RunnerModel[];
  heartbeatTimer: NodeJS.Timeout;
  /** Minimum time until its runner leaves, in ms; undefined if it isn't draining. */
  remainingMs: number | undefined;
  /** Its runner sends no heartbeats. */
  isHeartbeatMuted: boolean;
  /** Number of heartbeats of its runner's current incarnation. */
  beats: number;
  /** Accelerators that its runner reports; the emulated runner does not enforce this limit. */
  accelerators: number;
  failureDomain: string;
}

/** Sends a heartbeat of the runner to its guard. */
export function sendHeartbeat(worker: TestWorker, rack = 'r1'): void {
  const { life, dark } = worker.runner;
  if (life === undefined || dark || worker.isHeartbeatMuted) return;
  Object.assign(worker, { beats: worker.beats + 1 });
  worker.guard.noteHeartbeat(reportOf(worker, life, rack));
}

/** Report of an incarnation of the runner. */
export function reportOf(
  { remainingMs, accelerators, beats, failureDomain }: TestWorker,
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

/** Stops the worker's guard and starts a new one immediately. */
export function restartGuard(worker: TestWorker): void {
  worker.guard.stop();
  Object.assign(worker, { guard: startGuard(worker) });
}

/** Starts a guard for the worker. */
export function startGuard({
  id,
  store,
  runner,
}: Pick<TestWorker, 'id' | 'store' | 'runner'>): GuardApp {
  const ctx = quietContext({ id, role: 'guard' });
  const guard = new GuardApp({ ctx, store, runner, linkKey: LINK_KEY, maxLeaseMs: TEST_LEASE_MS });
  guard.start();
  return guard;
}
