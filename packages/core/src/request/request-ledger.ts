/**
 * What a guard remembers of requests, so that each runs at most once without the table.
 *
 * An id is recorded before the runner sees its request. Entries make ids as `<entry incarnation>-<sequence>`
 * (`requestIdOf`), the sequence growing. Results go first when the bound of bytes is reached; their ids stay. When
 * an id itself is dropped, the highest dropped sequence of its series stays behind as a floor. An id at or below
 * the floor may have been seen, so it is never called `never-seen` and never runs again. An id without a sequence
 * is a series of its own.
 */
import Denque from 'denque';
import type { RequestResult, SettleResult } from '../message/message.js';

/** What is known of an id when a request arrives. Only `recorded` may be passed to the runner. */
export type RecordAnswer =
  | { state: 'recorded' }
  | { state: 'running' }
  | { state: 'ended'; result: RequestResult }
  | { state: 'barred' }
  | { state: 'forgotten' }
  | { state: 'full' };

interface Series {
  floor: number;
  /** Ids of this series in the ledger; a series without any may be dropped. */
  kept: number;
}

/** What a kept result costs beside its body. */
const RESULT_OVERHEAD_BYTES = 600;
const ID_PATTERN = /^(.+)-(\d{1,15})$/;

/** Id of a request, made by the entry that sends it. `sequence` grows with each one. */
export function requestIdOf({
  incarnation,
  sequence,
}: {
  incarnation: string;
  sequence: number;
}): string {
  return `${incarnation}-${sequence}`;
}

function parseId(id: string): { series: string; sequence: number } {
  const match = ID_PATTERN.exec(id);
  if (!match) return { series: id, sequence: 0 };
  return { series: match[1]!, sequence: Number(match[2]) };
}

function bytesOf(result: RequestResult): number {
  const body = result.outcome === 'answered' ? result.body.byteLength : 0;
  return body + RESULT_OVERHEAD_BYTES;
}

/** Bounded memory of request ids and their results. Times are monotonic ms, passed in. */
export class RequestLedger {
  readonly #maxEntries: number;

  readonly #maxBytes: number;

  readonly #maxAgeMs: number;

  readonly #maxSeries: number;

  readonly #running = new Set<string>();

  /** Ended and barred ids. */
  readonly #settled = new Set<string>();

  /** The same ids with the time of it, oldest first. A Map's first key costs all the deletions before it. */
  readonly #settledOrder = new Denque<{ id: string; at: number }>();

  readonly #barred = new Set<string>();

  /** Results of settled ids. */
  readonly #results = new Map<string, RequestResult>();

  /** Ids with a result, oldest first. */
  readonly #resultOrder = new Denque<string>();

  readonly #series = new Map<string, Series>();

  #bytes = 0;

  /** Once a series was dropped, an unknown one may have been it. */
  #seriesDropped = false;

  constructor({
    entries = 20_000,
    bytes = 4_194_304,
    ageMs = 600_000,
    series = 4096,
  }: { entries?: number; bytes?: number; ageMs?: number; series?: number } = {}) {
    this.#maxEntries = entries;
    this.#maxBytes = bytes;
    this.#maxAgeMs = ageMs;
    this.#maxSeries = series;
  }

  get size(): number {
    return this.#running.size + this.#settled.size;
  }

  /** Records an id that is about to be passed to the runner. */
  record(id: string, now: number): RecordAnswer {
    this.#trim(now);
    const known = this.#known(id);
    if (known) return known;
    if (this.#running.size >= this.#maxEntries) return { state: 'full' };
    this.#running.add(id);
    this.#seriesOf(id).kept += 1;
    this.#trim(now);
    return { state: 'recorded' };
  }

  /** Keeps the result of a recorded id. The first result stands. */
  end(id: string, result: RequestResult, now: number): void {
    if (!this.#running.delete(id)) return;
    this.#settle(id, now);
    this.#results.set(id, result);
    this.#resultOrder.push(id);
    this.#bytes += bytesOf(result);
    this.#trim(now);
  }

  /** What became of an id. `never-seen` bars it for good. */
  settle(id: string, now: number): SettleResult {
    this.#trim(now);
    const known = this.#known(id);
    if (known?.state === 'ended') return { state: 'ended', result: known.result };
    if (known?.state === 'running') return { state: 'running' };
    if (known?.state === 'barred') return { state: 'never-seen' };
    if (known || this.#mayHaveDropped(id)) return { state: 'forgotten' };
    this.#seriesOf(id).kept += 1;
    this.#settle(id, now);
    this.#barred.add(id);
    this.#trim(now);
    return { state: 'never-seen' };
  }

  #known(id: string): Exclude<RecordAnswer, { state: 'recorded' | 'full' }> | undefined {
    if (this.#running.has(id)) return { state: 'running' };
    const result = this.#results.get(id);
    if (result) return { state: 'ended', result };
    if (this.#barred.has(id)) return { state: 'barred' };
    if (this.#settled.has(id)) return { state: 'forgotten' };
    const { series, sequence } = parseId(id);
    const floor = this.#series.get(series)?.floor ?? -1;
    return sequence <= floor ? { state: 'forgotten' } : undefined;
  }

  #mayHaveDropped(id: string): boolean {
    return this.#seriesDropped && !this.#series.has(parseId(id).series);
  }

  #seriesOf(id: string): Series {
    const name = parseId(id).series;
    const found = this.#series.get(name) ?? { floor: -1, kept: 0 };
    // Back to the end: the series unused for longest is dropped first.
    this.#series.delete(name);
    this.#series.set(name, found);
    return found;
  }

  #trim(now: number): void {
    for (
      let oldest = this.#settledOrder.peekFront();
      oldest && this.#overBounds(oldest.at, now);
      oldest = this.#settledOrder.peekFront()
    ) {
      this.#forgetOldest();
    }
    while (this.#bytes > this.#maxBytes) this.#dropOldestResult();
    if (this.#series.size > this.#maxSeries) this.#dropSeries();
  }

  #overBounds(endedAt: number, now: number): boolean {
    return this.size > this.#maxEntries || now - endedAt > this.#maxAgeMs;
  }

  #settle(id: string, now: number): void {
    this.#settled.add(id);
    this.#settledOrder.push({ id, at: now });
  }

  #forgetOldest(): void {
    const { id } = this.#settledOrder.shift()!;
    this.#settled.delete(id);
    this.#barred.delete(id);
    // Results end in the order of their ids, so this one's is the oldest there is.
    if (this.#results.has(id)) this.#dropOldestResult();
    const { series: name, sequence } = parseId(id);
    const series = this.#series.get(name);
    if (!series) return;
    series.kept -= 1;
    series.floor = Math.max(series.floor, sequence);
  }

  #dropOldestResult(): void {
    const id = this.#resultOrder.shift();
    const result = id === undefined ? undefined : this.#results.get(id);
    if (id === undefined || result === undefined) return;
    this.#results.delete(id);
    this.#bytes -= bytesOf(result);
  }

  #dropSeries(): void {
    const idle = [...this.#series].find(([, { kept }]) => kept === 0);
    if (!idle) return;
    this.#series.delete(idle[0]);
    this.#seriesDropped = true;
  }
}
