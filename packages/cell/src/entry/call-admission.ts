/** Checks calls against the configuration: finds the queue by host and path, and the account by API key. */
import {
  findAccount,
  findQueue,
  type Account,
  type CellConfig,
  type Queue,
} from '../config/cell-config.js';
import { sleep } from '../clock/sleep.js';
import type { ConfigWatcher } from '../config/config-watcher.js';
import type { CallRefusal } from './call-result.js';
import { storeRetryAfterMs } from './store-retry.js';

/** Before a call is rejected for an unknown queue or key, the configuration is read again if it is older than this, in ms. */
const RECHECK_AFTER_MS = 100;

/**
 * Longest wait of a call for that read, in ms; ten times the usual read time. Calls that arrive meanwhile are answered under the
 * current configuration, and a call made before them must not then be answered here under a newer one.
 */
const RECHECK_TIMEOUT_MS = 150;

/** If the read takes longer and no other entry can answer, the caller retries after this time, in ms; by then it has most likely ended. */
const RECHECK_RETRY_AFTER_MS = 500;

/** A caller's request: `path` has its leading slash and no query. */
export interface CallerCall {
  host: string;
  path: string;
  key: string | undefined;
}

/** A call that passed the checks. */
export interface AdmittedCall {
  outcome: 'admitted';
  queue: Queue;
  account: Account | undefined;
  /** Path after the queue's prefix. */
  rest: string;
  config: CellConfig;
  /** Version of the configuration's row. */
  rowVersion: number;
}

/** Admits or refuses calls according to the configuration. */
export class CallAdmission {
  readonly #config: ConfigWatcher;

  /** Age at which the configuration is too old to admit calls, in ms, so that revoked keys stop working. */
  readonly #staleAfterMs: number;

  constructor({ config, staleAfterMs }: { config: ConfigWatcher; staleAfterMs: number }) {
    this.#config = config;
    this.#staleAfterMs = staleAfterMs;
  }

  /** True while the configuration was confirmed recently enough to admit calls. */
  get isConfigFresh(): boolean {
    return this.#config.ageMs < this.#staleAfterMs;
  }

  async admit(call: CallerCall): Promise<AdmittedCall | CallRefusal> {
    const first = this.#check(call);
    if (!this.#needsRecheck(first)) return first;
    const isRefreshed = await Promise.race([
      this.#config.refresh().then(() => true),
      sleep(RECHECK_TIMEOUT_MS).then(() => false),
    ]);
    if (isRefreshed && !this.#config.isBehind) return this.#check(call);
    const detail = 'A newer configuration may be in force and is being read.';
    return { outcome: 'not-ready', retryAfterMs: RECHECK_RETRY_AFTER_MS, detail };
  }

  /** True if the queue or key may just have been added, or another entry has already answered under a newer configuration. */
  #needsRecheck({ outcome }: AdmittedCall | CallRefusal): boolean {
    if (this.#config.isBehind) return true;
    const isRejected = outcome === 'no-such-queue' || outcome === 'not-authenticated';
    return isRejected && this.#config.ageMs >= RECHECK_AFTER_MS;
  }

  #check({ host, path, key }: CallerCall): AdmittedCall | CallRefusal {
    const { current } = this.#config;
    if (current === undefined) {
      return notReady('This entry has not read a configuration yet.', this.#config.ageMs);
    }
    if (!this.isConfigFresh) {
      return notReady(
        'This entry has not been able to confirm its configuration with the store recently enough.',
        this.#config.ageMs,
      );
    }
    const queue = findQueue(current.config, host, path);
    if (queue === undefined) return { outcome: 'no-such-queue' };
    const account = key === undefined ? undefined : findAccount(current.config, key);
    if (account === undefined && !queue.isPublic) return { outcome: 'not-authenticated' };
    const { config, rowVersion } = current;
    const rest = path.slice(queue.pathPrefix.length);
    return { outcome: 'admitted', queue, account, rest, config, rowVersion };
  }
}

function notReady(detail: string, unavailableMs: number): CallRefusal {
  return { outcome: 'not-ready', retryAfterMs: storeRetryAfterMs(unavailableMs), detail };
}
