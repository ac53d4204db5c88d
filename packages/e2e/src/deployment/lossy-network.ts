/** Lossy proxies between the daemons' dialers and the entries' link ports, one for each pair. */
import { LossyProxy, type Silence } from '@zincspan/stand-ins';
import type { EntryVm } from './machines.js';

const FIRST_PORT = 7500;

interface ProxiedPair {
  from: string;
  to: string;
  proxy: LossyProxy;
}

/** Hands out proxies' addresses for settings, and makes faults on the links that go through them. */
export class LossyNetwork {
  readonly #pairs: ProxiedPair[] = [];

  readonly #started: Promise<void>[] = [];

  /** For `linkAddress` of the settings: where process `from` reaches the entry. */
  readonly addressFor = (from: string, to: EntryVm): string => {
    const known = this.#pairs.findIndex((pair) => pair.from === from && pair.to === to.id);
    if (known >= 0) return `${to.vm.ip}:${FIRST_PORT + known}`;
    const address = `${to.vm.ip}:${FIRST_PORT + this.#pairs.length}`;
    const proxy = new LossyProxy({ listen: address, to: to.vm.link });
    this.#pairs.push({ from, to: to.id, proxy });
    // Dialers try again until it listens.
    this.#started.push(proxy.start());
    return address;
  };

  /** Cuts all open links of a process. */
  cut(process: string): void {
    this.#of(process).forEach((proxy) => proxy.cutOpen());
  }

  /** The open links of a process go silent for good; new ones work. */
  silence(process: string, directions: Silence): void {
    this.#of(process).forEach((proxy) => proxy.silenceOpen(directions));
  }

  /** Refuses new links of a process, or takes them again. */
  refuse(process: string, on: boolean): void {
    this.#of(process).forEach(({ faults }) => {
      Object.assign(faults, { refuse: on });
    });
  }

  /** Cuts the links between these processes, and refuses new ones. */
  part(processes: string[]): void {
    this.#pairs
      .filter(({ from, to }) => processes.includes(from) && processes.includes(to))
      .forEach(({ proxy }) => {
        Object.assign(proxy.faults, { refuse: true });
        proxy.cutOpen();
      });
  }

  /** Delays all bytes of all links. */
  delay(delayMs: number): void {
    this.#pairs.forEach(({ proxy }) => {
      Object.assign(proxy.faults, { delayMs });
    });
  }

  async close(): Promise<void> {
    await Promise.allSettled(this.#started);
    await Promise.all(this.#pairs.map(({ proxy }) => proxy.close()));
  }

  #of(process: string): LossyProxy[] {
    return this.#pairs
      .filter(({ from, to }) => from === process || to === process)
      .map(({ proxy }) => proxy);
  }
}
