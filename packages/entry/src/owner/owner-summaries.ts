/** What the owners of other failure domains have told of late, and what was sent to them since. */
import { WAIT_SIZES, type Clock, type OwnerSummary } from '@zincspan/core';

/** A summary is believed for this long, in ms: three times as long as an owner leaves between two. */
const BELIEVED_MS = 15_000;

interface Told {
  summary: OwnerSummary;
  at: number;
  /** Accelerators of jobs sent there since, which the summary doesn't count yet. */
  sent: number;
}

/** The latest summary of each failure domain. */
export class OwnerSummaries {
  readonly #clock: Clock;

  readonly #told = new Map<string, Told>();

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Takes an owner's word; an owner that was replaced isn't listened to. */
  take(summary: OwnerSummary): void {
    const { failureDomain, term } = summary;
    if (term < (this.#told.get(failureDomain)?.summary.term ?? 0)) return;
    this.#told.set(failureDomain, { summary, at: this.#clock.now(), sent: 0 });
  }

  /** Expected wait in ms of a job of this many accelerators; undefined if its owner wasn't heard of late. */
  waitMs(failureDomain: string, accelerators: number): number | undefined {
    const told = this.#fresh(failureDomain);
    if (told === undefined) return undefined;
    const size = accelerators + told.sent;
    // One that is larger than all of them gets the longest.
    const found = WAIT_SIZES.findIndex((each) => each >= size);
    return told.summary.waitsMs.at(found);
  }

  /** Accelerators free, less those that jobs sent there since will take. */
  free(failureDomain: string): number | undefined {
    const told = this.#fresh(failureDomain);
    return told && told.summary.free - told.sent;
  }

  /** A job of this many accelerators was sent there. */
  sent(failureDomain: string, accelerators: number): void {
    const told = this.#told.get(failureDomain);
    if (told !== undefined) told.sent += accelerators;
  }

  #fresh(failureDomain: string): Told | undefined {
    const told = this.#told.get(failureDomain);
    if (told === undefined || this.#clock.now() - told.at > BELIEVED_MS) return undefined;
    return told;
  }
}
