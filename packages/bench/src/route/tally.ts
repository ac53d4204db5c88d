/** What came of the requests of one run. */
import { build, type Histogram } from 'hdr-histogram-js';

function histogram(): Histogram {
  return build({ highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
}

/** Ends of one account's requests. */
interface AccountTally {
  asked: number;
  inContract: number;
}

/** Counts and latencies of one run. Latency is from a request's first submission to its answer, in ms. */
export class Tally {
  readonly #latency = histogram();

  /** Latency less what the request takes on a healthy runner: what routing and trouble add. */
  readonly #added = histogram();

  /** Latency of the accounts that keep to their usual load. */
  readonly #usual = histogram();

  readonly #accounts = new Map<string, AccountTally>();

  answered = 0;

  refusals = 0;

  /** Callers that came back after retryAfterMs, and those of them that were then taken. */
  returns = 0;

  returnsTaken = 0;

  refusedForGood = 0;

  late = 0;

  asked(account: string): void {
    this.#account(account).asked += 1;
  }

  answer(
    account: string,
    {
      ms,
      serviceMs,
      withinMs,
      usual,
    }: { ms: number; serviceMs: number; withinMs: number; usual: boolean },
  ): void {
    this.answered += 1;
    this.#latency.recordValue(Math.round(ms * 1000));
    if (usual) this.#usual.recordValue(Math.round(ms * 1000));
    this.#added.recordValue(Math.round(Math.max(0, ms - serviceMs) * 1000));
    if (ms <= withinMs) this.#account(account).inContract += 1;
  }

  quantile(q: number): number {
    return this.#latency.getValueAtPercentile(q * 100) / 1000;
  }

  usualQuantile(q: number): number {
    return this.#usual.getValueAtPercentile(q * 100) / 1000;
  }

  addedQuantile(q: number): number {
    return this.#added.getValueAtPercentile(q * 100) / 1000;
  }

  /** Share of an account's requests that were answered within the contract. */
  inContract(account: string): number {
    const { asked, inContract } = this.#account(account);
    return asked === 0 ? 1 : inContract / asked;
  }

  #account(name: string): AccountTally {
    const known = this.#accounts.get(name) ?? { asked: 0, inContract: 0 };
    this.#accounts.set(name, known);
    return known;
  }
}
