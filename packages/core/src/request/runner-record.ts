/** What an ejector keeps about one runner. */

/** `half-open`: one probe at a time decides. */
export type RunnerHealth = 'closed' | 'ejected' | 'half-open';

/** State of one runner. Times in ms. */
export class RunnerRecord {
  state: RunnerHealth = 'closed';

  until = 0;

  ejections = 0;

  /** Failures since the last answer. */
  failures = 0;

  inFlight = 0;

  /** Since when requests have been in flight without any answer. */
  waitingSince: number | undefined;

  /** Probes answered while half-open, and whether one is on its way. */
  probes = 0;

  probing = false;

  started(now: number): void {
    this.inFlight += 1;
    this.waitingSince ??= now;
    this.probing = this.state === 'half-open';
  }

  ended(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.probing = false;
    if (this.inFlight === 0) this.waitingSince = undefined;
  }

  answered(now: number): void {
    this.failures = 0;
    this.waitingSince = this.inFlight === 0 ? undefined : now;
    if (this.state === 'half-open') this.probes += 1;
  }

  failed(): void {
    this.failures += 1;
  }

  eject(until: number): void {
    this.state = 'ejected';
    this.until = until;
    this.ejections += 1;
    this.failures = 0;
    this.waitingSince = undefined;
  }

  openHalf(): void {
    this.state = 'half-open';
    this.probes = 0;
    this.probing = false;
    this.failures = 0;
  }

  close(): void {
    this.state = 'closed';
  }
}
