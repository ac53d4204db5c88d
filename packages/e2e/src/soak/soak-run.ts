/** One run of the soak: a fleet, callers, the faults of one seed, and what was broken. */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  FLEET_BOUNDS,
  encodeFleetConfig,
  encodeFleetJob,
  type FleetStep,
  type RowChange,
  type RunnerObserver,
} from '@zincspan/stand-ins';
import { Fleet, SERVICE } from '../fleet/fleet.js';
import { EvacuationWatch } from './evacuation-watch.js';
import { FaultMaker, type MadeFault, type SoakOperator } from './fault-maker.js';
import { scheduleEvacuations, scheduleFaults } from './fault-schedule.js';
import { FleetCaller, SOAK_HOST, type FleetCall } from './fleet-caller.js';
import { RunWatch } from './run-watch.js';
import { PREFIX, SoakCallers } from './soak-callers.js';
import { MAX_ATTEMPTS } from './soak-jobs.js';

/** After the last fault all jobs have to be over within this time, in ms: two leases, a takeover, and their work. */
const SETTLE_MS = 45_000;

/** Until the fleet serves its first caller, in ms. */
const WARM_UP_MS = 4000;

/** A planned stop excuses nothing that is cut later than this after it was sent, in ms: the platform's bound. */
const LOSS_SLACK_MS = 200;

/** A fault excuses what is cut up to this long after it, in ms: the platform's time to be in touch again. */
const CONTACT_MS = 3000;

/** What a caller whose key was taken away asks for. */
const PROBE_STEP: FleetStep = {
  tasks: 1,
  accelerators: 1,
  estimateMs: 100,
  gang: false,
  checkpointing: false,
  after: [],
};

/** Beyond the bound for taken keys, a caller's call takes this long to arrive, in ms. */
const KEY_SLACK_MS = 100;

/** What to run. */
export interface SoakOptions {
  seed: number;
  /** Time during which faults come, in ms. */
  lengthMs: number;
  entries?: number;
  workers?: number;
  /** Each so many jobs crash their runners; 0: none. */
  crashEach?: number;
  /** Failure domains are evacuated meanwhile. */
  evacuates?: boolean;
}

/** What came of it. */
export interface SoakResult {
  violations: string[];
  jobs: number;
  accepted: number;
  calls: number;
  faults: MadeFault[];
  evacuations: number;
  skipped: number;
  /** Last lines of each process, by its name. */
  logs: Map<string, string[]>;
  /** All changes of the store's rows, in order. */
  rows: readonly RowChange[];
}

/** Changes the configuration and takes keys away. */
class Operator implements SoakOperator {
  readonly #fleet: Fleet;

  readonly #onTaken: (key: string) => void;

  #version = 0;

  #key = 1;

  constructor(fleet: Fleet, onTaken: (key: string) => void) {
    this.#fleet = fleet;
    this.#onTaken = onTaken;
  }

  get key(): string {
    return `soak-key-${this.#key}`;
  }

  newConfiguration(): void {
    this.#version += 1;
    const config = encodeFleetConfig({
      version: this.#version,
      host: SOAK_HOST,
      pathPrefix: PREFIX,
      service: SERVICE,
      maxAttempts: MAX_ATTEMPTS,
      account: 'crews',
      keys: [this.key],
    });
    this.#fleet.configure(config);
  }

  takeKeyAway(): void {
    const { key } = this;
    this.#key += 1;
    this.newConfiguration();
    this.#onTaken(key);
  }
}

