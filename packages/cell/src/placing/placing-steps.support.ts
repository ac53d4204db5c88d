/** Shared by the steps about placement. */
import assert from 'node:assert/strict';
import type { Demand } from '../job/submission.js';
import type { PreemptionPlan, Victim } from './preemption.js';
import { AvailableWorker, type TaskGroup, type TaskPlacement } from './available-worker.js';

/** State of a scenario. */
export interface PlacingSteps {
  workers: AvailableWorker[];
  victims: Victim[];
  placements: TaskPlacement[];
  plan: PreemptionPlan | undefined;
  order: string[];
}

/** A demand of accelerators only. */
export function acceleratorDemand(count: number): Demand {
  return { milliCores: 0, memoryMb: 0, accelerators: count };
}

/** All numbers in a text. */
export function parseNumbers(list: string): number[] {
  return (list.match(/\d+/g) ?? []).map(Number);
}

/** Workers of 8 accelerators each, of which the given numbers are free. */
export function newWorkers(free: readonly number[], perRack: number): AvailableWorker[] {
  return free.map(
    (count, index) =>
      new AvailableWorker({
        vm: `worker ${index + 1}`,
        runner: `runner ${index + 1}`,
        rack: `r${Math.floor(index / perRack)}`,
        labels: [],
        service: 'render',
        free: acceleratorDemand(count),
        capacity: acceleratorDemand(8),
      }),
  );
}

/** Independent tasks of one step, unless changed. */
export function newGroup(tasks: number, each: number, change: Partial<TaskGroup> = {}): TaskGroup {
  return {
    jobId: 'job',
    occurrence: 0,
    step: 0,
    indexes: Array.from({ length: tasks }, (_, index) => index),
    service: 'render',
    demand: acceleratorDemand(each),
    gang: false,
    oneRack: false,
    rack: undefined,
    label: undefined,
    maxPerWorker: undefined,
    present: new Map(),
    avoided: new Set(),
    isUrgent: false,
    isSuspect: false,
    startsAlone: false,
    ...change,
  };
}

/** A worker by its number, from 1. */
export function workerAt({ workers }: PlacingSteps, number: number): AvailableWorker {
  const worker = workers[number - 1];
  assert.ok(worker);
  return worker;
}
