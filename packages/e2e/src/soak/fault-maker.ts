/** Makes the scheduled faults on a fleet from outside its processes, and heals them. */
import { startProcess, type Fleet, type FleetProcess, type FleetWorker } from '../fleet/fleet.js';
import { FAULTS, type FaultKind, type ScheduledFault } from './fault-schedule.js';

/** What the operator does in a run. */
export interface SoakOperator {
  newConfiguration(): void;
  takeKeyAway(): void;
}

/** A fault as it was made, for what is checked later. Times on this process's monotonic clock, in ms. */
export interface MadeFault {
  kind: FaultKind;
  /** A process's name, or `store`. */
  target: string;
  from: number;
  to: number;
}

type Heal = () => Promise<void> | void;

const nothing: Heal = () => undefined;

/** After SIGTERM a process has this long, in ms; then it is killed. */
const GRACE_MS = 6000;

const SLOW_MS = 250;
const DELAY_MS = 120;
const LATE_MS = 2500;
const EACH = 3;

/** How a runner returns doesn't go with which one it is: that follows from the last digits of a pick. */
const PICKS_A_RETURN = 1000;

/** A process is started, stopped or frozen by one fault at a time; everything else overlaps. */
export class FaultMaker {
  readonly made: MadeFault[] = [];

  /** Faults left out as their process was struck already. */
  skipped = 0;

  readonly #fleet: Fleet;

  readonly #operator: SoakOperator;

  readonly #struck = new Set<string>();

  constructor({ fleet, operator }: { fleet: Fleet; operator: SoakOperator }) {
    this.#fleet = fleet;
    this.#operator = operator;
  }

  /** Makes a fault, holds it, heals it. */
  async strike(
    { kind, pick, forMs }: ScheduledFault,
    hold: (ms: number) => Promise<void>,
  ): Promise<void> {
    const target = this.#target(kind, pick);
    const names = this.#struckBy(kind, target);
    if (names.some((name) => this.#struck.has(name))) {
      this.skipped += 1;
      return;
    }
    names.forEach((name) => this.#struck.add(name));
    const made: MadeFault = {
      kind,
      target: target?.name ?? 'store',
      from: performance.now(),
      to: Infinity,
    };
    this.made.push(made);
    try {
      const heal = await this.#make(kind, target, pick);
      await hold(forMs);
      await heal();
    } finally {
      made.to = performance.now();
      names.forEach((name) => this.#struck.delete(name));
    }
  }

  #target(kind: FaultKind, pick: number): FleetProcess | undefined {
    const { entries, workers, processes } = this.#fleet;
    const choices = { entry: entries, guard: workers, process: processes, store: [] }[FAULTS[kind]];
    return choices[pick % Math.max(1, choices.length)];
  }

  /** Processes that the fault starts, stops or freezes. */
  #struckBy(kind: FaultKind, target: FleetProcess | undefined): string[] {
    if (kind === 'kill-everything') return this.#fleet.processes.map(({ name }) => name);
    if (kind === 'kill-all-entries') return this.#fleet.entries.map(({ name }) => name);
    return /^(kill|stop|freeze|reload)-/.test(kind) && target !== undefined ? [target.name] : [];
  }

  async #make(kind: FaultKind, target: FleetProcess | undefined, pick: number): Promise<Heal> {
    if (kind === 'kill-everything') return killAll(this.#fleet.processes);
    if (kind === 'kill-all-entries') return killAll(this.#fleet.entries);
    if (target === undefined) return this.#strikeStore(kind);
    if (kind.startsWith('kill-')) return killAll([target]);
    if (kind.startsWith('stop-')) return stop(target);
    if (kind.startsWith('freeze-')) return freeze(target);
    if (kind === 'reload-process') return reload(target);
    if (FAULTS[kind] === 'process') return strikeStorePath(kind, target);
    return strikeRunner(kind, target as FleetWorker, pick);
  }

  #strikeStore(kind: FaultKind): Heal {
    const { faults, tables } = this.#fleet.store;
    const set = (change: Partial<typeof faults>, back: Partial<typeof faults>): Heal => {
      Object.assign(faults, change);
      return () => {
        Object.assign(faults, back);
      };
    };
    switch (kind) {
      case 'store-busy':
        return set({ down: 'busy' }, { down: 'no' });
      case 'store-reset':
        return set({ down: 'reset' }, { down: 'no' });
      case 'store-silent':
        return set({ down: 'silent' }, { down: 'no' });
      case 'store-slow':
        return set({ slowMs: SLOW_MS }, { slowMs: 0 });
      case 'store-loses-answers':
        return set({ loseEach: EACH }, { loseEach: 0 });
      case 'store-writes-late':
        return set({ loseEach: EACH, lateMs: LATE_MS }, { loseEach: 0, lateMs: 0 });
      case 'store-forgets':
        tables.forgetHistory();
        return nothing;
      case 'key-taken-away':
        this.#operator.takeKeyAway();
        return nothing;
      default:
        this.#operator.newConfiguration();
        return nothing;
    }
  }
}

async function killAll(targets: readonly FleetProcess[]): Promise<Heal> {
  await Promise.all(targets.map(({ process }) => process.kill()));
  return async () => {
    await Promise.all(targets.map(({ process }) => startProcess(process)));
  };
}

async function stop({ process }: FleetProcess): Promise<Heal> {
  const timer = setTimeout(() => {
    void process.kill();
  }, GRACE_MS);
  await process.terminate();
  clearTimeout(timer);
  return () => startProcess(process);
}

function freeze({ process }: FleetProcess): Heal {
  process.freeze();
  return () => process.resume();
}

function reload({ process }: FleetProcess): Heal {
  process.hangUp();
  return nothing;
}

function strikeStorePath(kind: FaultKind, { toStore }: FleetProcess): Heal {
  switch (kind) {
    case 'cut-from-store':
      Object.assign(toStore.faults, { refuse: true });
      toStore.cutOpen();
      return () => {
        Object.assign(toStore.faults, { refuse: false });
      };
    case 'silence-to-store':
      toStore.silenceOpen('to-server');
      return nothing;
    case 'silence-from-store':
      toStore.silenceOpen('to-client');
      return nothing;
    default:
      Object.assign(toStore.faults, { delayMs: DELAY_MS });
      return () => {
        Object.assign(toStore.faults, { delayMs: 0 });
      };
  }
}

function strikeRunner(
  kind: FaultKind,
  { runner, toRunner, toGuard }: FleetWorker,
  pick: number,
): Heal {
  // One in two returns under its old id.
  const keepsId = Math.floor(pick / PICKS_A_RETURN) % 2 === 0;
  const { faults } = runner;
  const set = (change: Partial<typeof faults>, back: Partial<typeof faults>): Heal => {
    Object.assign(faults, change);
    return () => {
      Object.assign(faults, back);
    };
  };
  switch (kind) {
    case 'silence-runner-calls':
      toRunner.silenceOpen('both');
      toGuard.silenceOpen('both');
      return nothing;
    case 'cut-runner-calls':
      toRunner.cutOpen();
      toGuard.cutOpen();
      return nothing;
    case 'runner-replaced':
      runner.replace({ keepsId });
      return nothing;
    case 'runner-drains':
      void runner.drain({ keepsId });
      return nothing;
    case 'runner-silent':
      return set({ down: 'silent' }, { down: 'no' });
    case 'runner-unhealthy':
      return set({ down: 'unhealthy' }, { down: 'no' });
    case 'runner-late':
      return set({ lateEach: EACH }, { lateEach: 0 });
    default:
      return set({ mute: true }, { mute: false });
  }
}
