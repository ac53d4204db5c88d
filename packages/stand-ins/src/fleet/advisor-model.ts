/** The emulated placement advisor: approves by a rule, with tickets that expire. */

/** What the advisor answers for one runner. */
export interface ApprovedRow {
  runner: string;
  ticket: string;
}

interface Issued {
  step: string;
  runner: string;
  endsAt: number;
}

/** One advisor. Time is real. */
export class AdvisorModel {
  readonly validMs: number;

  /** Steps that were asked about, in order. */
  readonly questions: string[] = [];

  readonly #approves: (runner: string, step: string) => boolean;

  readonly #issued = new Map<string, Issued>();

  constructor({
    approves,
    validMs,
  }: {
    approves: (runner: string, step: string) => boolean;
    /** Tickets hold for this long, in ms. */
    validMs: number;
  }) {
    this.#approves = approves;
    this.validMs = validMs;
  }

  advise(step: string, runners: readonly string[]): ApprovedRow[] {
    this.questions.push(step);
    return runners
      .filter((runner) => this.#approves(runner, step))
      .map((runner) => ({ runner, ticket: this.#issue(step, runner) }));
  }

  /** Whether a runner takes this ticket for a task of this step. */
  isValid(step: string, runner: string, ticket: string | undefined): boolean {
    const issued = this.#issued.get(ticket ?? '');
    if (issued === undefined) return false;
    return issued.step === step && issued.runner === runner && performance.now() < issued.endsAt;
  }

  #issue(step: string, runner: string): string {
    const ticket = `ticket-${this.#issued.size + 1}`;
    this.#issued.set(ticket, { step, runner, endsAt: performance.now() + this.validMs });
    return ticket;
  }
}
