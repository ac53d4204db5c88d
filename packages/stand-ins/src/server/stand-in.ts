/** What every stand-in offers to the process that hosts it. */

/** A running stand-in. Its faults may be changed in place or by `PUT /faults`. */
export interface StandIn<Faults> {
  /** `IP:port` it listens on. */
  readonly address: string;
  readonly faults: Faults;
  /** Ends it at once: withdraws from its guard, cuts its connections. */
  close(): Promise<void>;
}
