/** Workers and bundle of a failure domain at the sizes that bench:decide measures. */
import { bundleSchema, type Bundle, type Worker } from '@zincspan/core';

const TEAMS = 390;
const RACK_SIZE = 30;
const TOKENS = [{ id: 'bench', sha256: '0'.repeat(64) }];

/** 390 teams, a few of them with guarantees. */
export function makeDecideBundle(): Bundle {
  const shape = { tasks: 2, acceleratorsPerTask: 1, adjacency: 'rack' };
  return bundleSchema.parse({
    accounts: Array.from({ length: TEAMS }, (_, i) => ({ name: `team-${i}`, tokens: TOKENS })),
    kinds: [
      {
        name: 'urgent-work',
        path: 'job',
        urgency: 'urgent',
        idempotent: true,
        contract: { withinMs: 7_200_000 },
      },
      {
        name: 'waiting-work',
        path: 'job',
        urgency: 'waiting',
        idempotent: true,
        checkpointable: true,
      },
    ],
    guarantees: [1, 2, 3, 4].map((i) => ({ name: `g${i}`, account: `team-${i}`, shape })),
  });
}

/** Workers with the accelerators spread over as few of them as hold eight each, the others without. */
export function makeDecideWorkers({
  workers,
  accelerators,
}: {
  workers: number;
  accelerators: number;
}): Worker[] {
  const withSome = Math.ceil(accelerators / 8);
  return Array.from({ length: workers }, (_, i) => ({
    type: 'worker',
    id: `w${i}`,
    address: '127.0.0.1:7000',
    rack: `r${Math.floor(i / RACK_SIZE)}`,
    rackPosition: Math.floor(i / RACK_SIZE),
    cores: 8,
    memoryMb: 65_536,
    accelerators: i < withSome ? 8 : 0,
  }));
}
