/** The faults of a soak run: what, where and when follows from the seed alone. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of fault, each with what it strikes. */
export const FAULTS = {
  'kill-entry': 'entry',
  'stop-entry': 'entry',
  'freeze-entry': 'entry',
  'kill-guard': 'guard',
  'stop-guard': 'guard',
  'freeze-guard': 'guard',
  'cut-links': 'guard',
  'half-open-both': 'guard',
  'half-open-to-server': 'guard',
  'half-open-to-client': 'guard',
  'refuse-links': 'guard',
  'freeze-runner': 'runner',
  'cut-runner-answers': 'runner',
  'slow-runner': 'runner',
  'drain-upstream': 'upstream',
  'table-down': 'platform',
  'table-hangs': 'platform',
  'table-slow': 'platform',
  'table-loses-answers': 'platform',
  'table-loses-writes': 'platform',
  rollout: 'platform',
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

const GAP_MS = { min: 300, max: 2500 };
const HOLD_MS = { min: 200, max: 3500 };
const PICKS = 1_000_000;

/** Faults over `lengthMs`; some overlap. */
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
    const kind = kinds[uniformInt(rng, 0, kinds.length - 1)]!;
    faults.push({ atMs, kind, pick: uniformInt(rng, 0, PICKS), forMs: next(HOLD_MS) });
  }
  return faults;
}
