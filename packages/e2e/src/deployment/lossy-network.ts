/**
 * Lossy proxies between the daemons' dialers and the entries' link ports, one for each pair. They run on a thread of
 * their own: beside a scenario's callers, a burst of requests would hold all links up until they count as silent.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { Silence } from '@zincspan/stand-ins';
import type { ProxyCommand } from './lossy-network-thread.js';
import type { EntryVm } from './machines.js';

const FIRST_PORT = 7500;
const THREAD = new URL('./lossy-network-thread.js', import.meta.url);

interface ProxiedPair {
  from: string;
  to: string;
}

/** Hands out proxies' addresses for settings, and makes faults on the links that go through them. */
export class LossyNetwork {
  /** By the numbers of their proxies. */
  readonly #pairs: ProxiedPair[] = [];

  #thread: Worker | undefined;

  /** For `linkAddress` of the settings: where process `from` reaches the entry. */
  readonly addressFor = (from: string, to: EntryVm): string => {
    const known = this.#pairs.findIndex((pair) => pair.from === from && pair.to === to.id);
    if (known >= 0) return `${to.vm.ip}:${FIRST_PORT + known}`;
    const listen = `${to.vm.ip}:${FIRST_PORT + this.#pairs.length}`;
    this.#pairs.push({ from, to: to.id });
    this.#tell({ type: 'open', listen, to: to.vm.link });
    return listen;
  };

  /** Cuts all open links of a process. */
  cut(process: string): void {
    this.#tell({ type: 'cut', proxies: this.#of(process) });
  }

  /** The open links of a process go silent for good; new ones work. */
  silence(process: string, directions: Silence): void {
    this.#tell({ type: 'silence', proxies: this.#of(process), directions });
  }

  /** Refuses new links of a process, or takes them again. */
  refuse(process: string, on: boolean): void {
    this.#tell({ type: 'faults', proxies: this.#of(process), faults: { refuse: on } });
  }

  /** Cuts the links between these processes, and refuses new ones. */
  part(processes: string[]): void {
    const proxies = this.#where(
      ({ from, to }) => processes.includes(from) && processes.includes(to),
    );
    this.#tell({ type: 'faults', proxies, faults: { refuse: true } });
    this.#tell({ type: 'cut', proxies });
  }

  /** Delays all bytes of all links. */
  delay(delayMs: number): void {
    this.#tell({ type: 'faults', proxies: this.#where(() => true), faults: { delayMs } });
  }

  async close(): Promise<void> {
    if (this.#thread === undefined) return;
    const exited = once(this.#thread, 'exit');
    this.#tell({ type: 'close' });
    await exited;
  }

  #tell(command: ProxyCommand): void {
    this.#thread ??= new Worker(THREAD);
    this.#thread.postMessage(command);
  }

  #of(process: string): number[] {
    return this.#where(({ from, to }) => from === process || to === process);
  }

  #where(isMeant: (pair: ProxiedPair) => boolean): number[] {
    return [...this.#pairs.keys()].filter((n) => isMeant(this.#pairs[n]!));
  }
}
