/** In-memory object store for tests and benchmarks. */
import type { ObjectStore } from '@zincspan/core';
import { MemoryFaults } from './memory-faults.js';

/** Holds objects in memory; tests inject failures by `faults`. */
export class MemoryObjectStore implements ObjectStore {
  readonly faults = new MemoryFaults();

  readonly #objects = new Map<string, Uint8Array>();

  get size(): number {
    return this.#objects.size;
  }

  async get(key: string): Promise<Uint8Array | undefined> {
    await this.faults.beforeCall();
    return this.#objects.get(key)?.slice();
  }

  async put(key: string, body: Uint8Array): Promise<void> {
    await this.faults.write(() => {
      this.#objects.set(key, body.slice());
    });
  }
}
