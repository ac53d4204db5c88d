/** Who calls what: the queue by host and path, the account by key, and whether this entry knows enough to say. */
import {
  findAccount,
  findQueue,
  type Account,
  type CellConfig,
  type Queue,
} from '../config/cell-config.js';
import { pause } from '../clock/pause.js';
import type { ConfigWatcher } from '../config/config-watcher.js';
import type { CallRefusal } from './call-result.js';
import { storeRetryMs } from './store-retry.js';

/** Before a queue or key is said to be unknown, the configuration is read again if it is older than this, in ms. */
const DOUBT_AFTER_MS = 100;

/**
 * A call waits for that read no longer than this, in ms, ten times what one takes: calls that come meanwhile are answered by the
 * configuration that is known, and one that was made before them mustn't then be answered here by a newer one.
 */
const DOUBT_WAIT_MS = 150;

/** Where the read takes longer and no other entry knows, the caller comes back after this time, in ms: it has most likely ended. */
const DOUBT_RETRY_MS = 500;

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
  readonly #config: ConfigWatcher;

  /** A key that was taken away must not be honoured for longer than this after the last confirmation, in ms. */
  readonly #staleAfterMs: number;

  constructor({ config, staleAfterMs }: { config: ConfigWatcher; staleAfterMs: number }) {
    this.#config = config;
    this.#staleAfterMs = staleAfterMs;
  }

  /** True while this entry can answer for the configuration. */
  get isFresh(): boolean {
    return this.#config.ageMs < this.#staleAfterMs;
  }

  async admit(call: CallerCall): Promise<Admitted | CallRefusal> {
    const first = this.#check(call);
    if (!this.#isDoubtful(first)) return first;
    const isRead = await Promise.race([
      this.#config.refresh().then(() => true),
      pause(DOUBT_WAIT_MS).then(() => false),
    ]);
    if (isRead && !this.#config.isBehind) return this.#check(call);
    const detail = 'A newer configuration may be in force: it is being read.';
    return { outcome: 'not-ready', retryAfterMs: DOUBT_RETRY_MS, detail };
  }

  /** A queue or key may have been added a moment ago; and what a newer configuration was seen to say isn't taken back. */
  #isDoubtful({ outcome }: Admitted | CallRefusal): boolean {
    if (this.#config.isBehind) return true;
    const isUnknown = outcome === 'no-such-queue' || outcome === 'not-authenticated';
    return isUnknown && this.#config.ageMs >= DOUBT_AFTER_MS;
  }

  #check({ host, path, key }: CallerCall): Admitted | CallRefusal {
    const { current: known } = this.#config;
    if (known === undefined) {
      return notReady('No configuration is known here yet.', this.#config.ageMs);
    }
    if (!this.isFresh) {
      return notReady('The store has not been reached here for too long.', this.#config.ageMs);
    }
    const queue = findQueue(known.config, host, path);
    if (queue === undefined) return { outcome: 'no-such-queue' };
    const account = key === undefined ? undefined : findAccount(known.config, key);
    if (account === undefined && !queue.isPublic) return { outcome: 'not-authenticated' };
    const { config, rowVersion } = known;
    const rest = path.slice(queue.pathPrefix.length);
    return { outcome: 'admitted', queue, account, rest, config, rowVersion };
  }
}

function notReady(detail: string, awayMs: number): CallRefusal {
  return { outcome: 'not-ready', retryAfterMs: storeRetryMs(awayMs), detail };
}
