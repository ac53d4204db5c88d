/** Builds a load summary from the workers and the waiting work, in time that grows with both. */
import { Packr } from 'msgpackr';
import type { Demand } from '../job/submission.js';
import { FleetProfile, dominantShare } from '../placing/fleet-profile.js';
import { SIZE_CLASSES, type Footprint } from './job-footprint.js';
import {
  FORECAST_TIMES_MS,
  MAX_ACCOUNTS,
  MAX_NAME_LENGTH,
  MAX_QUEUES,
  MAX_REFUSED_IDS,
  MAX_SERVICES,
  MAX_SUMMARY_BYTES,
  PRIORITY_CLASSES,
  WORK_UNIT_MS,
  idKey,
  type ErrorQuantiles,
  type LoadSummary,
  type QueueLoad,
  type ServiceLoad,
} from './load-summary.js';
import { groupByUrgency, logUrgency, type Rung } from './urgency-rungs.js';

/** A worker that takes tasks, and when its runs are expected to end. */
export interface LoadedWorker {
  service: string;
  capacity: Demand;
  /** `isUrgent`: of a job that may not be stopped for one of priority 0. */
  runs: readonly { demand: Demand; endsInMs: number; isUrgent: boolean }[];
}

/** Tasks of an accepted job that wait. */
export interface WaitingWork extends Footprint {
  queue: string;
  account: string;
  service: string;
  /** As in the order of placement; Infinity for a guaranteed job. */
  urgency: number;
}

/** A refused job that is expected to return. */
export interface RefusedWork {
  id: string;
  service: string;
  priority: number;
  /** At its first refusal. */
  urgency: number;
  /** Worker-ms. */
  work: number;
  /** Since its first refusal. */
  ageMs: number;
}

/** A configured queue and what was learned about its jobs. */
export interface QueueFacts {
  name: string;
  /** Mean work of its jobs, in accelerator-ms. */
  meanWork: number;
  /** Expected duration of a task with this estimate, in ms. */
  expectedMs: (estimateMs: number) => number;
}

export interface LoadInput {
  term: number;
  sequence: number;
  workers: readonly LoadedWorker[];
  waiting: readonly WaitingWork[];
  refused: readonly RefusedWork[];
  /** Workers that newly submitted work of a service would keep busy, by urgency. */
  arriving: (service: string) => readonly Rung[];
  queues: readonly QueueFacts[];
  /** Accelerators of open jobs of priority 0, by account. */
  urgentAccelerators: ReadonlyMap<string, number>;
  error: ErrorQuantiles;
}

/** Estimates at which the expected durations are sent; entries interpolate between their logarithms. */
export const REFERENCE_ESTIMATES_MS = [1000, 10_000] as const;

const packr = new Packr({ useRecords: false });

/** Size of the summary in a heartbeat, in bytes. */
export function encodedBytes(summary: LoadSummary): number {
  return packr.pack(summary).length;
}

/** Builds the summary. Queues and accounts with the least waiting work are left to the rest if it gets too long. */
export function buildLoadSummary(input: LoadInput): LoadSummary {
  const { term, sequence, waiting, error } = input;
  const byQueue = sumBy(waiting, ({ queue }) => queue);
  const byAccount = sumBy(waiting, ({ account }) => account);
  const queues = listQueues(input, byQueue);
  const accounts = [...new Set([...byAccount.keys(), ...input.urgentAccelerators.keys()])]
    .filter(isShort)
    .map((name): LoadSummary['accounts'][number] => [
      name,
      inWorkUnits(byAccount.get(name) ?? 0),
      Math.round(input.urgentAccelerators.get(name) ?? 0),
    ])
    .sort((a, b) => b[1] - a[1] || b[2] - a[2])
    .slice(0, MAX_ACCOUNTS);
  const refused = [...input.refused].sort((a, b) => a.priority - b.priority || b.ageMs - a.ageMs);
  const summary: LoadSummary = {
    term,
    sequence,
    services: listServices(input),
    queues,
    restOfQueues: 0,
    accounts,
    restOfAccounts: 0,
    competingAccounts: byAccount.size,
    refusedIds: refused
      .slice(0, MAX_REFUSED_IDS)
      .map(({ id, ageMs }) => [idKey(id), Math.round(ageMs)]),
    oldestRefusedMs: Math.round(Math.max(0, ...refused.map(({ ageMs }) => ageMs))),
    error,
  };
  shorten(summary);
  const total = waiting.reduce((sum, { work }) => sum + work, 0);
  const listed = (entries: readonly (readonly [string, number, ...number[]])[]): number =>
    entries.reduce((sum, [, work]) => sum + work, 0);
  summary.restOfQueues = Math.max(0, inWorkUnits(total) - listed(summary.queues));
  summary.restOfAccounts = Math.max(0, inWorkUnits(total) - listed(summary.accounts));
  return summary;
}

function shorten(summary: LoadSummary): void {
  // The two rests are still 0 and may take 4 bytes more each.
  const limit = MAX_SUMMARY_BYTES - 8;
  while (encodedBytes(summary) > limit) {
    const { accounts, queues, services } = summary;
    if (accounts.length > 0 && accounts.length >= queues.length) accounts.pop();
    else if (queues.length > 0) queues.pop();
    else services.pop();
  }
}

