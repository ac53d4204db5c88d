/** Load status on the links of one entry: what it sends in its heartbeats, and what it reads from those of others. */
import type { ProcessContext } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import type { CellPolicy } from '../config/cell-policy.js';
import { AdmissionGate } from './admission-gate.js';
import type { LoadMonitor, ReceivedReports } from './load-monitor.js';
import { LoadReader, type UsableSummary } from './load-reader.js';
import { refusalStatusSchema } from './refusal-book.js';

export interface EntryLoadOptions {
  ctx: ProcessContext;
  policy: CellPolicy;
  /** Load of the cell while this entry owns it. */
  localLoad: () => LoadMonitor | undefined;
  /** True while this entry owns the cell. */
  isOwner: () => boolean;
  ownerLink: () => Pick<Link, 'status' | 'statusAt'> | undefined;
  /** Links that other processes dialled. */
  links: () => readonly Pick<Link, 'status' | 'statusAt'>[];
}

/** Both directions of the load status at one entry. */
export class EntryLoad {
  readonly gate: AdmissionGate;

  readonly #options: EntryLoadOptions;

  readonly #reader: LoadReader;

  constructor(options: EntryLoadOptions) {
    this.#options = options;
    this.#reader = new LoadReader(options.ctx);
    this.gate = new AdmissionGate({
      ctx: options.ctx,
      current: () => this.#current(),
      hasFairShares: options.policy.fairShares !== 'off',
    });
  }

  /** Part of the status that this entry sends to other entries as the owner. */
  ownerStatus(): Record<string, unknown> {
    const load = this.#options.localLoad()?.status;
    return load === undefined ? {} : { load };
  }

  /** Part of the status that this entry sends to the owner. */
  entryStatus(): Record<string, unknown> {
    const refusals = this.gate.reports();
    return refusals.length === 0 ? {} : { refusals };
  }

  /** The newest refusals of all entries, for the owner in this process. Reports that can't be decoded are ignored and counted. */
  refusals(): ReceivedReports[] {
    const { ctx, links } = this.#options;
    const own = { reports: this.gate.reports(), receivedAt: ctx.clock.now() };
    const others = links()
      .filter(({ status }) => status.refusals !== undefined)
      .flatMap(({ status, statusAt: receivedAt }) => {
        const parsed = refusalStatusSchema.safeParse(status);
        if (!parsed.success) ctx.metrics.count('load.refusals-unreadable');
        return parsed.success ? { reports: parsed.data.refusals, receivedAt } : [];
      });
    return [own, ...others];
  }

  #current(): UsableSummary | undefined {
    const { localLoad, isOwner, ownerLink } = this.#options;
    if (isOwner()) {
      const load = localLoad();
      return this.#reader.ofLocalOwner(load?.summary, load?.computedAt ?? -Infinity);
    }
    const link = ownerLink();
    return this.#reader.current(link && { status: link.status, receivedAt: link.statusAt });
  }
}
