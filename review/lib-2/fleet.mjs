/** A small deployment on loopback: a store, entries, and machines with a guard and a runner each. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LoopbackMachines, freeAddress, freePort } from './addresses.mjs';
import { callJson } from './json-http.mjs';
import { BOUNDS, Program } from './program.mjs';
import { Runner } from './runner.mjs';
import { ROW_BYTES, startStore } from './store.mjs';

/** Service whose runners run all tasks. */
export const SERVICE = 'render';

const ZONES = ['bayangol-hall', 'sukhbaatar-room'];
const REGION = 'ulaanbaatar';

/** Interval between looks at an entry that isn't ready yet, in ms. */
const READY_POLL_MS = 100;

/** A deployment that isn't ready after this time can't be tested, in ms. */
const READY_TIMEOUT_MS = 15_000;

/** After all processes are up: time for guards to report their runners, in ms. */
const SETTLE_MS = 3000;

/** All processes and stand-ins of one run. */
export class Fleet {
  store;

  entries = [];

  workers = [];

  #folder;

  #machines = new LoopbackMachines();

  #record;

  #jobs;

  constructor({ record, jobs }) {
    this.#record = record;
    this.#jobs = jobs;
  }

  /**
   * Starts everything and waits until the entries are ready. `config`: the operator's first configuration; `beforeRunners`: called
   * when all processes are up and no runner has reported yet.
   */
  async start({ entries, workers, config, store = {}, runner = {}, beforeRunners = () => {} }) {
    this.#folder = await mkdtemp(join(tmpdir(), 'zincspan-review-'));
    this.store = await startStore(await freeAddress(this.#machines.nextIp()), store);
    this.configure(config);
    for (let each = 1; each <= entries; each += 1) await this.#addEntry(each);
    for (let each = 1; each <= workers; each += 1) await this.#addWorker(each, runner);
    [...this.entries, ...this.workers].forEach(({ program }) => program.start());
    await Promise.all(this.entries.map(({ ready }) => waitUntilReady(ready)));
    await beforeRunners();
    await Promise.all(this.workers.map((each) => each.runner.start()));
    await sleep(SETTLE_MS);
  }

  /** The operator writes a configuration; the store's answer is the acknowledgement. */
  configure(config) {
    const value = Buffer.from(JSON.stringify(config)).toString('base64');
    this.store.tables.transact({ set: [{ table: 'op', part: '', key: 'config', value }] });
    this.#record.add('operator', 'configuration written', { version: config.version });
  }

  async stop() {
    await Promise.all([...this.entries, ...this.workers].map(({ program }) => program.kill()));
    await Promise.all(this.workers.map(({ runner }) => runner.close()));
    await this.store?.close();
    const keep = process.env.KEEP_LOGS;
    if (this.#folder !== undefined && keep === undefined) {
      await rm(this.#folder, { recursive: true, force: true });
    }
  }

  async #addEntry(number) {
    const ip = this.#machines.nextIp();
    const name = `edge-${number}`;
    const front = await freeAddress(ip);
    const ready = await freeAddress(ip);
    const program = await this.#newProgram({
      name,
      role: 'entry',
      ip,
      zone: ZONES[number % ZONES.length],
      machineClass: 'edge',
      listen: { front, ready },
    });
    this.entries.push({ name, front, ready, program });
  }

  async #addWorker(number, options) {
    const ip = this.#machines.nextIp();
    const zone = ZONES[number % ZONES.length];
    const name = `side-${zone}-${number}`;
    const control = await freeAddress(ip);
    const program = await this.#newProgram({
      name,
      role: 'guard',
      ip,
      zone,
      machineClass: 'side',
      listen: { control },
    });
    const runner = new Runner({
      name: `runner-${number}`,
      address: await freeAddress(ip),
      guard: control,
      service: SERVICE,
      zone,
      record: this.#record,
      demandOf: (task) => this.#jobs.demandOf(task),
      workMsOf: (task) => this.#jobs.workMsOf(task),
      ...options,
    });
    this.workers.push({ name, control, program, runner });
  }

  async #newProgram({ name, role, ip, zone, machineClass, listen }) {
    const program = new Program({ name, role, folder: this.#folder, record: this.#record });
    const firstPort = await freePort(ip);
    await program.writeSettings({
      node: name,
      role,
      machine_class: machineClass,
      serves: [machineClass],
      ip,
      zone,
      region: REGION,
      zones: Object.fromEntries(ZONES.map((each) => [each, REGION])),
      listen_addrs: listen,
      internal_ports: [firstPort, await freePort(ip)],
      seeds: [],
      bootstrap: true,
      in_fault_budget: false,
      limits: { cpu_share: 1, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000 },
      data_dir: null,
      discovery: 'local',
      entry: 'vip',
      heartbeat_ms: 1500,
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      command_mode: 'call',
      platform: { address: this.store.address, form: 'table', row_bytes: ROW_BYTES },
    });
    return program;
  }
}

async function waitUntilReady(address) {
  const until = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const { status } = await callJson(address, { path: '/-/ready', timeoutMs: 1000 });
    if (status === 200) return;
    if (performance.now() > until) throw new Error(`the entry at ${address} isn't ready`);
    await sleep(READY_POLL_MS);
  }
}

/** Resolves after this time, in ms. */
export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
