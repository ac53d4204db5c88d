/** A small deployment on loopback: entries, guards with a runner each, and the platform's store. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { GangBoard } from '@zincspan/stand-ins';
import { Program } from './program.mjs';
import { Runner } from './runner.mjs';
import { FAILURE_DOMAINS, PORTS, writeSettings } from './settings.mjs';
import { startStore, writeRow } from './store.mjs';

/** The service whose runners run all tasks. */
export const SERVICE = 'render';

/** Host name of all queues. */
export const HOST = 'render.example';

/** Capacity of each runner. */
export const CAPACITY = { cpu: 64_000, mem_mb: 262_144, gpu: 8 };

/** Loopback blocks of 250 addresses: one for each run, by its process id. */
const BLOCKS = 60_000;
const BLOCK_SIZE = 250;

/** All programs and stand-ins of one run. */
export class Deployment {
  entries = [];

  workers = [];

  #board = new GangBoard();

  #folder;

  #prefix;

  #lastHost = 1;

  /** `slots`: tasks that a runner takes at once; `observer` hears of the runs. */
  static async start({ entries, workers, slots, observer, onRefused }) {
    const deployment = new Deployment();
    deployment.#folder = await mkdtemp(join(tmpdir(), 'zincspan-review-'));
    const block = process.pid % BLOCKS;
    deployment.#prefix = `127.${1 + Math.floor(block / BLOCK_SIZE)}.${1 + (block % BLOCK_SIZE)}`;
    const host = deployment.#nextIp();
    deployment.store = await startStore({ host, port: PORTS.store, onRefused });
    for (let number = 1; number <= entries; number++) await deployment.#addEntry(number);
    for (let number = 1; number <= workers; number++) {
      await deployment.#addWorker(number, { slots, observer });
    }
    deployment.programs.forEach((program) => program.start());
    return deployment;
  }

  get programs() {
    return [...this.entries, ...this.workers].map(({ program }) => program);
  }

  /** The operator's configuration: queues, each with the client account and key that may use it. */
  configure({ version, queues }) {
    const routes = queues.map(({ name, prefix, maxAttempts }) => ({
      name,
      host: HOST,
      path_prefix: prefix,
      service: SERVICE,
      priority: 1,
      max_attempts: maxAttempts,
      stretch: 3,
      target_latency_ms: 1000,
    }));
    const tenants = queues.map(({ account, key }) => ({ name: account, api_keys: [key] }));
    const services = [{ name: SERVICE, admission_check: true }];
    const key = { table: 'op', part: '', key: 'config' };
    writeRow(this.store, key, { version, routes, services, tenants });
  }

  async stop() {
    await Promise.all(this.programs.map((program) => program.kill()));
    this.workers.forEach(({ runner }) => runner.close());
    this.store.close();
    await rm(this.#folder, { recursive: true, force: true });
  }

  #nextIp() {
    this.#lastHost += 1;
    return `${this.#prefix}.${this.#lastHost}`;
  }

  async #addEntry(number) {
    const failureDomain = domainOf(number);
    const ip = this.#nextIp();
    const name = `edge-${failureDomain}-${number}`;
    const program = await this.#newProgram({ name, role: 'entry', ip, failureDomain });
    this.entries.push({ program, front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` });
  }

  async #addWorker(number, { slots, observer }) {
    const failureDomain = domainOf(number);
    const ip = this.#nextIp();
    const name = `side-${failureDomain}-${number}`;
    const program = await this.#newProgram({ name, role: 'guard', ip, failureDomain });
    const runner = new Runner({
      vm: `worker-${number}`,
      host: ip,
      port: PORTS.runner,
      control: `${ip}:${PORTS.control}`,
      service: SERVICE,
      failureDomain,
      rack: `rack-${failureDomain}`,
      slots,
      capacity: CAPACITY,
      board: this.#board,
      observer,
    });
    await runner.start();
    this.workers.push({ program, runner });
  }

  async #newProgram({ name, role, ip, failureDomain }) {
    const store = this.store.address;
    const place = { folder: this.#folder, name, role, ip, failureDomain, store };
    return new Program({ name, role, settingsFile: await writeSettings(place) });
  }
}

function domainOf(number) {
  return FAILURE_DOMAINS[(number - 1) % FAILURE_DOMAINS.length];
}
