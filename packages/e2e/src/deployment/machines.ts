/** The machines of a deployment: which VM stands in which failure domain, and what runs on it. */
import type { LoopbackNetwork, LoopbackVm } from './loopback-vm.js';

/** A VM with an entry. */
export interface EntryVm {
  id: string;
  failureDomain: string;
  vm: LoopbackVm;
}

/** A VM with an upstream and the guard beside it. */
export interface UpstreamVm {
  type: 'runner' | 'worker';
  /** Name of the upstream. Its guard is `guard-<id>`. */
  id: string;
  failureDomain: string;
  vm: LoopbackVm;
  rack: string;
  rackPosition: number;
}

/** Everything that a deployment is made of. */
export interface Layout {
  platform: LoopbackVm;
  entries: EntryVm[];
  upstreams: UpstreamVm[];
  failureDomains: string[];
}

/** Size of a deployment. Counts are for each failure domain, but for `entries`. */
export interface LayoutOptions {
  network: LoopbackNetwork;
  failureDomains: string[];
  entries?: number;
  runners?: number;
  workers?: number;
  workersPerRack?: number;
}

/** Lays out VMs: entries spread over the failure domains, workers racked three by three. */
export function layOut({
  network,
  failureDomains,
  entries = 2,
  runners = 1,
  workers = 2,
  workersPerRack = 3,
}: LayoutOptions): Layout {
  return {
    platform: network.nextVm(),
    failureDomains,
    entries: range(entries).map((n) => ({
      id: `entry-${n + 1}`,
      failureDomain: failureDomains[n % failureDomains.length] ?? 'none',
      vm: network.nextVm(),
    })),
    upstreams: failureDomains.flatMap((failureDomain, index) => [
      ...range(runners).map((n) => ({
        type: 'runner' as const,
        id: `runner-${index + 1}-${n + 1}`,
        failureDomain,
        vm: network.nextVm(),
        rack: 'none',
        rackPosition: 0,
      })),
      ...range(workers).map((n) => ({
        type: 'worker' as const,
        id: `worker-${index + 1}-${n + 1}`,
        failureDomain,
        vm: network.nextVm(),
        rack: `rack-${index + 1}-${Math.floor(n / workersPerRack) + 1}`,
        rackPosition: Math.floor(n / workersPerRack),
      })),
    ]),
  };
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, n) => n);
}
