/**
 * Which accepted link stands for each process, and which incarnation may replace which.
 *
 * A new link of the same incarnation replaces the older one. Another incarnation replaces it unless it was itself
 * replaced here before, or started earlier by its calendar while the present link is still live. So a paused old
 * process can't push out its successor, and one with a wrong calendar waits only until the old link falls silent.
 */
import type { ProcessId } from '@zincspan/core';
import type { Link } from './link.js';
import { LinkFault } from './options.js';

interface Accepted {
  incarnation: string;
  bornAt: number;
  link: Link | undefined;
  /** Incarnations replaced here, latest last. */
  retired: string[];
}

const RETIRED_KEPT = 8;
const PROCESSES_KEPT = 8192;

/** Links accepted by one server, by process id. Only authenticated ones come here. */
export class AcceptedPeers {
  readonly #processes = new Map<string, Accepted>();

  /** Throws LinkFault `stale-incarnation` if this incarnation may not replace the one known. */
  check({ id, incarnation }: ProcessId, bornAt: number): void {
    const known = this.#processes.get(id);
    if (!known || known.incarnation === incarnation) return;
    const replaced = known.retired.includes(incarnation);
    const older = known.link !== undefined && !known.link.closed && bornAt < known.bornAt;
    if (!replaced && !older) return;
    throw new LinkFault('stale-incarnation', `Incarnation ${incarnation} of ${id} was replaced.`);
  }

  /** Puts a checked link in the place of the older one, which is closed. */
  put(link: Link, bornAt: number): void {
    const { id, incarnation } = link.process;
    const known = this.#processes.get(id);
    const retired = known?.retired ?? [];
    if (known && known.incarnation !== incarnation) retired.push(known.incarnation);
    known?.link?.close('superseded', 'A newer link of the same process took over.');
    this.#processes.delete(id);
    this.#processes.set(id, { incarnation, bornAt, link, retired: retired.slice(-RETIRED_KEPT) });
    this.#trim();
  }

  links(): Link[] {
    return [...this.#processes.values()].flatMap(({ link }) =>
      link && !link.closed ? [link] : [],
    );
  }

  #trim(): void {
    if (this.#processes.size <= PROCESSES_KEPT) return;
    const gone = [...this.#processes].find(([, { link }]) => !link || link.closed);
    if (gone) this.#processes.delete(gone[0]);
  }
}
