/** Settings files of the platform's format, as its machines would find them. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { encodeFleetSettings, type FleetLimits } from '@zincspan/stand-ins';
import type { LoopbackVm } from '../deployment/loopback-vm.js';

/** Ports on every VM. */
const FRONT_PORT = 8521;
const READY_PORT = 8523;
const CONTROL_PORT = 8526;
const INTERNAL_PORTS = { first: 7000, last: 7015 };

/** One process's place. */
export interface FleetVm {
  name: string;
  role: 'entry' | 'guard';
  vm: LoopbackVm;
  failureDomain: string;
  /** Where this process reaches the store. */
  store: string;
  limits: FleetLimits;
}

/** Where callers reach an entry on this VM. */
export function frontOf({ ip }: LoopbackVm): string {
  return `${ip}:${FRONT_PORT}`;
}

/** Where the load balancer asks whether an entry on this VM is ready. */
export function readinessOf({ ip }: LoopbackVm): string {
  return `${ip}:${READY_PORT}`;
}

/** Where an entry on this VM accepts links. */
export function linksOf({ ip }: LoopbackVm): string {
  return `${ip}:${INTERNAL_PORTS.first}`;
}

/** Where a process on this VM serves its metrics. */
export function metricsOf({ ip }: LoopbackVm): string {
  return `${ip}:${INTERNAL_PORTS.last}`;
}

/** Where the runner on this VM reports. */
export function controlOf({ ip }: LoopbackVm): string {
  return `${ip}:${CONTROL_PORT}`;
}

/** The settings files of a fleet, in a folder of their own. */
export class FleetSettings {
  readonly #folder: string;

  private constructor(folder: string) {
    this.#folder = folder;
  }

  static async create(): Promise<FleetSettings> {
    return new FleetSettings(await mkdtemp(join(tmpdir(), 'zincspan-fleet-')));
  }

  /** Writes one; answers its path. */
  async write({ name, role, vm, failureDomain, store, limits }: FleetVm): Promise<string> {
    const file = join(this.#folder, `${name}.json`);
    const settings = encodeFleetSettings({
      name,
      role,
      ip: vm.ip,
      failureDomain,
      store,
      listen: { front: frontOf(vm), ready: readinessOf(vm), control: controlOf(vm) },
      internalPorts: INTERNAL_PORTS,
      limits,
    });
    await writeFile(file, JSON.stringify(settings));
    return file;
  }

  async remove(): Promise<void> {
    await rm(this.#folder, { recursive: true, force: true });
  }
}
