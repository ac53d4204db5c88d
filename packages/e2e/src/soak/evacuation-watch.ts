/** Evacuates failure domains of a fleet while faults strike, and checks that nothing starts there once that has to be in force. */
import { setTimeout as sleep } from 'node:timers/promises';
import { FLEET_BOUNDS, type ObservedRun } from '@zincspan/stand-ins';
import type { Fleet } from '../fleet/fleet.js';
import type { MadeFault } from './fault-maker.js';
import type { ScheduledEvacuation } from './fault-schedule.js';

/** A start that its runner carries out late, or that its guard sends as it goes on, comes up to this long after, in ms. */
const LATE_MS = 3000;

/** Faults that make a start late which was ordered in time: it isn't the owner's. */
const MAKE_LATE: readonly MadeFault['kind'][] = ['freeze-guard', 'runner-late'];

/** On this process's monotonic clock, in ms. */
interface Evacuation {
  failureDomain: string;
  /** When the store had acknowledged it. */
  from: number;
  /** When it was about to be taken back. */
  to: number;
}

interface Start {
  guard: string;
  failureDomain: string;
  task: string;
  at: number;
}

/** Of one run. */
export class EvacuationWatch {
  readonly #evacuations: Evacuation[] = [];

  readonly #starts: Start[] = [];

  /** Undefined until it has started: nothing runs before. */
  #fleet: Fleet | undefined;

  watch(fleet: Fleet): void {
    this.#fleet = fleet;
  }

  get count(): number {
    return this.#evacuations.length;
  }

  noteStart({ life, task }: ObservedRun): void {
    const worker = this.#fleet?.workers.find(({ runner }) => runner.life.name === life);
    if (worker === undefined) return;
    const { name: guard, failureDomain } = worker;
    this.#starts.push({ guard, failureDomain, task, at: performance.now() });
  }

  /** Makes them all; one of a failure domain that is evacuated already writes the row anew. */
  async evacuateAll(schedule: readonly ScheduledEvacuation[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(
      schedule.map(async ({ atMs, pick, forMs }) => {
        await sleep(Math.max(0, startedAt + atMs - performance.now()));
        await this.#evacuate(pick, forMs);
      }),
    );
  }

  /** Starts in a failure domain later than its evacuation has to be in force, but for those that faults made late. */
  violations(faults: readonly MadeFault[]): string[] {
    return this.#starts.flatMap((start) => {
      const { failureDomain, task, at } = start;
      const evacuation = this.#evacuations.find(
        ({ from, to, ...each }) =>
          each.failureDomain === failureDomain && at > from + FLEET_BOUNDS.evacuateMs && at < to,
      );
      if (evacuation === undefined || wasMadeLate(start, evacuation, faults)) return [];
      const afterMs = Math.round(at - evacuation.from);
      return [`task ${task} started in ${failureDomain} ${afterMs} ms after its evacuation`];
    });
  }

  async #evacuate(pick: number, forMs: number): Promise<void> {
    const fleet = this.#fleet;
    if (fleet === undefined) throw new Error('There is no fleet yet: call watch first.');
    const names = [...new Set(fleet.workers.map((worker) => worker.failureDomain))];
    const failureDomain = names[pick % names.length] ?? '';
    fleet.evacuate(failureDomain);
    const evacuation = { failureDomain, from: performance.now(), to: Infinity };
    this.#evacuations.push(evacuation);
    await sleep(forMs);
    const isLast = !this.#evacuations.some(
      (each) => each.failureDomain === failureDomain && each.from > evacuation.from,
    );
    evacuation.to = performance.now();
    // A later one goes on.
    if (isLast) fleet.takeBack(failureDomain);
  }
}

function wasMadeLate(
  { guard, at }: Start,
  { from }: Evacuation,
  faults: readonly MadeFault[],
): boolean {
  return faults.some(
    ({ kind, target, ...fault }) =>
      MAKE_LATE.includes(kind) &&
      target === guard &&
      fault.from <= at &&
      fault.to + LATE_MS >= from + FLEET_BOUNDS.evacuateMs,
  );
}
