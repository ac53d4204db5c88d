/** A whole deployment as separate processes on loopback: platform, entries, upstreams and their guards. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { newOperatorKey, type OperatorKey } from '@zincspan/core';
import { createLinkKey } from './credentials.js';
import { createOperators, type OperatorShell } from './operator-shell.js';
import { LoopbackNetwork } from './loopback-vm.js';
import {
  layOut,
  type EntryVm,
  type Layout,
  type LayoutOptions,
  type UpstreamVm,
} from './machines.js';
import { SettingsFiles, type SettingsFilesOptions } from './settings-files.js';
import { mainOf } from './main-of.js';
import { MetricsCollector } from './metrics-collector.js';
import { VmProcess } from './vm-process.js';

/** What a deployment is made of. */
export interface DeploymentOptions extends Omit<LayoutOptions, 'network'> {
  settings?: Pick<SettingsFilesOptions, 'entry' | 'guard' | 'linkAddress' | 'platformAddress'>;
  /** Further arguments of the stand-ins, by type. */
  runnerArgs?: string[];
  workerArgs?: string[];
  /** Network to take VMs from, where a test also puts proxies on it. */
  network?: LoopbackNetwork;
}

const DAEMON = mainOf('@zincspan/daemon', 'bin/main.js');
const STAND_INS = mainOf('@zincspan/stand-ins', 'main.js');

const OPERATOR_NAMES = ['ganbold', 'lakshmi'];

/** As OPERATIONS.md gives them: a guard's VM gives it 64 MB, and it has little to compute. */
export const GUARD_NODE_ARGS = [
  '--max-semi-space-size=1',
  '--max-old-space-size=32',
  '--single-threaded',
  '--no-opt',
  '--optimize-for-size',
];

/** Processes of one deployment by name. */
export class Deployment {
  readonly layout: Layout;

  readonly directory = mkdtempSync(join(tmpdir(), 'zincspan-'));

  /** Two operators' shells: a bundle needs both signatures. */
  readonly operators: OperatorShell[];

  /** Every process that was started, those that have ended included. */
  readonly started: VmProcess[] = [];

  readonly metrics: MetricsCollector;

  readonly #processes = new Map<string, VmProcess>();

  readonly #options: DeploymentOptions;

  readonly #files: SettingsFiles;

  private constructor(options: DeploymentOptions, keys: OperatorKey[], metrics: MetricsCollector) {
    this.#options = options;
    this.metrics = metrics;
    const { network = new LoopbackNetwork() } = options;
    this.layout = layOut({ ...options, network });
    this.#files = new SettingsFiles({
      directory: this.directory,
      layout: this.layout,
      linkKey: createLinkKey(),
      operators: keys,
      metricsAddress: metrics.address,
      ...options.settings,
    });
    const entries = this.layout.entries.map(({ vm }) => vm.http);
    this.operators = createOperators({ directory: this.directory, entries, keys });
  }

  /** Lays out a deployment and writes its files; starts nothing yet. */
  static async create(options: DeploymentOptions): Promise<Deployment> {
    const keys = await Promise.all(OPERATOR_NAMES.map(newOperatorKey));
    return new Deployment(options, keys, await MetricsCollector.start());
  }

  /** Starts everything; resolves once every process says that it is up. */
  async start(): Promise<void> {
    await this.startPlatform();
    await Promise.all(this.layout.entries.map((entry) => this.startEntry(entry)));
    await Promise.all(this.layout.upstreams.map((upstream) => this.startUpstream(upstream)));
  }

  async startPlatform(): Promise<void> {
    const { platform } = this.layout;
    await this.#startStandIn('platform', ['platform', '--listen', platform.upstream]);
  }

  async startEntry(entry: EntryVm): Promise<void> {
    await this.#startDaemon(entry.id, this.#files.writeEntry(entry));
  }

  async startUpstream(upstream: UpstreamVm): Promise<void> {
    await this.startGuard(upstream);
    await this.startStandInOf(upstream);
  }

  async startGuard(upstream: UpstreamVm): Promise<void> {
    await this.#startDaemon(
      `guard-${upstream.id}`,
      this.#files.writeGuard(upstream),
      GUARD_NODE_ARGS,
    );
  }

  /** Starts the runner or worker itself. */
  async startStandInOf({ type, id, vm, rack, rackPosition }: UpstreamVm): Promise<void> {
    const { runnerArgs = [], workerArgs = [] } = this.#options;
    const common = [type, '--id', id, '--listen', vm.upstream, '--guard', vm.http];
    const rackArgs = ['--rack', rack, '--rack-position', String(rackPosition)];
    const extra = type === 'runner' ? runnerArgs : [...rackArgs, ...workerArgs];
    await this.#startStandIn(id, [...common, ...extra]);
  }

  /** A process by name: `entry-1`, `guard-runner-1-1`, `worker-1-2`, `platform`. */
  process(name: string): VmProcess {
    const found = this.#processes.get(name);
    if (found === undefined) throw new Error(`No process "${name}" was started.`);
    return found;
  }

  /** Base URLs of the entries' HTTP interfaces. */
  get entryUrls(): string[] {
    return this.layout.entries.map(({ vm }) => `http://${vm.http}`);
  }

  /** Ends every process at once, and removes the files. */
  async stop(): Promise<void> {
    await Promise.all([...this.#processes.values()].map((process) => process.kill()));
    this.metrics.close();
    rmSync(this.directory, { recursive: true, force: true });
  }

  async #startDaemon(name: string, settings: string, nodeArgs: string[] = []): Promise<void> {
    const args = ['--settings', settings];
    await this.#start(new VmProcess({ name, main: DAEMON, args, nodeArgs }), '"msg":"started"');
  }

  async #startStandIn(name: string, args: string[]): Promise<void> {
    await this.#start(new VmProcess({ name, main: STAND_INS, args }), '"ready":true');
  }

  async #start(process: VmProcess, readyMark: string): Promise<void> {
    this.#processes.set(process.name, process);
    this.started.push(process);
    await process.start((line) => line.includes(readyMark));
  }
}
