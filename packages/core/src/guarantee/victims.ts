/** The cheapest set of running jobs whose eviction makes room for a gang at one place. */
import { chooseAccelerators } from '../gang/placement-accelerators.js';
import type { Capacity, WorkerCapacity } from '../gang/placement-capacity.js';
import type { Member } from '../gang/shape.js';
import type { RunningJob, RunningJobs } from '../scheduler/running-jobs.js';

/** A place, the jobs that must leave it, and what that costs. */
export interface Clearance {
  members: Member[];
  victims: RunningJob[];
  cost: number;
}

/** Cost of evicting a job, in accelerator-ms of work; Infinity: never. */
export type EvictionCost = (running: RunningJob) => number;

/** Still to be freed on one worker. */
interface Lack {
  accelerators: number;
  cores: number;
  memoryMb: number;
}

/** What is asked for at a place, and where jobs run. */
export interface ClearanceRequest {
  capacity: Capacity;
  running: RunningJobs;
  /** Which worker gets which tasks; accelerator numbers are chosen anew. */
  members: Member[];
  cost: EvictionCost;
}

/** Clears a place at least cost: dearer jobs only where cheaper ones don't free enough; undefined if impossible. */
export function clear(req: ClearanceRequest): Clearance | undefined {
  const lacks = lacksAt(req);
  const victims = chooseVictims(req, lacks);
  if (victims === undefined) return undefined;
  const members = numberMembers(req, victims);
  if (members === undefined) return undefined;
  return { members, victims, cost: victims.reduce((sum, job) => sum + req.cost(job), 0) };
}

function lacksAt({ capacity, members }: ClearanceRequest): Map<string, Lack> {
  const lacks = new Map<string, Lack>();
  members.forEach(({ worker: id, accelerators, cores, memoryMb }) => {
    const worker = capacity.workers.get(id);
    const lack = lacks.get(id) ?? {
      accelerators: -(worker?.free ?? 0),
      cores: -(worker?.freeCores ?? 0),
      memoryMb: -(worker?.freeMemoryMb ?? 0),
    };
    lack.accelerators += accelerators.length;
    lack.cores += cores;
    lack.memoryMb += memoryMb;
    lacks.set(id, lack);
  });
  return lacks;
}

function isLacking({ accelerators, cores, memoryMb }: Lack): boolean {
  return accelerators > 0 || cores > 0 || memoryMb > 0;
}

/** Accelerators that only this member uses, so that its leaving frees them. */
function freedBy({ accelerators }: Member, worker: WorkerCapacity): number {
  return accelerators.filter((number) => worker.uses[number] === 1).length;
}

/** How much of what lacks a job's leaving would free, in parts of what each worker lacks. */
function gain(running: RunningJob, lacks: Map<string, Lack>, capacity: Capacity): number {
  let sum = 0;
  running.members.forEach((member) => {
    const lack = lacks.get(member.worker);
    const worker = capacity.workers.get(member.worker);
    if (lack === undefined || worker === undefined || !isLacking(lack)) return;
    if (lack.accelerators > 0) sum += Math.min(lack.accelerators, freedBy(member, worker));
    if (lack.cores > 0) sum += Math.min(1, member.cores / lack.cores);
    if (lack.memoryMb > 0) sum += Math.min(1, member.memoryMb / lack.memoryMb);
  });
  return sum;
}

function subtract(
  running: RunningJob,
  lacks: Map<string, Lack>,
  capacity: Capacity,
  sign: 1 | -1,
): void {
  running.members.forEach((member) => {
    const lack = lacks.get(member.worker);
    const worker = capacity.workers.get(member.worker);
    if (lack === undefined || worker === undefined) return;
    lack.accelerators -= sign * freedBy(member, worker);
    lack.cores -= sign * member.cores;
    lack.memoryMb -= sign * member.memoryMb;
  });
}

/** Greedy by cost for what a job frees, then drops those that turned out superfluous, dearest first. */
function chooseVictims(
  { capacity, running, cost }: ClearanceRequest,
  lacks: Map<string, Lack>,
): RunningJob[] | undefined {
  const pool = new Set(
    [...lacks.keys()]
      .flatMap((worker) => [...running.on(worker)])
      .filter((job) => !job.leaving && job.within === undefined && Number.isFinite(cost(job))),
  );
  const chosen: RunningJob[] = [];
  while ([...lacks.values()].some(isLacking)) {
    const best = cheapest(pool, (job) => cost(job) / gain(job, lacks, capacity));
    if (best === undefined) return undefined;
    pool.delete(best);
    chosen.push(best);
    subtract(best, lacks, capacity, 1);
  }
  return chosen
    .sort((a, b) => cost(b) - cost(a))
    .filter((job) => !isSuperfluous(job, lacks, capacity));
}

function cheapest(
  pool: Iterable<RunningJob>,
  price: (job: RunningJob) => number,
): RunningJob | undefined {
  let best: RunningJob | undefined;
  let bestPrice = Infinity;
  for (const job of pool) {
    const jobPrice = price(job);
    if (jobPrice < bestPrice) {
      best = job;
      bestPrice = jobPrice;
    }
  }
  return best;
}

function isSuperfluous(job: RunningJob, lacks: Map<string, Lack>, capacity: Capacity): boolean {
  subtract(job, lacks, capacity, -1);
  if (![...lacks.values()].some(isLacking)) return true;
  subtract(job, lacks, capacity, 1);
  return false;
}

/** Gives the members accelerator numbers among those free once the victims have left. */
function numberMembers(
  { capacity, members }: ClearanceRequest,
  victims: RunningJob[],
): Member[] | undefined {
  const uses = new Map<string, Uint8Array>();
  members.forEach(({ worker }) => {
    const known = capacity.workers.get(worker);
    if (known !== undefined && !uses.has(worker)) uses.set(worker, known.uses.slice());
  });
  victims.forEach((job) =>
    job.members.forEach(({ worker, accelerators }) =>
      accelerators.forEach((number) => {
        const used = uses.get(worker);
        if (used !== undefined) used[number]! -= 1;
      }),
    ),
  );
  const numbered = members.map((member) => {
    const used = uses.get(member.worker);
    const count = member.accelerators.length;
    const accelerators = used === undefined ? [] : chooseAccelerators(used, count);
    accelerators.forEach((number) => {
      used![number] = 1;
    });
    return { ...member, accelerators };
  });
  const whole = numbered.every((m, i) => m.accelerators.length === members[i]!.accelerators.length);
  return whole ? numbered : undefined;
}
