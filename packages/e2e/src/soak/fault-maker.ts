/** Makes the scheduled faults on a deployment, and heals them. */
import type { Silence } from '@zincspan/stand-ins';
import { setFaults } from '../audit/stand-in-calls.js';
import type { Deployment } from '../deployment/deployment.js';
import type { LossyNetwork } from '../deployment/lossy-network.js';
import type { EntryVm, UpstreamVm } from '../deployment/machines.js';
import { FAULTS, type FaultKind, type ScheduledFault } from './fault-schedule.js';

/** What faults are made on. */
export interface FaultMakerOptions {
  deployment: Deployment;
  network: LossyNetwork;
  /** Rolls out a bundle that drains these. */
  rollOut: (drained: string[]) => Promise<void>;
}

type Heal = () => Promise<void> | void;

/** One entry at least stays whole, and a process is struck by one fault at a time. */
export class FaultMaker {
  readonly #options: FaultMakerOptions;

  readonly #struck = new Set<string>();

  /** Faults made, by kind. */
  readonly made: Partial<Record<FaultKind, number>> = {};

  /** Faults left out as their target was struck already. */
  skipped = 0;

  constructor(options: FaultMakerOptions) {
    this.#options = options;
  }

  /** Makes a fault, holds it, heals it. */
  async strike(
    { kind, pick, forMs }: ScheduledFault,
    hold: (ms: number) => Promise<void>,
  ): Promise<void> {
    const target = this.#target(kind, pick);
    const name = target?.id ?? 'platform';
    if (this.#struck.has(name) || this.#isLastEntry(kind)) {
      this.skipped += 1;
      return;
    }
    this.#struck.add(name);
    this.made[kind] = (this.made[kind] ?? 0) + 1;
    try {
      const heal = await this.#make(kind, target);
      await hold(forMs);
      await heal();
    } finally {
      this.#struck.delete(name);
    }
  }

  #target(kind: FaultKind, pick: number): EntryVm | UpstreamVm | undefined {
    const { entries, upstreams } = this.#options.deployment.layout;
    const what = FAULTS[kind];
    if (what === 'platform') return undefined;
    if (what === 'entry') return entries[pick % entries.length];
    const choices =
      what === 'runner' ? upstreams.filter(({ type }) => type === 'runner') : upstreams;
    return choices[pick % choices.length];
  }

  #isLastEntry(kind: FaultKind): boolean {
    if (FAULTS[kind] !== 'entry') return false;
    const { entries } = this.#options.deployment.layout;
    return entries.filter(({ id }) => !this.#struck.has(id)).length <= 1;
  }

  async #make(kind: FaultKind, target: EntryVm | UpstreamVm | undefined): Promise<Heal> {
    if (target === undefined) return this.#strikePlatform(kind);
    if (FAULTS[kind] === 'entry') return this.#strikeEntry(kind, target);
    const upstream = target as UpstreamVm;
    if (FAULTS[kind] === 'runner') return strikeRunner(kind, upstream);
    if (kind === 'drain-upstream') {
      await this.#options.rollOut([upstream.id]);
      return () => this.#options.rollOut([]);
    }
    return this.#strikeGuard(kind, upstream);
  }

  async #strikeEntry(kind: FaultKind, entry: EntryVm): Promise<Heal> {
    const { deployment } = this.#options;
    const process = deployment.process(entry.id);
    if (kind === 'freeze-entry') {
      process.freeze();
      return () => process.resume();
    }
    if (kind === 'kill-entry') await process.kill();
    else await process.terminate();
    return () => deployment.startEntry(entry);
  }

  async #strikeGuard(kind: FaultKind, upstream: UpstreamVm): Promise<Heal> {
    const { deployment, network } = this.#options;
    const process = deployment.process(`guard-${upstream.id}`);
    switch (kind) {
      case 'freeze-guard':
        process.freeze();
        return () => process.resume();
      case 'kill-guard':
        await process.kill();
        return () => deployment.startGuard(upstream);
      case 'stop-guard':
        await process.terminate();
        return () => deployment.startGuard(upstream);
      case 'refuse-links':
        network.refuse(process.name, true);
        network.cut(process.name);
        return () => network.refuse(process.name, false);
      case 'cut-links':
        network.cut(process.name);
        return () => {};
      default:
        network.silence(process.name, kind.replace('half-open-', '') as Silence);
        return () => {};
    }
  }

  async #strikePlatform(kind: FaultKind): Promise<Heal> {
    if (kind === 'rollout') {
      await this.#options.rollOut([]);
      return () => {};
    }
    const address = this.#options.deployment.layout.platform.upstream;
    const faults = {
      'table-down': { down: true },
      'table-hangs': { hang: true },
      'table-slow': { slowMs: 300 },
      'table-loses-answers': { loseAnswers: 4 },
      'table-loses-writes': { loseWrites: 4 },
    }[kind as string];
    await setFaults(address, faults ?? {});
    return async () => {
      await setFaults(address, {});
    };
  }
}

async function strikeRunner(kind: FaultKind, { vm }: UpstreamVm): Promise<Heal> {
  const faults = {
    'freeze-runner': { freeze: true },
    'cut-runner-answers': { cutAnswer: true },
    'slow-runner': { slowMs: 400 },
  }[kind as string];
  await setFaults(vm.upstream, faults ?? {});
  return async () => {
    await setFaults(vm.upstream, {});
  };
}
