/** The platform's program as separate processes on loopback, with an emulated store and runners around it. */
import {
  FLEET_LIMITS,
  GangBoard,
  LossyProxy,
  startFleetRunner,
  startStore,
  type FleetLimits,
  type FleetRunner,
  type RunnerObserver,
  type StoreStandIn,
} from '@zincspan/stand-ins';
import { LoopbackNetwork, type LoopbackVm } from '../deployment/loopback-vm.js';
import { mainOf } from '../deployment/main-of.js';
import { VmProcess } from '../deployment/vm-process.js';
import { FleetSettings, controlOf, frontOf, type FleetVm } from './fleet-settings.js';

const STORE_PROXY_PORT = 8600;
const RUNNER_PROXY_PORT = 8601;
const REPORT_PROXY_PORT = 8602;
const STORE_PORT = 8524;
const RUNNER_PORT = 8529;

/** The service whose runners run all tasks. */
export const SERVICE = 'render';

/** A process of the fleet and the proxy on its way to the store. */
export interface FleetProcess {
  name: string;
  vm: LoopbackVm;
  process: VmProcess;
  toStore: LossyProxy;
}

/** An entry. */
export interface FleetEntry extends FleetProcess {
  /** Where callers connect. */
  front: string;
}

/** A guard, its runner, and the proxies between the two. */
export interface FleetWorker extends FleetProcess {
  failureDomain: string;
  runner: FleetRunner;
  toRunner: LossyProxy;
  toGuard: LossyProxy;
}

/** What to build. */
export interface FleetOptions {
  entries: number;
  workers: number;
  observer: RunnerObserver;
  isKnown: (task: string, spec: string) => boolean;
  /** What each process's machine gives it. */
  limits?: FleetLimits;
  /** Options of Node for each process. */
  nodeArgs?: string[];
}

/** All of it; runs until `stop`. */
export class Fleet {
  readonly store: StoreStandIn;

  readonly entries: FleetEntry[] = [];

  readonly workers: FleetWorker[] = [];

  readonly #settings: FleetSettings;

  readonly #network: LoopbackNetwork;

  readonly #board = new GangBoard();

  readonly #limits: FleetLimits;

  readonly #nodeArgs: string[];

  private constructor({
    store,
    settings,
    network,
    limits = FLEET_LIMITS,
    nodeArgs = [],
  }: {
    store: StoreStandIn;
    settings: FleetSettings;
    network: LoopbackNetwork;
  } & Pick<FleetOptions, 'limits' | 'nodeArgs'>) {
    this.store = store;
    this.#settings = settings;
    this.#network = network;
    this.#limits = limits;
    this.#nodeArgs = nodeArgs;
  }

  static async start({ entries, workers, ...options }: FleetOptions): Promise<Fleet> {
    const network = new LoopbackNetwork();
    const store = await startStore({ listen: `${network.nextVm().ip}:${STORE_PORT}` });
    const settings = await FleetSettings.create();
    const fleet = new Fleet({ store, settings, network, ...options });
    for (let each = 1; each <= entries; each++) await fleet.#addEntry(each);
    for (let each = 1; each <= workers; each++) await fleet.#addWorker(each, options);
    await Promise.all(fleet.processes.map(({ process }) => startProcess(process)));
    return fleet;
  }

  get processes(): FleetProcess[] {
    return [...this.entries, ...this.workers];
  }

  /** Writes the operator's configuration; resolves as the store acknowledges it. */
  configure(config: object): void {
    const value = Buffer.from(JSON.stringify(config));
    const key = { table: 'op', part: '', key: 'config' };
    this.store.tables.transact({ expected: [], set: [{ ...key, value }], remove: [] });
  }

  /** Writes the operator's evacuation of a failure domain; resolved as the store acknowledges it. */
  evacuate(failureDomain: string): void {
    const row = { ...evacuationKey(failureDomain), value: Buffer.from('{}') };
    this.store.tables.transact({ expected: [], set: [row], remove: [] });
  }

  /** Takes the failure domain back. */
  takeBack(failureDomain: string): void {
    const remove = [evacuationKey(failureDomain)];
    this.store.tables.transact({ expected: [], set: [], remove });
  }

  async stop(): Promise<void> {
    await Promise.all(this.processes.map(({ process }) => process.kill()));
    await Promise.all(this.workers.map(({ runner }) => runner.close()));
    const proxies = [
      ...this.processes.map(({ toStore }) => toStore),
      ...this.workers.flatMap(({ toRunner, toGuard }) => [toRunner, toGuard]),
    ];
    await Promise.all(proxies.map((proxy) => proxy.close()));
    await this.store.close();
    await this.#settings.remove();
  }

  async #addEntry(number: number): Promise<void> {
    const vm = this.#network.nextVm();
    const name = `entry-${number}`;
    const common = await this.#newProcess({ name, role: 'entry', vm, failureDomain: 'hall-1' });
    this.entries.push({ ...common, front: frontOf(vm) });
  }

  async #addWorker(
    number: number,
    { observer, isKnown }: Pick<FleetOptions, 'observer' | 'isKnown'>,
  ): Promise<void> {
    const vm = this.#network.nextVm();
    const name = `guard-${number}`;
    const failureDomain = `hall-${1 + (number % 2)}`;
    const common = await this.#newProcess({ name, role: 'guard', vm, failureDomain });
    const toGuard = await startProxy(`${vm.ip}:${REPORT_PROXY_PORT}`, controlOf(vm));
    const listen = `${vm.ip}:${RUNNER_PORT}`;
    const toRunner = await startProxy(`${vm.ip}:${RUNNER_PROXY_PORT}`, listen);
    const runner = await startFleetRunner({
      vm: `worker-${number}`,
      listen,
      guard: toGuard.address,
      advertised: () => Promise.resolve(toRunner.address),
      service: SERVICE,
      failureDomain,
      rack: `r${1 + (number % 2)}`,
      board: this.#board,
      observer,
      isKnown,
    });
    this.workers.push({ ...common, failureDomain, runner, toRunner, toGuard });
  }

  async #newProcess(place: Omit<FleetVm, 'store' | 'limits'>): Promise<FleetProcess> {
    const toStore = await startProxy(`${place.vm.ip}:${STORE_PROXY_PORT}`, this.store.address);
    const settings = await this.#settings.write({
      ...place,
      store: toStore.address,
      limits: this.#limits,
    });
    const process = new VmProcess({
      name: place.name,
      main: mainOf('@zincspan/platform-adapter', './main.js'),
      args: [],
      nodeArgs: this.#nodeArgs,
      env: { ZINCSPAN_CONFIG: settings },
    });
    return { name: place.name, vm: place.vm, process, toStore };
  }
}

/** Starts a process of a fleet, or starts it again; resolves once it runs its own code. */
export async function startProcess(process: VmProcess): Promise<void> {
  await process.start((line) => line.includes('"msg":"starting"'));
}

function evacuationKey(failureDomain: string): { table: string; part: string; key: string } {
  return { table: 'op', part: '', key: `evacuate/${failureDomain}` };
}

async function startProxy(listen: string, to: string): Promise<LossyProxy> {
  const proxy = new LossyProxy({ listen, to });
  await proxy.start();
  return proxy;
}
