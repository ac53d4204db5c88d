/**
 * Which accepted link stands for each process, and which incarnation may replace which.
 *
 * A new link of the same incarnation replaces the older one. Another incarnation replaces it unless it was itself
 * replaced here before, or started earlier by its calendar while the present link is still live. So a paused old
 * process can't push out its successor, and one with a wrong calendar waits only until the old link falls silent.
 */
import type { ProcessId } from '@zincspan/core';
import type { Link } from './link.js';
import { LinkCloseError } from './link-options.js';

interface AcceptedPeer {
  incarnation: string;
  bornAt: number;
  link: Link | undefined;
  /** Incarnations replaced here, latest last. */
  replacedIncarnations: string[];
}

const MAX_REPLACED_INCARNATIONS = 8;
const MAX_PROCESSES = 8192;

/** Links accepted by one server, by process id. Only authenticated ones come here. */
export class AcceptedPeers {
  readonly #processes = new Map<string, AcceptedPeer>();

  /** Throws LinkFault `stale-incarnation` if this incarnation may not replace the one known. */
  checkIncarnation({ id, incarnation }: ProcessId, bornAt: number): void {
    const known = this.#processes.get(id);
    if (!known || known.incarnation === incarnation) return;
    const wasReplaced = known.replacedIncarnations.includes(incarnation);
    const startedEarlier = known.link !== undefined && !known.link.closed && bornAt < known.bornAt;
    if (!wasReplaced && !startedEarlier) return;
    throw new LinkCloseError(
      'stale-incarnation',
      `Incarnation ${incarnation} of ${id} was replaced.`,
    );
  }

  /** Puts a checked link in the place of the older one, which is closed. */
  acceptLink(link: Link, bornAt: number): void {
    const { id, incarnation } = link.process;
    const known = this.#processes.get(id);
    const replacedIncarnations = known?.replacedIncarnations ?? [];
    if (known && known.incarnation !== incarnation) replacedIncarnations.push(known.incarnation);
    known?.link?.close('superseded', 'A newer link of the same process took over.');
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
