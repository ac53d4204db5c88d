/** What every stand-in offers to the process that hosts it. */

/** A running stand-in. Its faults may be changed in place or by `PUT /faults`. */
export interface StandIn<Faults> {
  /** `IP:port` it listens on. */
  readonly address: string;
  readonly faults: Faults;
  /** A planned stop: withdraws from its guard, then ends. */
  close(): Promise<void>;
  /** A crash: cuts its connections without a word. */
  kill(): Promise<void>;
}
