/** Counters, gauges and timings, behind an interface so that pure code can count too. */

/** Where figures go. Names are dotted, for example `request.refused`; tags stay few. */
export interface Metrics {
  count(name: string, by?: number, tags?: Record<string, string>): void;
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  /** `ms` is a duration in milliseconds. */
  timing(name: string, ms: number, tags?: Record<string, string>): void;
}

/** Keeps totals in memory: for status pages, and for tests. */
export class CountingMetrics implements Metrics {
  readonly counters = new Map<string, number>();

  readonly gauges = new Map<string, number>();

  count(name: string, by = 1, _tags?: Record<string, string>): void {
    this.#add(name, by);
  }

  gauge(name: string, value: number): void {
    this.gauges.set(name, value);
  }

  timing(name: string, ms: number, _tags?: Record<string, string>): void {
    this.#add(name, 1);
    this.#add(`${name}.ms`, ms);
  }

  #add(name: string, by: number): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }
}
