/** Figures over StatsD by hot-shots, with totals kept in memory for status pages. */
import { StatsD } from 'hot-shots';
import { CountingMetrics, type Settings } from '@zincspan/core';
import { parseAddress } from '@zincspan/link';

type Tags = Record<string, string>;

/** Figures wait for others until they fill a datagram that no network splits, or for this long. */
const DATAGRAM_BYTES = 1400;
const FLUSH_EVERY_MS = 1000;

/** Counts in memory and, where settings name a collector, sends over UDP. */
export class StatsdMetrics extends CountingMetrics {
  readonly #client: StatsD | undefined;

  constructor({ id, role, failureDomain, metrics }: Settings) {
    super();
    if (metrics === undefined) return;
    const { host, port } = parseAddress(metrics.address);
    this.#client = new StatsD({
      host,
      port,
      prefix: metrics.prefix,
      globalTags: { process: id, role, failureDomain },
      maxBufferSize: DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_EVERY_MS,
      // A collector that is away must never disturb the daemon.
      errorHandler: () => super.count('metrics.send-failed'),
    });
  }

  override count(name: string, by = 1, tags: Tags = {}): void {
    super.count(name, by);
    this.#client?.increment(name, by, tags);
  }

  override gauge(name: string, value: number, tags: Tags = {}): void {
    super.gauge(name, value);
    this.#client?.gauge(name, value, tags);
  }

  override timing(name: string, ms: number, tags: Tags = {}): void {
    super.timing(name, ms);
    this.#client?.timing(name, ms, tags);
  }

  /** Sends what waits and stops sending; totals stay readable. */
  close(): void {
    this.#client?.close(() => undefined);
  }
}
