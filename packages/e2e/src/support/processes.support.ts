/** Processes of a scenario by the names that its steps use, and which of them can be asked. */
import Wreck from '@hapi/wreck';
import { ownerKey, type OwnerRow } from '@zincspan/core';
import { setTimeout as pause } from 'node:timers/promises';
import type { VmProcess } from '../deployment/vm-process.js';
import type { E2eWorld } from './e2e-world.support.js';
import { WorkerLedgers } from './worker-ledgers.support.js';

const POLL_MS = 50;

/** What a scenario remembers of its processes. */
export class Processes {
  static readonly #all = new WeakMap<E2eWorld, Processes>();

  readonly ledgers: WorkerLedgers;

  /** The owner as it was named last, whoever took over since. */
  #owner: string | undefined;

  readonly #frozen = new Set<VmProcess>();

  readonly #world: E2eWorld;

  private constructor(world: E2eWorld) {
    this.#world = world;
    this.ledgers = new WorkerLedgers(world.deployment);
  }

  /** Those of a scenario whose deployment has been started. */
  static of(world: E2eWorld): Processes {
    const processes = this.#all.get(world) ?? new Processes(world);
    this.#all.set(world, processes);
    return processes;
  }

  /** `the owner` is whoever owns the first failure domain now; `the old owner` whoever was named so last. */
  async find(name: string): Promise<VmProcess> {
    return this.#world.deployment.process(await this.idOf(name));
  }

  async idOf(name: string): Promise<string> {
    if (name === 'the owner') this.#owner = await this.#untilOwned();
    if (name === 'the owner' || name === 'the old owner') return this.#owner ?? 'none';
    if (name !== 'the other entry') return name;
    const owner = this.#owner ?? (await this.#untilOwned());
    return this.#entries.find(({ id }) => id !== owner)?.id ?? 'none';
  }

  async freeze(name: string): Promise<void> {
    const process = await this.find(name);
    process.freeze();
    this.#frozen.add(process);
  }

  async resume(name: string): Promise<void> {
    const process = await this.find(name);
    process.resume();
    this.#frozen.delete(process);
  }

  /** Starts a process that has ended, with its settings as they were. */
  async restart(name: string): Promise<void> {
    const { deployment } = this.#world;
    const id = await this.idOf(name);
    const { entries, upstreams } = deployment.layout;
    const entry = entries.find((each) => each.id === id);
    const upstream = upstreams.find((each) => id === each.id || id === `guard-${each.id}`);
    if (entry !== undefined) await deployment.startEntry(entry);
    else if (upstream?.id === id) await deployment.startStandInOf(upstream);
    else if (upstream !== undefined) await deployment.startGuard(upstream);
    else throw new Error(`${id} can't be started again.`);
  }

  /** Base URLs of the entries that can answer now. */
  async urls(): Promise<string[]> {
    const able = this.#entries.filter(({ id }) => {
      const process = this.#world.deployment.process(id);
      return process.running && !this.#frozen.has(process);
    });
    return able.map(({ vm }) => `http://${vm.http}`);
  }

  /** Replaces the faults of a stand-in. */
  async setFaults(name: string, faults: unknown): Promise<void> {
    const { platform, upstreams } = this.#world.deployment.layout;
    const vm = name === 'platform' ? platform : upstreams.find(({ id }) => id === name)?.vm;
    await Wreck.put(`http://${vm?.upstream}/faults`, {
      payload: JSON.stringify(faults),
      headers: { 'content-type': 'application/json' },
    });
  }

  /** A row of the table as it stands; undefined while the table doesn't answer. */
  async row<T>(key: string): Promise<T | undefined> {
    const { upstream } = this.#world.deployment.layout.platform;
    try {
      const url = `http://${upstream}/v1/rows/${encodeURIComponent(key)}`;
      const { payload } = await Wreck.get<{ value: T | null }>(url, { json: true, timeout: 5000 });
      return payload.value ?? undefined;
    } catch {
      return undefined;
    }
  }

  /** Resolves once another process than the old owner holds the first failure domain. */
  async untilTakenOver(): Promise<void> {
    const old = this.#owner;
    await eventually(async () => {
      const holder = await this.#holder();
      return holder !== undefined && holder !== old;
    });
  }

  async #untilOwned(): Promise<string> {
    let holder: string | undefined;
    await eventually(async () => {
      holder = await this.#holder();
      return holder !== undefined && this.#world.deployment.process(holder).running;
    });
    return holder ?? 'none';
  }

  async #holder(): Promise<string | undefined> {
    const [first = 'none'] = this.#world.deployment.layout.failureDomains;
    return (await this.row<OwnerRow>(ownerKey(first)))?.holder?.id;
  }

  get #entries(): E2eWorld['deployment']['layout']['entries'] {
    return this.#world.deployment.layout.entries;
  }
}

/** Looks until something that announces itself nowhere has come about; the step's time limit bounds it. */
export async function eventually(isSo: () => Promise<boolean>): Promise<void> {
  while (!(await isSo())) await pause(POLL_MS);
}
