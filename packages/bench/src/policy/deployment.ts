/** The two deployments of today and a tenfold one: failure domains, workers, bundle and what callers submit. */
import { bundleSchema, type Bundle, type Shape, type Worker } from '@zincspan/core';

/** What one kind of job looks like, as its callers submit it. Times in ms. */
export interface JobClass {
  kind: string;
  shapes: Shape[];
  medianRunMs: number;
  /** Standard deviation of the logarithm of the run time. */
  sigma: number;
  /** Jobs an hour by day and by night (20:00 to 6:00). */
  perHourByDay: number;
  perHourByNight: number;
}

/** A deployment. */
export interface Deployment {
  name: string;
  failureDomains: { name: string; workers: Worker[] }[];
  bundle: Bundle;
  classes: JobClass[];
  /** How much each account submits. */
  accounts: { name: string; part: number }[];
}

const RACK_SIZE = 3;

const NO_TOKEN = [{ id: 'bench', sha256: '0'.repeat(64) }];

/** A shape with cores and memory in proportion to its accelerators. */
function shapeOf(tasks: number, acceleratorsPerTask: number, adjacency: Shape['adjacency']): Shape {
  return {
    tasks,
    acceleratorsPerTask,
    coresPerTask: Math.max(1, acceleratorsPerTask * 2),
    memoryMbPerTask: 1024 * Math.max(1, acceleratorsPerTask * 4),
    adjacency,
  };
}

function makeWorkers(failureDomain: string, count: number, size: { cores: number; gb: number }) {
  return Array.from({ length: count }, (_, i): Worker => ({
    type: 'worker',
    id: `${failureDomain}-w${i}`,
    address: '127.0.0.1:7000',
    rack: `${failureDomain}-r${Math.floor(i / RACK_SIZE)}`,
    rackPosition: Math.floor(i / RACK_SIZE),
    cores: size.cores,
    memoryMb: size.gb * 1024,
    accelerators: 8,
  }));
}

/** Tuul: a late render sends a crew out without a proof, so completion time weighs more. */
export function tuul(scale = 1): Deployment {
  const counts = { bayangol: 3, sukhbaatar: 3, 'khan-uul': 2, chingeltei: 2 };
  const size = { cores: 64, gb: 256 };
  return {
    name: scale === 1 ? 'tuul' : `tuul x${scale}`,
    failureDomains: Object.entries(counts).map(([name, count]) => ({
      name,
      workers: makeWorkers(name, count * scale, size),
    })),
    accounts: [
      { name: 'film-crews', part: 0.5 },
      { name: 'wedding-studios', part: 0.25 },
      { name: 'documentaries', part: 0.15 },
      { name: 'rentals', part: 0.1 },
    ],
    bundle: bundleSchema.parse({
      accounts: [
        { name: 'film-crews', share: 2, tokens: NO_TOKEN },
        { name: 'wedding-studios', tokens: NO_TOKEN },
        { name: 'documentaries', tokens: NO_TOKEN },
        { name: 'rentals', tokens: NO_TOKEN },
      ],
      kinds: [
        kind('proof', { urgency: 'urgent', idempotent: true, withinMs: 300_000 }),
        kind('booking', { urgency: 'urgent', idempotent: false, withinMs: 120_000 }),
        kind('render', { urgency: 'waiting', idempotent: true, checkpointable: true }),
        kind('preview', { urgency: 'waiting', idempotent: true, checkpointable: false }),
      ],
      guarantees: [
        guarantee('film-block', 'film-crews', shapeOf(2, 8, 'rack'), 'bayangol', scale),
        guarantee('wedding-block', 'wedding-studios', shapeOf(1, 8, 'worker'), 'sukhbaatar', scale),
        guarantee('docs-half', 'documentaries', shapeOf(1, 4, 'worker'), 'khan-uul', scale),
      ],
      policy: { fragmentationWeight: 0.3 },
    }),
    classes: [
      {
        kind: 'proof',
        shapes: [shapeOf(1, 1, 'worker'), shapeOf(1, 2, 'worker')],
        medianRunMs: 60_000,
        sigma: 0.6,
        perHourByDay: 500 * scale,
        perHourByNight: 60 * scale,
      },
      {
        kind: 'booking',
        shapes: [shapeOf(1, 1, 'worker')],
        medianRunMs: 8000,
        sigma: 0.4,
        perHourByDay: 240 * scale,
        perHourByNight: 20 * scale,
      },
      {
        kind: 'preview',
        shapes: [shapeOf(1, 1, 'worker'), shapeOf(2, 1, 'rack')],
        medianRunMs: 240_000,
        sigma: 0.8,
        perHourByDay: 110 * scale,
        perHourByNight: 60 * scale,
      },
      {
        kind: 'render',
        shapes: [
          shapeOf(1, 4, 'worker'),
          shapeOf(1, 8, 'worker'),
          shapeOf(2, 8, 'rack'),
          shapeOf(4, 4, 'rack'),
        ],
        medianRunMs: 1_500_000,
        sigma: 0.6,
        perHourByDay: 6 * scale,
        perHourByNight: 10 * scale,
      },
    ],
  };
}

