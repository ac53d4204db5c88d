/** Follows whether operators have taken an upstream out of service, for the guard beside it. */
import type { BundleKeeper } from './keeper.js';

/** What a DrainedWatch is made from. */
export interface DrainedWatchOptions {
  keeper: Pick<BundleKeeper, 'current' | 'subscribe'>;
  /** Id of the upstream, once it is known. */
  upstream: () => string | undefined;
  /** Called with each change: true once it is to be drained, false once it is back in service. */
  onChange: (drained: boolean) => void;
}

/** Tells changes only; an upstream starts in service. */
export class DrainedWatch {
  readonly #options: DrainedWatchOptions;

  readonly #unsubscribe: () => void;

  #drained = false;

  constructor(options: DrainedWatchOptions) {
    this.#options = options;
    this.#unsubscribe = options.keeper.subscribe(() => this.check());
    this.check();
  }

  /** Looks again; to be called when the upstream's id becomes known or changes. */
  check(): void {
    const { keeper, upstream, onChange } = this.#options;
    const id = upstream();
    const drained = id !== undefined && (keeper.current?.bundle.drained.includes(id) ?? false);
    if (drained === this.#drained) return;
    this.#drained = drained;
    onChange(drained);
  }

  stop(): void {
    this.#unsubscribe();
  }
}
