/** Scenarios: what goes wrong or gets busy, on top of an ordinary day. Times in ms from midnight of day one. */
export const HOUR_MS = 3_600_000;

/** More of one class, from one account. */
export interface Burst {
  atMs: number;
  forMs: number;
  /** `small`: the classes of one or two accelerators. `large`: the largest gangs. */
  size: 'small' | 'large';
  /** Times the usual rate of the class. */
  factor: number;
}

/** One scenario. */
export interface Scenario {
  name: string;
  startMs: number;
  forMs: number;
  burst?: Burst;
  /** Declared run times are off by this factor, up for half of the accounts and down for the others. */
  lie?: number;
  /** At these times this part of one account's queue and running jobs is cancelled. */
  cancellations?: { atMs: number; part: number }[];
  /** This many workers fail whatever they start. */
  failingWorkers?: number;
  rackLossAtMs?: number;
  /** Every guarantee is claimed this often, each time for `heldMs`. */
  claims?: { everyMs: number; heldMs: number };
}

const NOON = 12 * HOUR_MS;
const QUARTER = HOUR_MS / 4;

/** All scenarios. */
export const SCENARIOS: Scenario[] = [
  { name: 'ordinary day', startMs: 8 * HOUR_MS, forMs: 24 * HOUR_MS },
  {
    name: 'burst of small',
    startMs: 10 * HOUR_MS,
    forMs: 5 * HOUR_MS,
    burst: { atMs: NOON, forMs: 2 * QUARTER, size: 'small', factor: 3 },
  },
  {
    name: 'burst of large',
    startMs: 10 * HOUR_MS,
    forMs: 5 * HOUR_MS,
    burst: { atMs: NOON, forMs: QUARTER, size: 'large', factor: 40 },
  },
  { name: 'lying declarations', startMs: 10 * HOUR_MS, forMs: 5 * HOUR_MS, lie: 10 },
  {
    name: 'cancellation wave',
    startMs: 10 * HOUR_MS,
    forMs: 5 * HOUR_MS,
    burst: { atMs: NOON, forMs: 2 * QUARTER, size: 'small', factor: 3 },
    cancellations: [
      { atMs: NOON + QUARTER, part: 0.9 },
      { atMs: NOON + 2 * QUARTER, part: 0.9 },
    ],
  },
  { name: 'failing workers', startMs: 10 * HOUR_MS, forMs: 5 * HOUR_MS, failingWorkers: 1 },
  { name: 'rack loss', startMs: 10 * HOUR_MS, forMs: 5 * HOUR_MS, rackLossAtMs: NOON },
  {
    name: 'guarantee claims',
    startMs: 10 * HOUR_MS,
    forMs: 5 * HOUR_MS,
    claims: { everyMs: HOUR_MS, heldMs: 2 * QUARTER },
  },
];

/** True from 20:00 to 6:00. */
export function isNight(atMs: number): boolean {
  const hour = (atMs / HOUR_MS) % 24;
  return hour >= 20 || hour < 6;
}
