/** Where the parts of an entry read the configuration bundle in force. */
import type { Bundle, BundleHead } from '@zincspan/core';

/** A bundle whose signatures were checked, with the head that names it. */
export interface BundleInForce {
  head: BundleHead;
  bundle: Bundle;
}

/** The bundle in force and its changes. `current` is undefined until a first one is known. */
export interface BundleSource {
  readonly current: BundleInForce | undefined;
  /** Calls `fn` after each change of `current`; the answer ends the subscription. */
  subscribe(fn: () => void): () => void;
}
