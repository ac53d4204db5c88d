/** What truly ran on a runner, to hold claims of "not run" and "at most once" against. */
import { createHash } from 'node:crypto';

/** One request id. `at` is the wall time of its first run, `count` how often it ran. */
export interface RunEntry {
  requestId: string;
  kind: string;
  /** SHA-256 of the body, lower-case hex. */
  bodyDigest: string;
  at: number;
  count: number;
}

/** The ledger as `GET /ledger` answers it. */
export interface RunnerLedger {
  entries: RunEntry[];
  /** Most requests ever in progress at once, refused ones not counted. */
  maxInUse: number;
  /** Most connections ever open at once. */
  maxConnections: number;
  /** Requests that came while every slot was taken. */
  violations: number;
}

/** Counts runs by request id. */
export class RunLedger {
  readonly #entries = new Map<string, RunEntry>();

  maxInUse = 0;

  maxConnections = 0;

  violations = 0;

  ran(requestId: string, kind: string, body: Buffer): void {
    const earlier = this.#entries.get(requestId);
    if (earlier !== undefined) {
      earlier.count += 1;
      return;
    }
    const bodyDigest = createHash('sha256').update(body).digest('hex');
    this.#entries.set(requestId, { requestId, kind, bodyDigest, at: Date.now(), count: 1 });
  }

  read(): RunnerLedger {
    return {
      entries: [...this.#entries.values()],
      maxInUse: this.maxInUse,
      maxConnections: this.maxConnections,
      violations: this.violations,
    };
  }
}
