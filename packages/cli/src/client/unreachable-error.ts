/** One entry that could not be reached, and why. */
export interface FailedEntry {
  address: string;
  why: string;
}

/** Thrown when no entry of the client's settings answers. */
export class UnreachableError extends Error {
  readonly detail: string;

  readonly remedy = 'Check the addresses in the client settings, and that the entries run.';

  constructor(failed: readonly FailedEntry[]) {
    const list = failed.map(({ address, why }) => `${address} (${why})`).join(', ');
    super(`No entry answers: ${list}.`);
    this.name = 'UnreachableError';
    this.detail = this.message;
  }
}