function listQueues({ queues }: LoadInput, byQueue: ReadonlyMap<string, number>): QueueLoad[] {
  return queues
    .filter(({ name }) => isShort(name))
    .map(({ name, meanWork, expectedMs }): QueueLoad => {
      const [short, long] = REFERENCE_ESTIMATES_MS.map((ms) => Math.round(expectedMs(ms)));
      const backlog = inWorkUnits(byQueue.get(name) ?? 0);
      return [name, backlog, Math.round(meanWork), short ?? 0, long ?? 0];
    })
    .sort((a, b) => b[1] - a[1])
    .slice(0, MAX_QUEUES);
}

function listServices(input: LoadInput): ServiceLoad[] {
  const profile = new FleetProfile(input.workers);
  const names = [...new Set(input.workers.map(({ service }) => service))];
  return names
    .filter(isShort)
    .map((name) => serviceLoad(name, profile, input))
    .sort((a, b) => b.workers - a.workers)
    .slice(0, MAX_SERVICES);
}

function serviceLoad(
  name: string,
  profile: FleetProfile,
  { workers, waiting, refused, arriving }: LoadInput,
): ServiceLoad {
  const own = workers.filter(({ service }) => service === name);
  const typical = profile.of(name)?.typical ?? { milliCores: 0, memoryMb: 0, accelerators: 0 };
  const { milliCores, memoryMb, accelerators } = typical;
  const waitingHere = waiting.filter(({ service }) => service === name);
  const refusedWork = Array.from({ length: PRIORITY_CLASSES }, () => 0);
  refused.forEach(({ service, priority, work }) => {
    const index = Math.min(PRIORITY_CLASSES - 1, Math.max(0, priority));
    if (service === name) refusedWork[index] = (refusedWork[index] ?? 0) + work;
  });
  const [single, part, whole] = SIZE_CLASSES.map((size) =>
    waitingHere.reduce((sum, each) => sum + (each.size === size ? each.work : 0), 0),
  );
  return {
    name,
    workers: own.length,
    typical: [Math.round(milliCores), Math.round(memoryMb), Math.round(accelerators * 100) / 100],
    ...forecastOf(own),
    ...urgentForecastOf(own),
    rungs: rungsOf(waitingHere),
    sizes: [inWorkUnits(single ?? 0), inWorkUnits(part ?? 0), inWorkUnits(whole ?? 0)],
    arriving: cumulative(arriving(name), 1 / 100),
    refused: refusedWork.map(inWorkUnits),
    refusedRungs: cumulative(
      refused.filter(({ service }) => service === name),
      WORK_UNIT_MS,
    ),
  };
}

/** What is free at each time of the forecast. */
function forecastOf(workers: readonly LoadedWorker[]): Pick<ServiceLoad, 'free' | 'wholeFree'> {
  const forecasts = FORECAST_TIMES_MS.map((timeMs) => workers.map((each) => freeAt(each, timeMs)));
  return {
    free: forecasts.map((each) => Math.round(each.reduce((sum, { free }) => sum + free, 0) * 100)),
    wholeFree: forecasts.map((each) => each.filter(({ isWhole }) => isWhole).length),
  };
}

/** What would be free if everything were stopped that a job of priority 0 may stop. */
function urgentForecastOf(
  workers: readonly LoadedWorker[],
): Pick<ServiceLoad, 'urgentFree' | 'urgentWholeFree'> {
  const { free, wholeFree } = forecastOf(
    workers.map(({ runs, ...worker }) => ({
      ...worker,
      runs: runs.filter(({ isUrgent }) => isUrgent),
    })),
  );
  return { urgentFree: free, urgentWholeFree: wholeFree };
}

/** Share of a worker that is free at a time from now, and whether all of it is. */
function freeAt(
  { capacity, runs }: LoadedWorker,
  timeMs: number,
): { free: number; isWhole: boolean } {
  const used = { milliCores: 0, memoryMb: 0, accelerators: 0 };
  let isWhole = true;
  runs.forEach(({ demand, endsInMs }) => {
    if (endsInMs <= timeMs) return;
    isWhole = false;
    used.milliCores += demand.milliCores;
    used.memoryMb += demand.memoryMb;
    used.accelerators += demand.accelerators;
  });
  return { free: Math.max(0, 1 - dominantShare(used, capacity)), isWhole };
}

/** Cumulative work of the waiting jobs. */
function rungsOf(waiting: readonly WaitingWork[]): ServiceLoad['rungs'] {
  let [work, width, wholeWorkers] = [0, 0, 0];
  return groupByUrgency(waiting).map((group) => {
    group.forEach((each) => {
      work += each.work;
      width += each.width;
      wholeWorkers += each.wholeWorkers;
    });
    const lowest = group.at(-1)?.urgency ?? 0;
    return [
      logUrgency(lowest),
      inWorkUnits(work),
      Math.round(width * 100),
      Math.round(wholeWorkers),
    ];
  });
}

/** Cumulative amounts by urgency. */
function cumulative(items: readonly Rung[], unit: number): [number, number][] {
  let sum = 0;
  return groupByUrgency(items).map((group) => {
    sum += group.reduce((total, { work }) => total + work, 0);
    return [logUrgency(group.at(-1)?.urgency ?? 0), Math.round(sum / unit)];
  });
}

function sumBy(
  waiting: readonly WaitingWork[],
  keyOf: (each: WaitingWork) => string,
): Map<string, number> {
  const sums = new Map<string, number>();
  waiting.forEach((each) => {
    const key = keyOf(each);
    sums.set(key, (sums.get(key) ?? 0) + each.work);
  });
  return sums;
}

function inWorkUnits(work: number): number {
  return Math.round(work / WORK_UNIT_MS);
}

function isShort(name: string): boolean {
  return name.length <= MAX_NAME_LENGTH;
}
