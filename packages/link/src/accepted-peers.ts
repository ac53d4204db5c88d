/**
 * The current accepted link of each process, and the rule for when another incarnation may replace it.
 *
 * A new link from the same incarnation replaces the current one. A different incarnation is refused if this server has
 * already seen it replaced, or if the current link is still open and the newcomer's start time (by its own wall clock)
 * is earlier. A paused old process therefore can't displace its successor, and a successor whose wall clock is wrong
 * has to wait only until the old link times out.
 */
import type { ProcessId } from '@zincspan/core';
import type { Link } from './link.js';
import { LinkCloseError } from './link-options.js';

interface AcceptedPeer {
  incarnation: string;
  bornAt: number;
  link: Link | undefined;
  /** Earlier incarnations replaced on this server, latest last. */
  replacedIncarnations: string[];
}

const MAX_REPLACED_INCARNATIONS = 8;
const MAX_PROCESSES = 8192;

/** Authenticated links accepted by one server, by process id. */
export class AcceptedPeers {
  readonly #processes = new Map<string, AcceptedPeer>();

  /** Throws LinkCloseError `stale-incarnation` if this incarnation may not replace the current one. */
  checkIncarnation({ id, incarnation }: ProcessId, bornAt: number): void {
    const known = this.#processes.get(id);
    if (!known || known.incarnation === incarnation) return;
    const wasReplaced = known.replacedIncarnations.includes(incarnation);
    const startedEarlier = known.link !== undefined && !known.link.closed && bornAt < known.bornAt;
    if (!wasReplaced && !startedEarlier) return;
    throw new LinkCloseError(
      'stale-incarnation',
      `Incarnation ${incarnation} of ${id} has been replaced or is older than the connected one.`,
    );
  }

  /** Makes this the link of its process and closes the previous one. Call `checkIncarnation` first. */
  acceptLink(link: Link, bornAt: number): void {
    const { id, incarnation } = link.process;
    const known = this.#processes.get(id);
    const replacedIncarnations = known?.replacedIncarnations ?? [];
    if (known && known.incarnation !== incarnation) replacedIncarnations.push(known.incarnation);
    known?.link?.close('superseded', 'A newer link of the same process replaced this one.');
    this.#processes.delete(id);
    this.#processes.set(id, {
      incarnation,
      bornAt,
      link,
      replacedIncarnations: replacedIncarnations.slice(-MAX_REPLACED_INCARNATIONS),
    });
    this.#evictClosed();
  }

  links(): Link[] {
    return [...this.#processes.values()].flatMap(({ link }) =>
      link && !link.closed ? [link] : [],
    );
  }

  #evictClosed(): void {
    if (this.#processes.size <= MAX_PROCESSES) return;
    const evictable = [...this.#processes].find(([, { link }]) => !link || link.closed);
    if (evictable) this.#processes.delete(evictable[0]);
  }
}
