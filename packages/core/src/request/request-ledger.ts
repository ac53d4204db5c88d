/**
 * What a guard remembers of requests, so that each runs at most once without the table.
 *
 * An id is recorded before the runner sees its request. Entries make ids as `<entry incarnation>-<sequence>`
 * (`requestIdOf`), the sequence growing. Results go first when the bound of bytes is reached; their ids stay. When
 * an id itself is dropped, the highest dropped sequence of its series stays behind as a floor. An id at or below
 * the floor may have been seen, so it is never called `never-seen` and never runs again. An id without a sequence
 * is a series of its own.
 */
import type { RequestResult, SettleResult } from '../message/message.js';

/** What is known of an id when a request arrives. Only `recorded` may be passed to the runner. */
export type RecordAnswer =
  | { state: 'recorded' }
  | { state: 'running' }
  | { state: 'ended'; result: RequestResult }
  | { state: 'barred' }
  | { state: 'forgotten' }
  | { state: 'full' };

interface Entry {
  state: 'running' | 'ended' | 'barred';
  result?: RequestResult;
  bytes: number;
  endedAt: number;
}

interface Series {
  floor: number;
  /** Ids of this series in the ledger; a series without any may be dropped. */
  kept: number;
}

const ENTRY_OVERHEAD_BYTES = 200;
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

/** Bounded memory of request ids and their results. Times are monotonic ms, passed in. */
export class RequestLedger {
  readonly #maxEntries: number;

  readonly #maxBytes: number;

  readonly #maxAgeMs: number;

  readonly #maxSeries: number;

  readonly #running = new Map<string, Entry>();

  /** Ended and barred ids, oldest first. */
  readonly #settled = new Map<string, Entry>();

  /** Settled ids that still have their result, oldest first. */
  readonly #withResult = new Map<string, Entry>();

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
    this.#running.set(id, { state: 'running', bytes: 0, endedAt: 0 });
    this.#seriesOf(id).kept += 1;
    this.#trim(now);
    return { state: 'recorded' };
  }

  /** Keeps the result of a recorded id. The first result stands. */
  end(id: string, result: RequestResult, now: number): void {
    if (!this.#running.delete(id)) return;
    const body = result.outcome === 'answered' ? result.body.byteLength : 0;
    this.#settle(id, {
      state: 'ended',
      result,
      bytes: body + ENTRY_OVERHEAD_BYTES,
      endedAt: now,
    });
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
    this.#settle(id, { state: 'barred', bytes: 0, endedAt: now });
    this.#trim(now);
    return { state: 'never-seen' };
  }

  #known(id: string): Exclude<RecordAnswer, { state: 'recorded' | 'full' }> | undefined {
    if (this.#running.has(id)) return { state: 'running' };
    const entry = this.#settled.get(id);
    if (entry?.result) return { state: 'ended', result: entry.result };
    if (entry) return { state: entry.state === 'barred' ? 'barred' : 'forgotten' };
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

  #settle(id: string, entry: Entry): void {
    this.#settled.set(id, entry);
    if (!entry.result) return;
    this.#withResult.set(id, entry);
    this.#bytes += entry.bytes;
  }

  #trim(now: number): void {
    let oldest = this.#settled.entries().next();
    while (!oldest.done && this.#overBounds(oldest.value[1], now)) {
      this.#forget(...oldest.value);
      oldest = this.#settled.entries().next();
    }
    while (this.#bytes > this.#maxBytes) this.#dropResult();
    if (this.#series.size > this.#maxSeries) this.#dropSeries();
  }

  #overBounds(oldest: Entry, now: number): boolean {
    return this.size > this.#maxEntries || now - oldest.endedAt > this.#maxAgeMs;
  }

  #forget(id: string, entry: Entry): void {
    this.#settled.delete(id);
    if (this.#withResult.delete(id)) this.#bytes -= entry.bytes;
    const { series: name, sequence } = parseId(id);
    const series = this.#series.get(name);
    if (!series) return;
    series.kept -= 1;
    series.floor = Math.max(series.floor, sequence);
  }

  #dropResult(): void {
    const oldest = this.#withResult.entries().next();
    if (oldest.done) return;
    const [id, entry] = oldest.value;
    this.#withResult.delete(id);
    this.#bytes -= entry.bytes;
    delete entry.result;
  }

  #dropSeries(): void {
    const idle = [...this.#series].find(([, { kept }]) => kept === 0);
    if (!idle) return;
    this.#series.delete(idle[0]);
    this.#seriesDropped = true;
  }
}
