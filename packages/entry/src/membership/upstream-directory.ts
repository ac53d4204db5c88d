/** The upstreams that have announced themselves, with the links to their guards. */
import {
  ProblemError,
  problem,
  type Announcement,
  type Peer,
  type ProcessContext,
  type Runner,
  type Worker,
} from '@zincspan/core';
import { GuardLinks } from './guard-links.js';
import { toMember, type MembershipChange, type UpstreamMember } from './upstream-member.js';

/**
 * Upstreams by announcement. Of one guard only the newest incarnation counts, and within it the highest sequence.
 * A lost link changes nothing here: an upstream leaves by withdrawal or by silence past its announced time.
 */
export class UpstreamDirectory {
  readonly #ctx: ProcessContext;

  readonly #links = new GuardLinks();

  readonly #members = new Map<string, UpstreamMember>();

  /** The latest announcement of each guard, withdrawals included. */
  readonly #newest = new Map<string, Pick<Announcement, 'incarnation' | 'sequence'>>();

  /** Upstream ids by the guards that announced them. */
  readonly #byGuard = new Map<string, string>();

  readonly #listeners = new Set<(change: MembershipChange) => void>();

  readonly #runnersByKind = new Map<string, UpstreamMember<Runner>[]>();

  constructor({ ctx }: { ctx: ProcessContext }) {
    this.#ctx = ctx;
  }