/** Runs one seed. */
export async function runSoak({
  seed,
  lengthMs,
  entries = 3,
  workers = 5,
  crashEach = 0,
  evacuates = false,
}: SoakOptions): Promise<SoakResult> {
  const watch = new RunWatch();
  const caller = new FleetCaller();
  const evacuations = new EvacuationWatch();
  const observer: RunnerObserver = {
    onStart: (run) => {
      watch.onStart(run);
      evacuations.noteStart(run);
    },
    onEnd: watch.onEnd,
    onConfirmed: watch.onConfirmed,
    onLapse: watch.onLapse,
  };
  const fleet = await Fleet.start({ entries, workers, observer, isKnown: watch.isKnown });
  evacuations.watch(fleet);
  try {
    const violations: string[] = [];
    const probes: Promise<void>[] = [];
    const operator = new Operator(fleet, (key) =>
      probes.push(probeTakenKey({ fleet, caller, key, violations })),
    );
    operator.newConfiguration();
    await sleep(WARM_UP_MS);
    const key = (): string => operator.key;
    const callers = new SoakCallers({ fleet, watch, caller, key, seed, crashEach });
    const faults = new FaultMaker({ fleet, operator });
    callers.start();
    const evacuated = evacuates ? scheduleEvacuations({ seed, lengthMs }) : [];
    await Promise.all([
      strikeAll(faults, scheduleFaults({ seed, lengthMs })),
      evacuations.evacuateAll(evacuated),
    ]);
    await callers.finish(SETTLE_MS);
    await Promise.all(probes);
    const late = evacuations.violations(faults.made);
    const cut = cutInPlannedStops(caller.calls, faults.made);
    return {
      violations: [...watch.violations, ...callers.violations, ...violations, ...late, ...cut],
      jobs: callers.jobs.length,
      accepted: callers.jobs.filter(({ acceptedAt }) => acceptedAt !== undefined).length,
      calls: caller.calls.length,
      faults: faults.made,
      evacuations: evacuations.count,
      skipped: faults.skipped,
      rows: fleet.store.tables.journal,
      logs: new Map(fleet.processes.map(({ name, process }) => [name, process.lines])),
    };
  } finally {
    caller.close();
    await fleet.stop();
  }
}

async function strikeAll(
  faults: FaultMaker,
  schedule: ReturnType<typeof scheduleFaults>,
): Promise<void> {
  const startedAt = performance.now();
  const hold = async (ms: number): Promise<void> => {
    await sleep(ms);
  };
  await Promise.all(
    schedule.map(async (fault) => {
      await sleep(Math.max(0, startedAt + fault.atMs - performance.now()));
      await faults.strike(fault, hold);
    }),
  );
}

/** After the bound no entry takes a job with the key. */
async function probeTakenKey({
  fleet,
  caller,
  key,
  violations,
}: {
  fleet: Fleet;
  caller: FleetCaller;
  key: string;
  violations: string[];
}): Promise<void> {
  await sleep(FLEET_BOUNDS.revokeMs + KEY_SLACK_MS);
  const body = encodeFleetJob('never accepted', [PROBE_STEP]);
  const path = `${PREFIX}ffffffffffffffff`;
  await Promise.all(
    fleet.entries.map(async (entry) => {
      const answer = await caller.call(entry, { method: 'POST', path, key, body });
      if (answer.outcome !== 'answered' || answer.status !== 200) return;
      violations.push(`${entry.name} took a job with ${key}, which was taken away`);
    }),
  );
}

/** Calls that a planned stop cut although nothing else was wrong with that entry or the store. */
function cutInPlannedStops(calls: readonly FleetCall[], faults: readonly MadeFault[]): string[] {
  return calls
    .filter(({ outcome, sentAt, endedAt }) => outcome === 'cut' && endedAt - sentAt > LOSS_SLACK_MS)
    .filter((call) => {
      const near = faults.filter(
        ({ target, from, to }) =>
          (target === call.entry || target === 'store') &&
          from <= call.endedAt &&
          to + CONTACT_MS >= call.sentAt,
      );
      return near.length > 0 && near.every(({ kind }) => isPlanned(kind));
    })
    .map(({ entry, sentAt }) => `${entry} cut a call sent at ${Math.round(sentAt)} as it stopped`);
}

function isPlanned(kind: MadeFault['kind']): boolean {
  return kind === 'stop-entry' || kind === 'reload-process' || kind === 'new-configuration';
}
