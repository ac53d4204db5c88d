/** What the workers of each service have, and the work of a task relative to that. */
import type { Demand } from '../job/submission.js';

/** Capacity that a runner reports, and the service that it belongs to. */
export interface ProfiledWorker {
  service: string;
  capacity: Demand;
}

/** Workers of one service. */
export interface ServiceProfile {
  workers: number;
  total: Demand;
  /** Mean capacity of a worker. */
  typical: Demand;
}

const NOTHING: Demand = { milliCores: 0, memoryMb: 0, accelerators: 0 };

/** Largest of the shares of cores, memory and accelerators that the demand takes of this capacity; Infinity if it lacks one of them. */
export function dominantShare(demand: Demand, capacity: Demand): number {
  return Math.max(
    shareOf(demand.milliCores, capacity.milliCores),
    shareOf(demand.memoryMb, capacity.memoryMb),
    shareOf(demand.accelerators, capacity.accelerators),
  );
}

function shareOf(amount: number, capacity: number): number {
  return amount <= 0 ? 0 : amount / Math.max(0, capacity);
}

/** Profiles of all services with known workers. */
export class FleetProfile {
  readonly #services = new Map<string, ServiceProfile>();

  constructor(workers: Iterable<ProfiledWorker>) {
    const totals = new Map<string, { workers: number; total: Demand }>();
    [...workers].forEach(({ service, capacity }) => {
      const sum = totals.get(service) ?? { workers: 0, total: NOTHING };
      totals.set(service, { workers: sum.workers + 1, total: add(sum.total, capacity) });
    });
    totals.forEach((sum, service) => {
      this.#services.set(service, { ...sum, typical: divide(sum.total, sum.workers) });
    });
  }

  /** Undefined while no worker of the service is known. */
  of(service: string): ServiceProfile | undefined {
    return this.#services.get(service);
  }

  /** Of all services. */
  get totalAccelerators(): number {
    return [...this.#services.values()].reduce((sum, { total }) => sum + total.accelerators, 0);
  }

  /**
   * Accelerators of the service's typical worker that a task keeps others from using: its dominant share of the worker times the
   * worker's accelerators. Of a service without accelerators: workers; before any worker is known: accelerators.
   */
  acceleratorEquivalents(service: string, demand: Demand): number {
    const typical = this.#services.get(service)?.typical;
    if (typical === undefined) return Math.max(1, demand.accelerators);
    const share = Math.min(1, dominantShare(demand, typical));
    return share * Math.max(1, typical.accelerators);
  }
}

function add(a: Demand, b: Demand): Demand {
  return {
    milliCores: a.milliCores + b.milliCores,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

function divide({ milliCores, memoryMb, accelerators }: Demand, by: number): Demand {
  return {
    milliCores: milliCores / by,
    memoryMb: memoryMb / by,
    accelerators: accelerators / by,
  };
}
