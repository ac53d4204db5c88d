/** Who calls what: the queue by host and path, the account by key, and whether this entry knows enough to say. */
import {
  accountOfKey,
  findQueue,
  type Account,
  type CellConfig,
  type Queue,
} from '../config/cell-config.js';
import type { ConfigWatch } from '../config/config-watch.js';
import type { CallRefusal } from './call-result.js';
import { storeRetryMs } from './store-retry.js';

/** Before a queue or key is said to be unknown, the configuration is read again if it is older than this, in ms. */
const DOUBT_AFTER_MS = 100;

/** A call as it came: `path` with its leading slash, without a query. */
export interface CallerCall {
  host: string;
  path: string;
  key: string | undefined;
}

/** Let through. */
export interface Admitted {
  outcome: 'admitted';
  queue: Queue;
  account: Account | undefined;
  /** What follows the queue's prefix. */
  rest: string;
  config: CellConfig;
  /** Version of the configuration's row. */
  rowVersion: number;
}

/** Checks callers against the configuration. */
export class CallerGate {
  readonly #config: ConfigWatch;

  /** A key that was taken away must not be honoured for longer than this after the last confirmation, in ms. */
  readonly #staleAfterMs: number;

  constructor({ config, staleAfterMs }: { config: ConfigWatch; staleAfterMs: number }) {
    this.#config = config;
    this.#staleAfterMs = staleAfterMs;
  }

  /** True while this entry can answer for the configuration. */
  get isFresh(): boolean {
    return this.#config.ageMs < this.#staleAfterMs;
  }

  async admit(call: CallerCall): Promise<Admitted | CallRefusal> {
    const first = this.#check(call);
    const isDoubtful = first.outcome === 'no-such-queue' || first.outcome === 'not-authenticated';
    if (!isDoubtful || this.#config.ageMs < DOUBT_AFTER_MS) return first;
    // It may have been added a moment ago.
    await this.#config.refresh();
    return this.#check(call);
  }

  #check({ host, path, key }: CallerCall): Admitted | CallRefusal {
    const { known } = this.#config;
    if (known === undefined) {
      return notReady('No configuration is known here yet.', this.#config.ageMs);
    }
    if (!this.isFresh) {
      return notReady('The store has not been reached here for too long.', this.#config.ageMs);
    }
    const queue = findQueue(known.config, host, path);
    if (queue === undefined) return { outcome: 'no-such-queue' };
    const account = key === undefined ? undefined : accountOfKey(known.config, key);
    if (account === undefined && !queue.isPublic) return { outcome: 'not-authenticated' };
    const { config, rowVersion } = known;
    const rest = path.slice(queue.pathPrefix.length);
    return { outcome: 'admitted', queue, account, rest, config, rowVersion };
  }
}

function notReady(detail: string, awayMs: number): CallRefusal {
  return { outcome: 'not-ready', retryAfterMs: storeRetryMs(awayMs), detail };
}