  /** Takes a new link to a guard. */
  linkUp(peer: Peer): void {
    const { id, incarnation } = peer.process;
    if (!this.#links.add(peer)) return;
    this.#tell({ type: 'linked', guard: id, incarnation });
  }

  /** Takes an announcement that came over `peer`. Throws ProblemError `conflict` for an old incarnation's. */
  announce(announcement: Announcement, peer: Peer): void {
    const { guard, incarnation } = announcement;
    checkSpeaker(announcement, peer);
    if (this.#links.isPast(guard, incarnation)) throw replacedIncarnation(guard);
    if (this.#links.incarnation(guard) !== incarnation) this.linkUp(peer);
    this.accept(announcement);
  }

  /** Takes an announcement whose sender was checked. Older sequences change nothing. */
  accept(announcement: Announcement): void {
    const { upstream, guard, state } = announcement;
    const before = this.#members.get(upstream.id);
    if (before !== undefined && before.guard !== guard) this.#checkTakeOver(before, guard);
    if (!this.#isNewest(announcement)) return;
    if (state === 'withdrawn') {
      if (before?.guard === guard) this.#remove(before, 'withdrawn');
      return;
    }
    if (before !== undefined) this.#byGuard.delete(before.guard);
    const member = toMember(announcement, this.#ctx.clock.now());
    this.#members.set(upstream.id, member);
    this.#byGuard.set(guard, upstream.id);
    if (before === undefined) this.#joined(member);
    else if (!isSameWord(member, before)) this.#changed(member, before);
  }

  /** Drops upstreams that were silent past their announced time. */
  expire(): void {
    const now = this.#ctx.clock.now();
    [...this.#members.values()]
      .filter((member) => member.expiresAt <= now)
      .forEach((member) => this.#remove(member, 'expired'));
    this.#links.prune((guard) => this.#byGuard.has(guard));
    [...this.#newest.keys()]
      .filter((guard) => !this.hasGuard(guard))
      .forEach((guard) => this.#newest.delete(guard));
  }

  /** Runners that take new requests of this kind, linked or not. */
  runners(kind: string): readonly UpstreamMember<Runner>[] {
    const known = this.#runnersByKind.get(kind);
    if (known !== undefined) return known;
    const runners = [...this.#members.values()].filter(isRunner).filter((member) => {
      const { kinds } = member.upstream;
      return member.state === 'ready' && (kinds.length === 0 || kinds.includes(kind));
    });
    this.#runnersByKind.set(kind, runners);
    return runners;
  }

  /** All workers of a failure domain, draining ones included. */
  workers(failureDomain: string): UpstreamMember<Worker>[] {
    return [...this.#members.values()]
      .filter(isWorker)
      .filter((member) => member.failureDomain === failureDomain);
  }

  /** Every upstream known. */
  all(): UpstreamMember[] {
    return [...this.#members.values()];
  }

  /** One upstream by its id. */
  get(upstreamId: string): UpstreamMember | undefined {
    return this.#members.get(upstreamId);
  }

  /** The live link to a guard; without one it gets no new work. */
  guardPeer(guardId: string): Peer | undefined {
    return this.#links.peer(guardId);
  }

  /** The newest incarnation of a guard that was linked, live or not. */
  guardIncarnation(guardId: string): string | undefined {
    return this.#links.incarnation(guardId);
  }

  /** True while a guard is linked or an upstream of its own is known. */
  hasGuard(guardId: string): boolean {
    return this.guardPeer(guardId) !== undefined || this.#byGuard.has(guardId);
  }

  /** The guard's live link, awaited until `signal` aborts or the guard has left; undefined then. */
  whenLinked(guardId: string, signal: AbortSignal): Promise<Peer | undefined> {
    if (!this.hasGuard(guardId)) return Promise.resolve(undefined);
    return this.#links.whenLinked(guardId, signal);
  }

  /** Calls `fn` after each change; the answer ends the subscription. */
  onChange(fn: (change: MembershipChange) => void): () => void {
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }

  /** Notes the announcement's sequence; false if a later one of this incarnation came before. */
  #isNewest({ guard, incarnation, sequence }: Announcement): boolean {
    const newest = this.#newest.get(guard);
    if (newest?.incarnation === incarnation && sequence < newest.sequence) return false;
    this.#newest.set(guard, { incarnation, sequence });
    return true;
  }

  /** An upstream has one arbiter: another guard may speak for it only once the first is unlinked. */
  #checkTakeOver(before: UpstreamMember, guard: string): void {
    if (this.guardPeer(before.guard) === undefined) return;
    throw new ProblemError(
      problem('conflict', {
        detail: `Guard ${guard} announced ${before.upstream.id}, which guard ${before.guard} speaks for.`,
        remedy: 'Run one guard beside each upstream, and give each upstream an id of its own.',
      }),
    );
  }

  #joined(member: UpstreamMember): void {
    this.#note('upstream.joined', member);
    this.#tell({ type: 'joined', member });
  }

  #changed(member: UpstreamMember, before: UpstreamMember): void {
    if (member.state !== before.state) this.#note(`upstream.${member.state}`, member);
    if (member.incarnation !== before.incarnation) this.#note('upstream.guard-restarted', member);
    this.#tell({ type: 'changed', member, before });
  }

  #remove(member: UpstreamMember, how: 'withdrawn' | 'expired'): void {
    this.#members.delete(member.upstream.id);
    this.#byGuard.delete(member.guard);
    if (this.guardPeer(member.guard) === undefined) this.#links.giveUp(member.guard);
    this.#note('upstream.left', member, how);
    this.#tell({ type: 'left', member, how });
  }

  #note(event: string, { upstream, guard }: UpstreamMember, how?: string): void {
    const { timeline, metrics, log } = this.#ctx;
    const detail = { guard, ...(how === undefined ? {} : { how }) };
    timeline.record(event, upstream.id, detail);
    metrics.count(event);
    log.info({ upstream: upstream.id, ...detail }, event);
  }

  #tell(change: MembershipChange): void {
    this.#runnersByKind.clear();
    this.#listeners.forEach((fn) => fn(change));
  }
}

/** Whether a member is a runner. */
export function isRunner(member: UpstreamMember): member is UpstreamMember<Runner> {
  return member.upstream.type === 'runner';
}

function isWorker(member: UpstreamMember): member is UpstreamMember<Worker> {
  return member.upstream.type === 'worker';
}

/** A repeated announcement only renews. */
function isSameWord(a: UpstreamMember, b: UpstreamMember): boolean {
  return a.guard === b.guard && a.incarnation === b.incarnation && a.sequence === b.sequence;
}

/** A guard speaks for itself only. */
function checkSpeaker({ guard, incarnation }: Announcement, { process }: Peer): void {
  if (process.role === 'guard' && process.id === guard && process.incarnation === incarnation) {
    return;
  }
  throw new ProblemError(
    problem('not-allowed', {
      detail: `${process.id} announced an upstream in the name of guard ${guard}.`,
      remedy: 'Announce over the link of the guard that is named.',
    }),
  );
}

function replacedIncarnation(guard: string): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `A later incarnation of guard ${guard} has announced itself.`,
      remedy: 'Stop this process, or give it an id of its own in its settings.',
    }),
  );
}
