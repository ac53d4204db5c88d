/** Kinds of work of the bundle in force, by name. */
import type { Bundle, Kind } from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';

/** Finds kinds without a walk over the whole bundle for each request. */
export class KindDirectory {
  readonly #bundles: BundleSource;

  #bundle: Bundle | undefined;

  #byName = new Map<string, Kind>();

  constructor({ bundles }: { bundles: BundleSource }) {
    this.#bundles = bundles;
  }

  /** The kind of this name in the bundle in force. */
  get(name: string): Kind | undefined {
    const bundle = this.#bundles.current?.bundle;
    if (bundle !== this.#bundle) {
      this.#bundle = bundle;
      this.#byName = new Map(bundle?.kinds.map((kind) => [kind.name, kind]));
    }
    return this.#byName.get(name);
  }
}
