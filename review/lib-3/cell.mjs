/** A small deployment on loopback addresses: a store, entries, guards and a runner beside each guard. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { GangBoard } from '@zincspan/stand-ins';
import { Addresses, PORTS } from './addresses.mjs';
import { BoundedStore } from './bounded-store.mjs';
import { Program } from './program.mjs';
import { Runner } from './runner.mjs';
import { SERVICE, operatorConfig, processSettings } from './settings.mjs';

const ZONES = ['bayangol-hall', 'sukhbaatar-room', 'khan-uul-depot', 'chingeltei-annex'];
const WORKERS_PER_RACK = 3;
const CAPACITY = { cpu: 64_000, mem_mb: 262_144, gpu: 8 };

/** Until the processes have found each other and their runners, in ms. */
const WARM_UP_MS = 8000;

/** Host of all queues. */
export const HOST = 'lens.example';

/** All processes and stand-ins of one trial. */
export class Cell {
  /** Entries: their programs and where callers reach them. */
  entries = [];

  /** Workers: the guard's program, the runner and the VM's name. */
  workers = [];

  #record;

  #store;

  #folder;

  constructor({ record }) {
    this.#record = record;
    this.#store = new BoundedStore({ record });
  }

  /** Starts everything; `watch` is told of the starts and ends of runs, `Life` is a runner's model where not the project's. */
  async start({ entries, workers, queues, accounts, watch, Life }) {
    const addresses = new Addresses();
    await addresses.open();
    const storeHost = addresses.next();
    await this.#store.start(storeHost, PORTS.store);
    this.#store.write('config', operatorConfig({ host: HOST, queues, accounts }));
    this.#folder = await mkdtemp(join(tmpdir(), 'review-'));
    const common = { store: `${storeHost}:${PORTS.store}` };
    for (let each = 1; each <= entries; each++) {
      const place = { name: `edge-${each}`, role: 'entry', ip: addresses.next(), ...common };
      const program = await this.#program({ ...place, zone: zoneOf(each) });
      this.entries.push({ program, front: `${place.ip}:${PORTS.front}` });
    }
    const board = new GangBoard();
    for (let each = 1; each <= workers; each++) {
      const place = { name: `side-${each}`, role: 'guard', ip: addresses.next(), ...common };
      const program = await this.#program({ ...place, zone: zoneOf(each) });
      const runner = this.#runner({ each, ip: place.ip, board, watch, Life });
      this.workers.push({ vm: place.name, program, runner });
    }
    this.#programs.forEach((program) => program.start());
    await Promise.all(this.workers.map(({ runner }) => runner.start()));
    await wait(WARM_UP_MS);
  }

  /** Ends everything that was started. */
  async stop() {
    await Promise.all(this.#programs.map((program) => program.kill()));
    this.workers.forEach(({ runner }) => runner.stop());
    await this.#store.stop();
    if (this.#folder !== undefined) await rm(this.#folder, { recursive: true, force: true });
  }

  get #programs() {
    return [...this.entries, ...this.workers].map(({ program }) => program);
  }

  async #program(place) {
    const settingsFile = join(this.#folder, `${place.name}.json`);
    await writeFile(settingsFile, JSON.stringify(processSettings(place)));
    return new Program({ ...place, settingsFile, record: this.#record });
  }

  #runner({ each, ip, board, watch, Life }) {
    return new Runner({
      machine: `m${each}`,
      host: ip,
      port: PORTS.app,
      guard: `${ip}:${PORTS.control}`,
      service: SERVICE,
      zone: zoneOf(each),
      capacity: CAPACITY,
      labels: ['a', `r${1 + Math.floor((each - 1) / WORKERS_PER_RACK)}`],
      board,
      record: this.#record,
      watch,
      Life,
    });
  }
}

/** Resolves after this time, in ms. */
export async function wait(ms) {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function zoneOf(number) {
  return ZONES[(number - 1) % ZONES.length];
}