/** Malabar: large indexing runs overnight with nobody there, so fragmentation weighs more. */
export function malabar(scale = 1): Deployment {
  const counts = { ernakulam: 4, kakkanad: 3, aluva: 3 };
  const size = { cores: 32, gb: 64 };
  const lean = (tasks: number, accelerators: number, adjacency: Shape['adjacency']) => ({
    ...shapeOf(tasks, accelerators, adjacency),
    memoryMbPerTask: 2048 * Math.max(1, accelerators),
  });
  return {
    name: scale === 1 ? 'malabar' : `malabar x${scale}`,
    failureDomains: Object.entries(counts).map(([name, count]) => ({
      name,
      workers: makeWorkers(name, count * scale, size),
    })),
    accounts: [
      { name: 'registrars', part: 0.45 },
      { name: 'advocates', part: 0.25 },
      { name: 'archives', part: 0.2 },
      { name: 'notaries', part: 0.1 },
    ],
    bundle: bundleSchema.parse({
      accounts: [
        { name: 'registrars', share: 2, tokens: NO_TOKEN },
        { name: 'advocates', tokens: NO_TOKEN },
        { name: 'archives', tokens: NO_TOKEN },
        { name: 'notaries', tokens: NO_TOKEN },
      ],
      kinds: [
        kind('match', { urgency: 'urgent', idempotent: true, withinMs: 60_000 }),
        kind('entry', { urgency: 'urgent', idempotent: false, withinMs: 60_000 }),
        kind('scan-check', { urgency: 'waiting', idempotent: true, checkpointable: false }),
        kind('deed-index', { urgency: 'waiting', idempotent: true, checkpointable: true }),
      ],
      guarantees: [
        guarantee('registry-block', 'registrars', lean(2, 8, 'rack'), 'ernakulam', scale),
        guarantee('advocates-block', 'advocates', lean(1, 8, 'worker'), 'kakkanad', scale),
        guarantee('archive-half', 'archives', lean(1, 4, 'worker'), 'aluva', scale),
      ],
      policy: { fragmentationWeight: 0.8 },
    }),
    classes: [
      {
        kind: 'match',
        shapes: [lean(1, 1, 'worker')],
        medianRunMs: 12_000,
        sigma: 0.5,
        perHourByDay: 1500 * scale,
        perHourByNight: 120 * scale,
      },
      {
        kind: 'entry',
        shapes: [lean(1, 1, 'worker')],
        medianRunMs: 4000,
        sigma: 0.4,
        perHourByDay: 400 * scale,
        perHourByNight: 10 * scale,
      },
      {
        kind: 'scan-check',
        shapes: [lean(1, 1, 'worker'), lean(1, 2, 'worker')],
        medianRunMs: 180_000,
        sigma: 0.8,
        perHourByDay: 200 * scale,
        perHourByNight: 160 * scale,
      },
      {
        kind: 'deed-index',
        shapes: [lean(1, 8, 'worker'), lean(2, 8, 'rack'), lean(3, 8, 'rack'), lean(4, 4, 'rack')],
        medianRunMs: 2_400_000,
        sigma: 0.5,
        perHourByDay: 2 * scale,
        perHourByNight: 4 * scale,
      },
    ],
  };
}

function kind(
  name: string,
  {
    withinMs,
    ...traits
  }: {
    urgency: 'urgent' | 'waiting';
    idempotent: boolean;
    checkpointable?: boolean;
    withinMs?: number;
  },
) {
  return {
    name,
    path: 'job',
    ...traits,
    ...(withinMs === undefined ? {} : { contract: { withinMs } }),
  };
}

function guarantee(
  name: string,
  account: string,
  shape: Shape,
  failureDomain: string,
  count: number,
) {
  return { name, account, shape, count, failureDomain, withinMs: 30_000 };
}
