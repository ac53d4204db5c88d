/** The faults of a soak run: what, where and when follows from the seed alone. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of fault, each with what it strikes. */
export const FAULTS = {
  'kill-entry': 'entry',
  'stop-entry': 'entry',
  'freeze-entry': 'entry',
  'kill-all-entries': 'store',
  'kill-guard': 'guard',
  'stop-guard': 'guard',
  'freeze-guard': 'guard',
  'kill-everything': 'store',
  'reload-process': 'process',
  'cut-from-store': 'process',
  'silence-to-store': 'process',
  'silence-from-store': 'process',
  'delay-store': 'process',
  'silence-runner-calls': 'guard',
  'cut-runner-calls': 'guard',
  'runner-replaced': 'guard',
  'runner-drains': 'guard',
  'runner-silent': 'guard',
  'runner-unhealthy': 'guard',
  'runner-late': 'guard',
  'runner-mute': 'guard',
  'store-busy': 'store',
  'store-reset': 'store',
  'store-silent': 'store',
  'store-slow': 'store',
  'store-loses-answers': 'store',
  'store-writes-late': 'store',
  'store-forgets': 'store',
  'new-configuration': 'store',
  'key-taken-away': 'store',
} as const;
export type FaultKind = keyof typeof FAULTS;

/** One fault. `pick` chooses what is struck, modulo how many there are. */
export interface ScheduledFault {
  atMs: number;
  kind: FaultKind;
  pick: number;
  /** Until it is healed. */
  forMs: number;
}

/** An evacuation of a failure domain. `pick` chooses it, modulo how many there are. */
export interface ScheduledEvacuation {
  atMs: number;
  pick: number;
  /** Until it is taken back. */
  forMs: number;
}

const GAP_MS = { min: 150, max: 1500 };
const HOLD_MS = { min: 200, max: 4000 };
const PICKS = 1_000_000;

/** Evacuations come less often than faults, and outlast the time that they have to be in force within. */
const EVACUATION_GAP_MS = { min: 500, max: 5000 };
const EVACUATION_HOLD_MS = { min: 6000, max: 10_000 };

/** Faults over `lengthMs`; they come in series and overlap. */
export function scheduleFaults({
  seed,
  lengthMs,
}: {
  seed: number;
  lengthMs: number;
}): ScheduledFault[] {
  const rng = xoroshiro128plus(seed);
  const kinds = Object.keys(FAULTS) as FaultKind[];
  const faults: ScheduledFault[] = [];
  const next = ({ min, max }: { min: number; max: number }): number => uniformInt(rng, min, max);
  for (let atMs = next(GAP_MS); atMs < lengthMs; atMs += next(GAP_MS)) {
    const kind = kinds[uniformInt(rng, 0, kinds.length - 1)];
    if (kind === undefined) continue;
    faults.push({ atMs, kind, pick: uniformInt(rng, 0, PICKS), forMs: next(HOLD_MS) });
  }
  return faults;
}

/** Evacuations over `lengthMs`; they overlap, also on one failure domain. Drawn apart, so that a seed's faults stay what they are. */
export function scheduleEvacuations({
  seed,
  lengthMs,
}: {
  seed: number;
  lengthMs: number;
}): ScheduledEvacuation[] {
  const rng = xoroshiro128plus(seed);
  const evacuations: ScheduledEvacuation[] = [];
  const next = ({ min, max }: { min: number; max: number }): number => uniformInt(rng, min, max);
  for (let atMs = next(EVACUATION_GAP_MS); atMs < lengthMs; atMs += next(EVACUATION_GAP_MS)) {
    const pick = uniformInt(rng, 0, PICKS);
    evacuations.push({ atMs, pick, forMs: next(EVACUATION_HOLD_MS) });
  }
  return evacuations;
}
