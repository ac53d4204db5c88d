/** Thrown for a command line or client settings that can't be used. */
export class UsageError extends Error {
  readonly detail: string;

  readonly remedy: string;

  constructor(detail: string, remedy: string) {
    super(`${detail} ${remedy}`);
    this.name = 'UsageError';
    this.detail = detail;
    this.remedy = remedy;
  }
}
