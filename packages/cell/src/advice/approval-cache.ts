/**
 * Caches the placement advisor's answers. Whether a runner is approved for a step never changes, but the tickets that come with
 * approvals expire.
 */
import type { Approval } from './advisor.js';

/** A ticket must stay valid for at least this long: a start is written to the store and ordered before it reaches its runner. */
const TICKET_MARGIN_MS = 600;

/** `ready`: approved, with a ticket valid long enough for a start; `approved`: approved, but the ticket must be renewed. */
export type ApprovalStatus = 'ready' | 'approved' | 'denied' | 'unknown';

interface Ticket {
  text: string;
  /** On the owner's monotonic clock, in ms. */
  expiresAt: number;
}

/** Tickets by runner; undefined where the advisor denied the runner. */
type TicketsByRunner = Map<string, Ticket | undefined>;

/** Keyed by step, then by runner instance: a restarted runner counts as unknown and needs a new request. */
export class ApprovalCache {
  readonly #ticketsByStep = new Map<string, TicketsByRunner>();

  status(step: string, runner: string, now: number): ApprovalStatus {
    const tickets = this.#ticketsByStep.get(step);
    if (!tickets?.has(runner)) return 'unknown';
    const ticket = tickets.get(runner);
    if (ticket === undefined) return 'denied';
    return ticket.expiresAt - TICKET_MARGIN_MS > now ? 'ready' : 'approved';
  }

  /** The ticket, or undefined if there is none or it has expired. */
  ticket(step: string, runner: string, now: number): string | undefined {
    const ticket = this.#ticketsByStep.get(step)?.get(runner);
    return ticket !== undefined && ticket.expiresAt > now ? ticket.text : undefined;
  }

  /** Records the answer to a request sent at `sentAt`. Runners asked about but not approved are denied. */
  record(
    step: string,
    {
      asked,
      approvals,
      validMs,
      sentAt,
    }: {
      asked: readonly string[];
      approvals: readonly Approval[];
      validMs: number;
      sentAt: number;
    },
  ): void {
    const tickets: TicketsByRunner =
      this.#ticketsByStep.get(step) ?? new Map<string, Ticket | undefined>();
    this.#ticketsByStep.set(step, tickets);
    asked.forEach((runner) => tickets.set(runner, undefined));
    approvals.forEach(({ runner, ticket }) =>
      tickets.set(runner, { text: ticket, expiresAt: sentAt + validMs }),
    );
  }

  /** Marks the ticket as expired after the runner has refused it, so that it is renewed before the next start. */
  expireTicket(step: string, runner: string): void {
    const ticket = this.#ticketsByStep.get(step)?.get(runner);
    if (ticket !== undefined) ticket.expiresAt = -Infinity;
  }

  /** Drops the entries of jobs that are no longer open. */
  retainJobs(isOpen: (jobId: string) => boolean): void {
    [...this.#ticketsByStep.keys()]
      .filter((step) => !isOpen(jobIdOf(step)))
      .forEach((step) => this.#ticketsByStep.delete(step));
  }
}

/** A step's name begins with its job's id. */
function jobIdOf(step: string): string {
  return step.slice(0, step.indexOf('.'));
}
